package hickoryprogram_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorybalancer"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickoryplatform"
	"hickoryworks/schema/hickorysettings"
)

// process is a daemon that a test has started as a process.
type process struct {
	is      *is.I
	command *exec.Cmd
	log     *hickorylog.Recorder
	done    chan struct{}
}

// terminate sends SIGTERM.
func (p *process) terminate() {
	p.is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
}

// waitForEnd waits for the end of the process, then ends the log and closes done.
func (p *process) waitForEnd() {
	_ = p.command.Wait()
	p.log.End()
	close(p.done)
}

// exit waits for the end of the process and returns its exit code and its log.
func (p *process) exit() (int, string) {
	<-p.done
	return p.command.ProcessState.ExitCode(), p.log.String()
}

// environmentCount is the number of environments in the test process. It gives each of them
// a loopback address of its own.
var environmentCount atomic.Int32

// environment holds the peers of the daemon under test: the platform, the upstream and
// the sender of packets.
type environment struct {
	is       *is.I
	folder   string
	platform *hickorystandin.Platform
	upstream *net.UDPConn
	sender   *net.UDPConn
	codec    *hickorygeneve.Codec
	// dataEndpoint is the endpoint of the data socket of the daemon under test.
	dataEndpoint string
	// segmentsSent numbers the payloads of deliver.
	segmentsSent int
}

func newEnvironment(t *testing.T) *environment {
	is := is.New(t)
	platform, err := hickorystandin.NewPlatform()
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(platform.Close()) })
	e := &environment{is: is, folder: t.TempDir(), platform: platform, codec: hickorygeneve.NewCodec()}
	for _, conn := range []**net.UDPConn{&e.upstream, &e.sender} {
		*conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		t.Cleanup(func() { (*conn).Close() })
	}
	e.dataEndpoint = fmt.Sprintf("127.%d.%d.%d:7000", 1+os.Getpid()%250, os.Getpid()/250%250, 1+environmentCount.Add(1))
	return e
}

// startBalancer starts a balancer, from which the agent under test receives its section.
func (e *environment) startBalancer(t *testing.T) {
	settings := hickorysettings.Balancer{
		Instance: "balancer", Zone: "a", Region: "r",
		DataEndpoint: "127.0.0.1:0", ControlEndpoint: "127.0.0.1:0",
		Platform: hickorysettings.Platform{ConfigurationURL: e.platform.ConfigurationURL(), InstancesURL: e.platform.InstancesURL()},
	}
	balancer, err := hickorybalancer.New(settings, hickorylog.New(io.Discard, settings.Instance))
	e.is.NoErr(err)
	e.platform.AddInstance(hickoryplatform.Instance{
		ID: settings.Instance, Role: hickoryplatform.RoleBalancer, Zone: "a", Region: "r", State: hickoryplatform.InstanceStateLive,
		DataEndpoint: balancer.Endpoint().ID(), ControlEndpoint: balancer.ControlEndpoint(),
	})
	e.is.NoErr(balancer.Start(t.Context()))
	t.Cleanup(func() { e.is.NoErr(balancer.Close()) })
}

// start builds a daemon, starts it as a process and waits until it logs that it runs.
// extra is appended to its settings.
func (e *environment) start(t *testing.T, name, extra string) *process {
	binary := filepath.Join(e.folder, name)
	output, err := exec.Command("go", "build", "-o", binary, "hickoryworks/cmd/"+name).CombinedOutput()
	if err != nil {
		t.Fatalf("build %s: %v\n%s", name, err, output)
	}
	agent := e.dataEndpoint
	if name == "hickory-balancer" {
		agent = e.upstream.LocalAddr().String()
	} else {
		e.startBalancer(t)
	}
	e.platform.Publish("sections/pagebound", fmt.Sprintf(`
team: pagebound
zones: [{name: a, region: r, state: inService}]
services:
- {name: clubroom, number: 1, slots: 6, connections: 100, addresses: [{endpoint: "10.1.0.1:443", protocol: tcp}], upstreams: [{id: clubroom-0, zone: a, endpoint: %q}]}
`, agent))
	path := filepath.Join(e.folder, "settings.yaml")
	e.is.NoErr(os.WriteFile(path, fmt.Appendf(nil, `
instance: under-test
zone: a
region: r
dataEndpoint: %q
controlEndpoint: 127.0.0.1:0
platform: {configurationURL: %q, instancesURL: %q}
%s
`, e.dataEndpoint, e.platform.ConfigurationURL(), e.platform.InstancesURL(), extra), 0o600))
	p := &process{is: e.is, command: exec.Command(binary, "--settings", path), log: hickorylog.NewRecorder(), done: make(chan struct{})}
	p.command.Stderr = p.log
	e.is.NoErr(p.command.Start())
	go p.waitForEnd()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.done
	})
	e.is.True(p.log.Await(hickoryevent.ProgramStarted, 1))
	return p
}

// deliver sends a segment of a flow, again and again, until the upstream receives it.
// Copies of earlier segments may still arrive; they have another payload.
func (e *environment) deliver(segment hickorystandin.Segment) {
	segment.Source = netip.MustParseAddrPort("10.9.0.1:10000")
	segment.Destination = netip.MustParseAddrPort("10.1.0.1:443")
	e.segmentsSent++
	segment.Payload = fmt.Appendf(nil, "segment %d.", e.segmentsSent)
	payload, err := segment.Encode()
	e.is.NoErr(err)
	dataEndpoint := netip.MustParseAddrPort(e.dataEndpoint)
	endpoint, _ := hickorymodel.NewEndpoint(dataEndpoint)
	p := &hickoryflow.Packet{Payload: payload}
	p.Service = 1
	p.Candidates[0] = hickorymodel.Candidate{Endpoint: endpoint, State: hickorymodel.CandidateAccepting}
	encoded, err := e.codec.EncodePacket(p)
	e.is.NoErr(err)
	buffer := make([]byte, 2048)
	for range 500 {
		_, err = e.sender.WriteToUDPAddrPort(encoded, dataEndpoint)
		e.is.NoErr(err)
		e.upstream.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		for err == nil {
			var n int
			if n, err = e.upstream.Read(buffer); err == nil && bytes.Contains(buffer[:n], segment.Payload) {
				return
			}
		}
	}
	e.is.Fail() // the packet was never delivered
}

func (e *environment) agentSettings(extra string) string {
	return fmt.Sprintf("service: clubroom\nupstream: clubroom-0\ndeliveryEndpoint: %q\n%s", e.upstream.LocalAddr(), extra)
}

// TestAgentStops guards guarantee P9 for the agent as a process. After
// SIGTERM it must deliver packets until its open flows have ended. A second signal or
// the drain timeout ends it earlier; its error then contains the number of open flows.
func TestAgentStops(t *testing.T) {
	cases := []struct {
		name  string
		extra string
		// packets is the number of packets sent on the open flow after the first
		// signal. An agent that stopped at once would not deliver all of them.
		packets int
		stop    func(e *environment, p *process)
		code    int
		text    string
	}{
		{"idle", "", 0, func(*environment, *process) {}, 0, "program stopped"},
		{"flow ends during the stop", "", 500, func(e *environment, _ *process) {
			e.deliver(hickorystandin.Segment{ACK: true, FIN: true})
		}, 0, "program stopped"},
		{"second signal", "", 1, func(_ *environment, p *process) { p.terminate() }, 1, "ended by a second signal: 1 flows left"},
		{"time is up", "drainTimeout: 300ms", 0, func(*environment, *process) {}, 1, "drain: 1 flows left after 300ms"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newEnvironment(t)
			p := e.start(t, "hickory-agent", e.agentSettings(c.extra))
			if c.name != "idle" {
				e.deliver(hickorystandin.Segment{SYN: true})
				e.deliver(hickorystandin.Segment{ACK: true})
			}
			p.terminate()
			e.is.True(p.log.Await(hickoryevent.ProgramStopping, 1))
			for range c.packets { // an agent that drains must still deliver them
				e.deliver(hickorystandin.Segment{ACK: true})
			}
			c.stop(e, p)
			code, log := p.exit()
			e.is.Equal(code, c.code)
			t.Log(log)
			e.is.True(strings.Contains(log, c.text))
		})
	}
}

// TestBalancerStops guards guarantee P9 for the balancer as a process.
// After SIGTERM it must forward packets for as long as the fabric sends them. A second
// signal or the drain timeout ends it earlier.
func TestBalancerStops(t *testing.T) {
	cases := []struct {
		name  string
		extra string
		// packets is the number of packets sent after the first signal. With -1, packets
		// are sent until the process has ended.
		packets int
		signals int
		code    int
		text    string
	}{
		{"idle", "", 0, 1, 0, "program stopped"},
		{"packets during the stop", "", 50, 1, 0, "program stopped"},
		{"second signal", "", 3, 2, 1, "drain: ended by a second signal"},
		{"time is up", "drainTimeout: 300ms", -1, 1, 1, "packets still arrive after 300ms"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newEnvironment(t)
			p := e.start(t, "hickory-balancer", c.extra)
			e.deliver(hickorystandin.Segment{SYN: true})
			p.terminate()
			e.is.True(p.log.Await(hickoryevent.ProgramStopping, 1))
			for range c.packets {
				e.deliver(hickorystandin.Segment{SYN: true})
			}
			ended := make(chan struct{})
			if c.packets < 0 {
				go e.flood(ended)
			}
			if c.signals > 1 {
				p.terminate()
			}
			code, log := p.exit()
			close(ended)
			e.is.Equal(code, c.code)
			t.Log(log)
			e.is.True(strings.Contains(log, c.text))
		})
	}
}

// flood sends a packet every 5 ms until ended is closed.
func (e *environment) flood(ended <-chan struct{}) {
	segment := hickorystandin.Segment{
		Source: netip.MustParseAddrPort("10.9.0.1:10000"), Destination: netip.MustParseAddrPort("10.1.0.1:443"), SYN: true,
	}
	payload, _ := segment.Encode()
	codec := hickorygeneve.NewCodec()
	encoded, _ := codec.EncodePlain(0, payload)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			e.sender.WriteToUDPAddrPort(encoded, netip.MustParseAddrPort(e.dataEndpoint))
		}
	}
}
