package hickoryfabric_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/io/hickoryfabric"
	"hickoryworks/io/hickorylog"
	"hickoryworks/platform"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickorysettings"
)

// Loopback addresses of the processes of a fixture; all use the same data port.
const (
	balancerIP      = "127.0.0.11"
	otherBalancerIP = "127.0.0.12"
	agentIP         = "127.0.0.21"
	callerIP        = "127.0.0.31"
)

var serviceAddress = netip.MustParseAddrPort("198.51.100.1:443")

// fabricFixture runs an agent and balancers on loopback sockets, with stand-ins (test
// doubles) of the caller, the upstream and the store.
type fabricFixture struct {
	t    *testing.T
	is   *is.I
	port int
	// upstream is the socket of the upstream, caller that of the caller.
	upstream *net.UDPConn
	caller   *net.UDPConn
	agent    *hickoryfabric.Agent
	store    *storeStandin
}

// newFabricFixture starts the agent. Tests start the balancers.
func newFabricFixture(t *testing.T) *fabricFixture {
	f := &fabricFixture{t: t, is: is.New(t), store: newStoreStandin()}
	f.caller = f.listen(callerIP, 0)
	f.port = f.caller.LocalAddr().(*net.UDPAddr).Port
	f.upstream = f.listen(agentIP, 0)
	f.store.publish(f.upstream.LocalAddr().String())
	f.startAgent()
	return f
}

func (f *fabricFixture) listen(ip string, port int) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	f.is.NoErr(err)
	f.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func endpoint(ip string, port int) hickoryid.Endpoint {
	return hickoryid.Endpoint(fmt.Sprintf("%s:%d", ip, port))
}

func (f *fabricFixture) startAgent() {
	agent, err := hickoryfabric.NewAgent(hickorysettings.FabricAgent{
		Instance: "agent", Zone: "a", Service: "clubroom",
		DataEndpoint: endpoint(agentIP, f.port), AgentPort: f.port + 1,
		UpstreamEndpoint: hickoryid.Endpoint(f.upstream.LocalAddr().String()),
		ReturnEndpoint:   endpoint(agentIP, 0), ReadyEndpoint: endpoint(agentIP, 0), DrainTimeout: "1s",
		WaitingLine: true,
	}, platform.Translation(), hickorylog.New(io.Discard, "agent"))
	f.is.NoErr(err)
	f.is.NoErr(agent.Start(f.t.Context()))
	f.t.Cleanup(func() { f.is.NoErr(agent.Close()) })
	f.agent = agent
}

// startBalancer starts a balancer and waits until it is ready.
func (f *fabricFixture) startBalancer(ip string, control int, store hickoryfabric.Store, seeds ...hickoryid.Endpoint) *hickoryfabric.Balancer {
	balancer, err := hickoryfabric.NewBalancer(hickorysettings.FabricBalancer{
		Instance: "balancer", Zone: "a",
		DataEndpoint: endpoint(ip, f.port), AgentEndpoint: endpoint(ip, f.port+1),
		ControlEndpoint: endpoint(ip, control), ReadyEndpoint: endpoint(ip, 0), DrainTimeout: "4s", Seeds: seeds,
	}, platform.Translation(), store, hickorylog.New(io.Discard, "balancer"))
	f.is.NoErr(err)
	f.is.NoErr(balancer.Start(f.t.Context()))
	f.t.Cleanup(func() { f.is.NoErr(balancer.Close()) })
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !balancer.Ready() {
		<-ticker.C
	}
	return balancer
}

// callerPort is the port of the caller's flow in most tests.
const callerPort = 40001

// packet returns a packet of the caller's flow.
func packet(flags byte, sequence, acknowledged uint32) []byte {
	return packetFrom(callerPort, flags, sequence, acknowledged)
}

// packetFrom returns a packet of the caller's flow from a port.
func packetFrom(port uint16, flags byte, sequence, acknowledged uint32) []byte {
	flow := hickorymodel.FlowKey{
		Source:      hickorymodel.NewSocketAddress(netip.AddrPortFrom(netip.MustParseAddr(callerIP), port)),
		Destination: hickorymodel.NewSocketAddress(serviceAddress),
		Protocol:    hickorymodel.ProtocolTCP,
	}
	// EncodeReset returns a packet to the source of the flow. With the two ends
	// swapped and the flags replaced it is a packet from the caller.
	flow.Source, flow.Destination = flow.Destination, flow.Source
	data := platform.EncodeReset(flow, sequence)
	data[8], data[9], data[10], data[11] = byte(acknowledged>>24), byte(acknowledged>>16), byte(acknowledged>>8), byte(acknowledged)
	data[24] = flags
	return data
}

// Values of the flags of packets on the wire.
const (
	flagFirst    = 2
	flagAnswer   = 6
	flagData     = 4
	flagReturned = 8
)

// send sends a packet of the caller to the data socket of a balancer.
func (f *fabricFixture) send(ip string, data []byte) {
	target := netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(f.port))
	_, err := f.caller.WriteToUDPAddrPort(data, target)
	f.is.NoErr(err)
}

// receive waits for the next packet at a socket and returns it with its sender.
func (f *fabricFixture) receive(conn *net.UDPConn) (hickorysteering.Packet, netip.AddrPort) {
	buffer := make([]byte, 2048)
	f.is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	n, from, err := conn.ReadFromUDPAddrPort(buffer)
	f.is.NoErr(err)
	var decoded hickorysteering.Packet
	f.is.NoErr(platform.DecodePacket(buffer[:n], &decoded))
	return decoded, from
}

// reply sends a packet of the upstream to the caller, through the agent.
func (f *fabricFixture) reply(flags byte) {
	f.replyTo(callerPort, flags)
}

// replyTo sends a packet of the upstream to a port of the caller.
func (f *fabricFixture) replyTo(port uint16, flags byte) {
	flow := hickorymodel.FlowKey{
		Source:      hickorymodel.NewSocketAddress(netip.AddrPortFrom(netip.MustParseAddr(callerIP), port)),
		Destination: hickorymodel.NewSocketAddress(serviceAddress),
	}
	data := platform.EncodeReset(flow, 9)
	data[24] = flags
	f.sendUpstream(data)
}

// sendUpstream sends a packet from the upstream to the agent.
func (f *fabricFixture) sendUpstream(data []byte) {
	_, err := f.upstream.WriteToUDPAddrPort(data, f.agent.ReturnEndpoint().AddrPort())
	f.is.NoErr(err)
}

// storeStandin is a stand-in (test double) of the store.
type storeStandin struct {
	mutex sync.Mutex
	// listing is the answer to a listing, change the only change after it; nil for none.
	listing *hickorydirectory.Batch
	change  *hickorydirectory.Batch
	// down makes all calls fail.
	down bool
	// watches is the number of pending watches of the upstreams.
	watches int
	// changed is closed when change is set.
	changed chan struct{}
}

var errStoreDown = errors.New("store is down")

func newStoreStandin() *storeStandin {
	return &storeStandin{changed: make(chan struct{})}
}

// publish lists one route and one upstream.
func (s *storeStandin) publish(upstream string) {
	s.listing = &hickorydirectory.Batch{Through: 1, Complete: true, Changes: []hickorydirectory.Change{
		{Table: &hickorymessage.RouteTable{
			Version: 1, IdleTimeout: "15s",
			Routes:   []hickorymessage.Route{{Name: "live", Address: hickoryid.Endpoint(serviceAddress.String()), Targets: []hickorymessage.RouteTarget{{Service: "clubroom", Weight: 1}}}},
			Services: []hickorymessage.RoutedService{{Name: "clubroom", RampTime: "2s"}},
		}},
		{Upstream: &hickorymessage.ListedUpstream{
			ID: "u-1", Revision: 1, Service: "clubroom", Zone: "a", Endpoint: hickoryid.Endpoint(upstream), Slots: 2, ColdTime: "0s",
		}},
	}}
}

// publishChange publishes a change to those who watch.
func (s *storeStandin) publishChange(change hickorydirectory.Change) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.change = &hickorydirectory.Batch{Through: 2, Changes: []hickorydirectory.Change{change}}
	close(s.changed)
}

// watch returns the change after a revision, or an empty batch after the wait.
func (s *storeStandin) watch(ctx context.Context, part hickorydirectory.Scope, after hickorydirectory.Revision, wait, _ time.Duration) (*hickorydirectory.Batch, error) {
	if part == hickorydirectory.ScopeUpstreams { // one for each balancer that reads
		s.count(1)
		defer s.count(-1)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
		return &hickorydirectory.Batch{Through: after}, nil
	case <-s.changed:
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if after < s.change.Through {
		return s.change, nil
	}
	return &hickorydirectory.Batch{Through: after}, nil
}

func (s *storeStandin) count(watches int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watches += watches
}

// pendingWatches returns the number of pending watches of the upstreams.
func (s *storeStandin) pendingWatches() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.watches
}

// functions returns the functions that a balancer calls.
func (s *storeStandin) functions() hickoryfabric.Store {
	return hickoryfabric.Store{
		List: func(context.Context, hickorydirectory.Scope, time.Duration) (*hickorydirectory.Batch, error) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.down {
				return nil, errStoreDown
			}
			return s.listing, nil
		},
		Watch:       s.watch,
		HistoryGone: func(error) bool { return false },
		Close:       func() error { return nil },
	}
}
