package hickoryfabric_test

import (
	"net/netip"
	"testing"
)

// openFlow opens the flow through a balancer, up to the upstream's answer.
func (w *world) openFlow(ip string) {
	w.send(ip, packet(flagFirst, 100, 0))
	opened, _ := w.receive(w.upstream)
	w.is.True(opened.First)
	w.reply(flagAnswer)
	answer, from := w.receive(w.caller)
	w.is.True(answer.Answer)
	w.is.Equal(from.Addr(), netip.MustParseAddr(agentIP)) // straight from the agent
}

// TestPath guards the way of a flow from its first packet on.
func TestPath(t *testing.T) {
	w := newWorld(t)
	w.startBalancer(balancerIP, 0, w.store.calls())
	w.openFlow(balancerIP)
	w.send(balancerIP, packet(flagData, 101, 10))
	delivered, _ := w.receive(w.upstream)
	w.is.Equal(delivered.Acknowledged, uint32(10))
	w.reply(flagData)
	w.receive(w.caller)
}

// TestOtherBalancerFindsFlow guards against flows that break when the fabric
// hands them to another balancer.
func TestOtherBalancerFindsFlow(t *testing.T) {
	w := newWorld(t)
	w.startBalancer(balancerIP, 0, w.store.calls())
	w.openFlow(balancerIP)
	w.startBalancer(otherIP, 0, w.store.calls())
	w.send(otherIP, packet(flagData, 101, 10))
	delivered, _ := w.receive(w.upstream)
	w.is.True(!delivered.First)
}

// TestRestartedUpstream guards against callers that wait for an upstream which
// has lost their flows.
func TestRestartedUpstream(t *testing.T) {
	w := newWorld(t)
	w.startBalancer(balancerIP, 0, w.store.calls())
	w.openFlow(balancerIP)
	w.send(balancerIP, packet(flagData, 101, 10))
	w.receive(w.upstream)
	w.reply(flagData)
	w.receive(w.caller)
	w.send(balancerIP, packet(flagData, 102, 11))
	lost, _ := w.receive(w.upstream)
	lost.Bytes[24] |= flagReturned
	w.sendUpstream(lost.Bytes)
	reset, _ := w.receive(w.caller)
	w.is.True(reset.Reset)
	w.is.Equal(reset.Sequence, uint32(11))
}

// TestBalancerTaughtByAnother guards against a balancer that the store turns
// away and that stays without configuration.
func TestBalancerTaughtByAnother(t *testing.T) {
	w := newWorld(t)
	w.startBalancer(balancerIP, w.port+2, w.store.calls())
	w.store.mutex.Lock()
	w.store.down = true
	w.store.mutex.Unlock()
	w.startBalancer(otherIP, 0, w.store.calls(), endpoint(balancerIP, w.port+2))
	w.openFlow(otherIP)
}

// TestDrainLeavesRotationFirst guards P9: a balancer that is being stopped sends
// packets on while the fabric still hands them over.
func TestDrainLeavesRotationFirst(t *testing.T) {
	w := newWorld(t)
	balancer := w.startBalancer(balancerIP, 0, w.store.calls())
	w.openFlow(balancerIP)
	ended := make(chan error, 1)
	go func() { ended <- balancer.Drain(t.Context()) }()
	for balancer.Ready() {
		w.send(balancerIP, packet(flagData, 101, 10))
		w.receive(w.upstream)
	}
	w.send(balancerIP, packet(flagData, 101, 10))
	w.receive(w.upstream)
	w.is.NoErr(<-ended)
}
