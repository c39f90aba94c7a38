package hickorysteering_test

import (
	"testing"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
	"hickoryworks/schema/hickoryid"
)

// postponeTime is the time after which the last copy of a first packet is tried again.
const postponeTime = 20 * time.Millisecond

// firstOf returns a copy of the first packet of the flow from a port.
func firstOf(port uint16, copies uint32) *hickorysteering.Packet {
	packet := first(copies)
	packet.Flow.Source.Port = port
	return packet
}

// returnCopies passes a first packet and its copies to the balancer and returns each one
// with a reason. It returns the number of resets.
func (f *fixture) returnCopies(port uint16, reason hickorysteering.Reason) int {
	sent := 0
	for copies := range uint32(3) {
		waiting := targets(f.balancer.Handle(f.now, firstOf(port, copies)))
		for len(waiting) > 0 {
			actions := f.balancer.HandleReturn(f.now, waiting[0], reason, firstOf(port, copies))
			waiting = append(waiting[1:], targets(actions)...)
			sent += resets(actions)
		}
		f.now = f.now.Add(300 * time.Millisecond)
	}
	return sent
}

// TestPacedLastCopyIsTriedAgain guards against the refusal of a flow whose only upstream
// has room: it had only opened many others a moment before.
func TestPacedLastCopyIsTriedAgain(t *testing.T) {
	f := newFixture(t, "a")
	f.is.Equal(f.returnCopies(1, hickorysteering.ReasonPaced), 0)
	f.is.True(f.balancer.Searching()) // ticks come every 10 ms
	f.is.Equal(targets(f.balancer.Tick(f.now)), []hickorymodel.Endpoint{agent(0)})
	actions := f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonBusy, firstOf(1, 2))
	f.is.Equal(resets(actions), 1) // now the upstream has no room
	f.is.True(!f.balancer.Searching())
}

// TestPacedLastCopyAfterPause guards against a flow that ends in silence because its
// balancer was paused, when a refusal would be premature, but another attempt is not.
func TestPacedLastCopyAfterPause(t *testing.T) {
	f := newFixture(t, "a")
	f.balancer.Resumed(f.now.Add(600 * time.Millisecond))
	f.is.Equal(f.returnCopies(1, hickorysteering.ReasonPaced), 0)
	f.is.Equal(targets(f.balancer.Tick(f.now)), []hickorymodel.Endpoint{agent(0)})
}

// TestPacedLastCopyEndsInSilence guards against attempts without end for a flow that the
// caller has given up, and against its refusal although no upstream was full.
func TestPacedLastCopyEndsInSilence(t *testing.T) {
	f := newFixture(t, "a")
	f.is.Equal(f.returnCopies(1, hickorysteering.ReasonPaced), 0)
	attempts := 0
	for range 200 {
		for range targets(f.balancer.Tick(f.now)) {
			attempts++
			f.is.Equal(resets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonPaced, firstOf(1, 2))), 0)
		}
		f.now = f.now.Add(hickorysteering.SearchTickInterval)
	}
	f.is.True(attempts > 0)
	f.is.True(attempts <= 30)
}

// TestManyPostponedPackets guards against refusals, or packets without a bound, when more
// last copies wait for another attempt than a balancer keeps.
func TestManyPostponedPackets(t *testing.T) {
	const kept = 512
	f := newFixture(t, "a")
	for port := range uint16(kept + 10) {
		f.is.Equal(f.returnCopies(port, hickorysteering.ReasonPaced), 0)
		f.now = f.now.Add(-900 * time.Millisecond)
	}
	f.now = f.now.Add(900*time.Millisecond + postponeTime)
	retried := 0
	for range 60 {
		retried += len(targets(f.balancer.Tick(f.now)))
		f.now = f.now.Add(hickorysteering.SearchTickInterval)
	}
	f.is.Equal(retried, kept)
}

// TestLastCopyIsAsked guards against the refusal of a flow because its upstream has just
// had no room for another one, without a question for this one.
func TestLastCopyIsAsked(t *testing.T) {
	f := newFixture(t, "a")
	for copies := range uint32(2) {
		f.balancer.Handle(f.now, firstOf(1, copies))
		f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonFull, firstOf(1, copies))
	}
	f.balancer.Handle(f.now, firstOf(2, 0))
	f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonBusy, firstOf(2, 0))
	f.is.Equal(targets(f.balancer.Handle(f.now, firstOf(1, 2))), []hickorymodel.Endpoint{agent(0)})
	f.is.Equal(resets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonBusy, firstOf(1, 2))), 1)
}

// TestMoreUpstreamsThanAreTried guards against the refusal of a flow while an upstream
// has room that was not among those that a first packet is sent to.
func TestMoreUpstreamsThanAreTried(t *testing.T) {
	cases := []struct {
		name     string
		requests uint32 // unanswered, at each upstream
		resets   int
	}{
		{"the others have room", 0, 0},
		{"the others have no room", 6, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			zones := []hickoryid.ZoneName{}
			for range 8 {
				zones = append(zones, "a")
			}
			f := newFixture(t, zones...)
			for i := range zones {
				f.balancer.HandleReport(f.now, agent(i), &hickoryframe.Header{Service: uint32(clubroom)},
					&hickoryframe.Report{State: uint8(hickorysteering.StateAccepting), Busy: c.requests}, nil)
			}
			f.is.Equal(f.returnCopies(1, hickorysteering.ReasonFull), c.resets)
			f.now = f.now.Add(postponeTime)
			f.is.Equal(len(targets(f.balancer.Tick(f.now))), 1-c.resets)
		})
	}
}

// TestBurstAfterPause guards against refused flows after a pause of balancers or agents,
// when many first packets arrive at once at an upstream that has no requests: of 300
// flows to one upstream up to 48 were refused.
func TestBurstAfterPause(t *testing.T) {
	const flows = 100
	f, s := newFixture(t, "a"), newAgentFixture(t)
	opened := map[hickorymodel.FlowKey]bool{}
	sent := 0
	exchange := func(actions []hickorysteering.Action) {
		pending := append([]hickorysteering.Action{}, actions...)
		for len(pending) > 0 {
			action := pending[0]
			pending = pending[1:]
			switch {
			case action.Verb == hickorysteering.VerbReset:
				sent++
			case hickorysteering.Kind(action.Header.Kind) == hickorysteering.KindOpen:
				pending = append(pending, passFirst(f, s, &action, opened)...)
			default:
			}
		}
	}
	for copies := range uint32(3) {
		for port := range uint16(flows) {
			packet := firstOf(port, copies)
			packet.Bytes = []byte{byte(port), byte(copies)}
			if !opened[packet.Flow] {
				exchange(f.balancer.Handle(f.now, packet))
			}
		}
		for range 60 {
			exchange(f.balancer.Tick(f.now))
			f.now = f.now.Add(hickorysteering.SearchTickInterval)
		}
	}
	f.is.Equal(sent, 0)
	f.is.Equal(len(opened), flows)
}

// passFirst passes a first packet to the agent, whose upstream answers it, and returns
// the balancer's actions if the agent returns it.
func passFirst(f *fixture, s *agentFixture, action *hickorysteering.Action, opened map[hickorymodel.FlowKey]bool) []hickorysteering.Action {
	s.now = f.now
	packet := firstOf(uint16(action.Payload[0]), uint32(action.Payload[1]))
	packet.Bytes = action.Payload
	answer := s.agent.HandleFrame(s.now, balancer, &action.Header, packet)[0]
	if answer.Verb != hickorysteering.VerbDeliver {
		return f.balancer.HandleReturn(f.now, agent(0), hickorysteering.Reason(answer.Header.Reason), packet)
	}
	opened[packet.Flow] = true
	s.agent.HandleUpstream(s.now, &hickorysteering.Packet{Answer: true, Flow: hickorymodel.FlowKey{
		Source: packet.Flow.Destination, Destination: packet.Flow.Source, Protocol: packet.Flow.Protocol,
	}})
	return f.balancer.HandleNotice(f.now, agent(0), hickorysteering.ReasonAnswered, packet.Flow)
}
