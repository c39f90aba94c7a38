package hickoryfabric_test

import (
	"net/netip"
	"testing"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/platform"
	"hickoryworks/schema/hickorymessage"
)

// openFlow sends the first packet through a balancer and the upstream's answer back.
func (f *fabricFixture) openFlow(ip string) {
	f.send(ip, packet(flagFirst, 100, 0))
	opened, _ := f.receive(f.upstream)
	f.is.True(opened.First)
	f.reply(flagAnswer)
	answer, from := f.receive(f.caller)
	f.is.True(answer.Answer)
	f.is.Equal(from.Addr(), netip.MustParseAddr(agentIP)) // straight from the agent
}

// TestFlowThroughBalancer guards against packets of a flow that do not arrive, in
// either direction, from the first packet on.
func TestFlowThroughBalancer(t *testing.T) {
	f := newFabricFixture(t)
	f.startBalancer(balancerIP, 0, f.store.functions())
	f.openFlow(balancerIP)
	f.send(balancerIP, packet(flagData, 101, 10))
	delivered, _ := f.receive(f.upstream)
	f.is.Equal(delivered.Acknowledged, uint32(10))
	f.reply(flagData)
	f.receive(f.caller)
}

// TestOtherBalancerFindsFlow guards against flows that break when the fabric sends
// their packets to another balancer, which has to search for the owner.
func TestOtherBalancerFindsFlow(t *testing.T) {
	f := newFabricFixture(t)
	f.startBalancer(balancerIP, 0, f.store.functions())
	f.openFlow(balancerIP)
	f.startBalancer(otherBalancerIP, 0, f.store.functions())
	f.send(otherBalancerIP, packet(flagData, 101, 10))
	delivered, _ := f.receive(f.upstream)
	f.is.True(!delivered.First)
}

// TestRestartedUpstream guards against callers that wait for an answer on a flow that
// the upstream has lost: the upstream returns the packet, and the caller must get a
// reset.
func TestRestartedUpstream(t *testing.T) {
	f := newFabricFixture(t)
	f.startBalancer(balancerIP, 0, f.store.functions())
	f.openFlow(balancerIP)
	f.send(balancerIP, packet(flagData, 101, 10))
	f.receive(f.upstream)
	f.reply(flagData)
	f.receive(f.caller)
	f.send(balancerIP, packet(flagData, 102, 11))
	lost, _ := f.receive(f.upstream)
	lost.Bytes[24] |= flagReturned
	f.sendUpstream(lost.Bytes)
	reset, _ := f.receive(f.caller)
	f.is.True(reset.Reset)
	f.is.Equal(reset.Sequence, uint32(11))
}

// TestBalancerGetsStateFromAnother guards against a balancer that stays without a
// configuration while its calls to the store fail. It must get the state from the
// balancer that its seeds name.
func TestBalancerGetsStateFromAnother(t *testing.T) {
	f := newFabricFixture(t)
	f.startBalancer(balancerIP, f.port+2, f.store.functions())
	f.store.mutex.Lock()
	f.store.down = true
	f.store.mutex.Unlock()
	f.startBalancer(otherBalancerIP, 0, f.store.functions(), endpoint(balancerIP, f.port+2))
	f.openFlow(otherBalancerIP)
}

// receivesReset reports whether a reset reaches the caller within a short time.
func (f *fabricFixture) receivesReset() bool {
	buffer := make([]byte, 2048)
	f.is.NoErr(f.caller.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	n, err := f.caller.Read(buffer)
	if err != nil {
		return false
	}
	var decoded hickorysteering.Packet
	f.is.NoErr(platform.DecodePacket(buffer[:n], &decoded))
	return decoded.Reset
}

// TestBalancerFollowsAnother guards against balancers that all watch the store, and
// against one that does not and misses a change.
func TestBalancerFollowsAnother(t *testing.T) {
	f := newFabricFixture(t)
	f.startBalancer(balancerIP, f.port+2, f.store.functions(), endpoint(balancerIP, f.port+2))
	f.startBalancer(otherBalancerIP, f.port+2, f.store.functions(), endpoint(balancerIP, f.port+2))
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for alone := 0; alone < 100; alone++ { // until one has watched alone for 100 ms
		<-ticker.C
		if f.store.pendingWatches() > 1 {
			alone = 0
		}
	}
	f.store.publishChange(hickorydirectory.Change{Table: &hickorymessage.RouteTable{Version: 2, IdleTimeout: "15s", Services: []hickorymessage.RoutedService{}, Routes: []hickorymessage.Route{}}})
	sequence := uint32(100)
	for _, ip := range []string{balancerIP, otherBalancerIP} {
		for refused := false; !refused; { // by the version without a route
			sequence++ // a new flow: an upstream may hold one that was routed before
			f.send(ip, packet(flagFirst, sequence, 0))
			refused = f.receivesReset()
		}
	}
}

// TestDrainLeavesRotationFirst guards against packets that are lost while a balancer
// is being stopped (guarantee P9): it must forward packets as long as the fabric
// sends them to it, also after its readiness check fails.
func TestDrainLeavesRotationFirst(t *testing.T) {
	f := newFabricFixture(t)
	balancer := f.startBalancer(balancerIP, 0, f.store.functions())
	f.openFlow(balancerIP)
	ended := make(chan error, 1)
	go func() { ended <- balancer.Drain(t.Context()) }()
	for balancer.Ready() {
		f.send(balancerIP, packet(flagData, 101, 10))
		f.receive(f.upstream)
	}
	f.send(balancerIP, packet(flagData, 101, 10))
	f.receive(f.upstream)
	f.is.NoErr(<-ended)
}
