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

// Loopback addresses of the parts of a world; all use the same data port.
const (
	balancerIP = "127.0.0.11"
	otherIP    = "127.0.0.12"
	agentIP    = "127.0.0.21"
	callerIP   = "127.0.0.31"
)

var serviceAddress = netip.MustParseAddrPort("198.51.100.1:443")

// world holds the stand-ins around balancers and an agent.
type world struct {
	t    *testing.T
	is   *is.I
	port int
	// upstream is the socket of the upstream, caller the one of the caller.
	upstream *net.UDPConn
	caller   *net.UDPConn
	agent    *hickoryfabric.Agent
	store    *storeStandin
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, is: is.New(t), store: newStoreStandin()}
	w.caller = w.listen(callerIP, 0)
	w.port = w.caller.LocalAddr().(*net.UDPAddr).Port
	w.upstream = w.listen(agentIP, 0)
	w.store.publish(w.upstream.LocalAddr().String())
	w.startAgent()
	return w
}

func (w *world) listen(ip string, port int) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	w.is.NoErr(err)
	w.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func endpoint(ip string, port int) hickoryid.Endpoint {
	return hickoryid.Endpoint(fmt.Sprintf("%s:%d", ip, port))
}

func (w *world) startAgent() {
	agent, err := hickoryfabric.NewAgent(hickorysettings.FabricAgent{
		Instance: "agent", Zone: "a", Service: "clubroom",
		DataEndpoint: endpoint(agentIP, w.port), AgentPort: w.port + 1,
		UpstreamEndpoint: hickoryid.Endpoint(w.upstream.LocalAddr().String()),
		ReturnEndpoint:   endpoint(agentIP, 0), ReadyEndpoint: endpoint(agentIP, 0), DrainTimeout: "1s",
	}, platform.Translation(), hickorylog.New(io.Discard, "agent"))
	w.is.NoErr(err)
	w.is.NoErr(agent.Start(w.t.Context()))
	w.t.Cleanup(func() { w.is.NoErr(agent.Close()) })
	w.agent = agent
}

// startBalancer starts a balancer and waits until it is ready.
func (w *world) startBalancer(ip string, control int, store hickoryfabric.Store, seeds ...hickoryid.Endpoint) *hickoryfabric.Balancer {
	balancer, err := hickoryfabric.NewBalancer(hickorysettings.FabricBalancer{
		Instance: "balancer", Zone: "a",
		DataEndpoint: endpoint(ip, w.port), AgentEndpoint: endpoint(ip, w.port+1),
		ControlEndpoint: endpoint(ip, control), ReadyEndpoint: endpoint(ip, 0), DrainTimeout: "4s", Seeds: seeds,
	}, platform.Translation(), store, hickorylog.New(io.Discard, "balancer"))
	w.is.NoErr(err)
	w.is.NoErr(balancer.Start(w.t.Context()))
	w.t.Cleanup(func() { w.is.NoErr(balancer.Close()) })
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !balancer.Ready() {
		<-ticker.C
	}
	return balancer
}

// packet returns a packet of the caller's flow.
func packet(flags byte, sequence, acknowledged uint32) []byte {
	flow := hickorymodel.FlowKey{
		Source:      hickorymodel.NewSocketAddress(netip.MustParseAddrPort(callerIP + ":40001")),
		Destination: hickorymodel.NewSocketAddress(serviceAddress),
		Protocol:    hickorymodel.ProtocolTCP,
	}
	// A reset from the callee's side with other flags serves as any packet.
	flow.Source, flow.Destination = flow.Destination, flow.Source
	data := platform.EncodeReset(flow, sequence)
	data[8], data[9], data[10], data[11] = byte(acknowledged>>24), byte(acknowledged>>16), byte(acknowledged>>8), byte(acknowledged)
	data[24] = flags
	return data
}

// Flags of packets, as the wire has them.
const (
	flagFirst    = 2
	flagAnswer   = 6
	flagData     = 4
	flagReturned = 8
)

// send hands a packet of the caller to a balancer.
func (w *world) send(ip string, data []byte) {
	target := netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(w.port))
	_, err := w.caller.WriteToUDPAddrPort(data, target)
	w.is.NoErr(err)
}

// receive returns the next packet of a socket.
func (w *world) receive(conn *net.UDPConn) (hickorysteering.Packet, netip.AddrPort) {
	buffer := make([]byte, 2048)
	w.is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	n, from, err := conn.ReadFromUDPAddrPort(buffer)
	w.is.NoErr(err)
	var decoded hickorysteering.Packet
	w.is.NoErr(platform.DecodePacket(buffer[:n], &decoded))
	return decoded, from
}

// reply sends a packet of the upstream to the caller, through the agent.
func (w *world) reply(flags byte) {
	flow := hickorymodel.FlowKey{
		Source:      hickorymodel.NewSocketAddress(netip.MustParseAddrPort(callerIP + ":40001")),
		Destination: hickorymodel.NewSocketAddress(serviceAddress),
	}
	data := platform.EncodeReset(flow, 9)
	data[24] = flags
	w.sendUpstream(data)
}

func (w *world) sendUpstream(data []byte) {
	_, err := w.upstream.WriteToUDPAddrPort(data, w.agent.ReturnEndpoint().AddrPort())
	w.is.NoErr(err)
}

// storeStandin plays the store behind the seams of a balancer.
type storeStandin struct {
	mutex   sync.Mutex
	batches []*hickorydirectory.Batch
	// down makes all calls fail.
	down bool
	wake chan struct{}
}

var errDown = errors.New("store is down")

func newStoreStandin() *storeStandin {
	return &storeStandin{wake: make(chan struct{})}
}

// publish lists one route and one upstream.
func (s *storeStandin) publish(upstream string) {
	s.batches = []*hickorydirectory.Batch{{Through: 1, Complete: true, Changes: []hickorydirectory.Change{
		{Table: &hickorymessage.RouteTable{
			Version: 1, IdleTimeout: "15s",
			Routes:   []hickorymessage.Route{{Name: "live", Address: hickoryid.Endpoint(serviceAddress.String()), Targets: []hickorymessage.RouteTarget{{Service: "clubroom", Weight: 1}}}},
			Services: []hickorymessage.RoutedService{{Name: "clubroom", RampTime: "2s"}},
		}},
		{Upstream: &hickorymessage.ListedUpstream{
			ID: "u-1", Revision: 1, Service: "clubroom", Zone: "a", Endpoint: hickoryid.Endpoint(upstream), Slots: 2, ColdTime: "0s",
		}},
	}}}
}

// calls returns the seams. A watch waits until the context ends.
func (s *storeStandin) calls() hickoryfabric.Store {
	return hickoryfabric.Store{
		List: func(context.Context) (*hickorydirectory.Batch, error) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.down {
				return nil, errDown
			}
			return s.batches[0], nil
		},
		Watch: func(ctx context.Context, _ hickorydirectory.Revision, _ time.Duration) (*hickorydirectory.Batch, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
		HistoryGone: func(error) bool { return false },
		Close:       func() error { return nil },
	}
}
