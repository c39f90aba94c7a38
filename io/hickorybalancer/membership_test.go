package hickorybalancer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorybalancer"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorysocket"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
	"hickoryworks/schema/hickorysettings"
)

// startBalancers runs balancers with the given agents as upstreams of one service,
// and an instance list with all of these balancers. It returns the data endpoints
// and the log of all balancers.
func startBalancers(t *testing.T, count int, agents ...*standinAgent) ([]hickorymodel.Endpoint, *hickorylog.Recorder) {
	is := is.New(t)
	platform, err := hickorystandin.NewPlatform()
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(platform.Close()) })
	section := "team: pagebound\nzones: [{name: a, region: r, state: inService}]\nservices:\n" +
		"- name: clubroom\n  number: 1\n  slots: 6\n  connections: 2000\n" +
		"  addresses: [{endpoint: \"10.1.0.1:443\", protocol: tcp}]\n  upstreams:\n"
	for _, agent := range agents {
		section += fmt.Sprintf("  - {id: %s, zone: a, endpoint: %q}\n", agent.upstream, agent.endpoint())
	}
	platform.Publish("sections/pagebound", section)
	log := hickorylog.NewRecorder()
	var endpoints []hickorymodel.Endpoint
	var instances []hickoryplatform.Instance
	var balancers []*hickorybalancer.Balancer
	for i := range count {
		settings := hickorysettings.Balancer{
			Instance: hickoryid.InstanceID(fmt.Sprintf("balancer-%d", i)), Zone: "a", Region: "r",
			DataEndpoint: "127.0.0.1:0", ControlEndpoint: "127.0.0.1:0",
			Platform: hickorysettings.Platform{ConfigurationURL: platform.ConfigurationURL(), InstancesURL: platform.InstancesURL()},
		}
		random := rand.New(rand.NewPCG(1, uint64(i)))
		balancer, err := hickorybalancer.New(settings, hickorylog.New(log, settings.Instance), hickorybalancer.WithRandom(random))
		is.NoErr(err)
		balancers = append(balancers, balancer)
		endpoints = append(endpoints, balancer.Endpoint())
		instances = append(instances, hickoryplatform.Instance{
			ID: settings.Instance, Role: hickoryplatform.RoleBalancer, Zone: "a", Region: "r", State: hickoryplatform.InstanceStateLive,
			DataEndpoint: balancer.Endpoint().ID(), ControlEndpoint: balancer.ControlEndpoint(),
		})
	}
	platform.SetInstances(instances)
	for _, balancer := range balancers {
		is.NoErr(balancer.Start(t.Context()))
		t.Cleanup(func() { is.NoErr(balancer.Close()) })
	}
	return endpoints, log
}

// fabric sends packets to balancers in place of the fabric.
type fabric struct {
	is         *is.I
	socket     *hickorysocket.Socket
	codec      *hickorygeneve.Codec
	callerPort uint16
}

func newFabric(t *testing.T) *fabric {
	is := is.New(t)
	socket, err := hickorysocket.Open(hickorymodel.Endpoint{Address: [4]byte{127, 0, 0, 1}})
	is.NoErr(err)
	t.Cleanup(func() { socket.Close() })
	return &fabric{is: is, socket: socket, codec: hickorygeneve.NewCodec(), callerPort: 10_000}
}

// send sends the first packet of a new flow to a balancer.
func (f *fabric) send(to hickorymodel.Endpoint) {
	f.callerPort++
	segment := hickorystandin.Segment{
		Source:      netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), f.callerPort),
		Destination: netip.MustParseAddrPort("10.1.0.1:443"),
		SYN:         true,
	}
	packet, err := segment.Encode()
	f.is.NoErr(err)
	encoded, err := f.codec.EncodePlain(0, packet)
	f.is.NoErr(err)
	f.socket.Send(hickoryring.Frame{Peer: to, Bytes: append([]byte(nil), encoded...)})
}

// TestDataLeavesSilentPath guards against a balancer that keeps sending from a
// source port whose packets no longer arrive. It must move to a new source port
// well before the periodic change of ports, and must not suspect the upstream, which
// is alive.
func TestDataLeavesSilentPath(t *testing.T) {
	is := is.New(t)
	agent := startStandinAgent(t, "clubroom-0")
	endpoints, log := startBalancers(t, 1, agent)
	fabric := newFabric(t)
	blocked := uint16(0)
	begun := time.Now()
	for {
		is.True(time.Since(begun) < hickorysocket.RenewInterval/2)
		fabric.send(endpoints[0])
		select {
		case port := <-agent.sourcePorts:
			if blocked == 0 {
				blocked = port
				agent.block(port)
			}
			if port != blocked {
				is.True(log.Await(hickoryevent.PathMoved, 1))
				is.Equal(log.Count(hickoryevent.UpstreamSuspected), 0)
				return
			}
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// TestBalancersEjectDeadUpstream guards against balancers that keep sending new
// flows to a dead upstream, or send it none after it has returned. The suspicions of
// the observers, and their end, must reach the tables of all balancers by RPC.
func TestBalancersEjectDeadUpstream(t *testing.T) {
	is := is.New(t)
	agents := []*standinAgent{startStandinAgent(t, "clubroom-0"), startStandinAgent(t, "clubroom-1"), startStandinAgent(t, "clubroom-2")}
	endpoints, log := startBalancers(t, 4, agents...)
	fabric := newFabric(t)
	for _, agent := range agents {
		awaitPacket(fabric, endpoints, agent)
	}
	agents[0].setDead(true)
	for log.Count(hickoryevent.UpstreamEjected) < len(endpoints) {
		for _, agent := range agents[1:] {
			awaitPacket(fabric, endpoints, agent)
		}
	}
	is.Equal(log.Count(hickoryevent.EjectionLimited), 0)
	for before := -1; agents[0].arrivals() != before; {
		before = agents[0].arrivals()
		for range 50 {
			awaitPacket(fabric, endpoints, agents[1])
		}
	}
	agents[0].setDead(false)
	for log.Count(hickoryevent.UpstreamReadmitted) < len(endpoints) {
		awaitPacket(fabric, endpoints, agents[1])
	}
	for before := agents[0].arrivals(); agents[0].arrivals() == before; {
		awaitPacket(fabric, endpoints, agents[1])
	}
}

// awaitPacket sends first packets of new flows until an agent receives one of them.
func awaitPacket(fabric *fabric, endpoints []hickorymodel.Endpoint, agent *standinAgent) {
	for len(agent.sourcePorts) > 0 {
		<-agent.sourcePorts
	}
	for {
		for _, endpoint := range endpoints {
			fabric.send(endpoint)
		}
		select {
		case <-agent.sourcePorts:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}
