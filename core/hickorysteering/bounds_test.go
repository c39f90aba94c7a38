package hickorysteering_test

import (
	"testing"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
	"hickoryworks/schema/hickoryid"
)

// The tests of this file exceed each bound on the way to a reset or a refusal that has
// no test of its own elsewhere. What a bound leaves out must end in silence or in
// another question; docs/platform.md has the list.

// dataOf returns a packet of the open flow from a port.
func dataOf(port uint16) *hickorysteering.Packet {
	packet := data()
	packet.Flow.Source.Port = port
	return packet
}

// answersOf returns the same answer for flows.
func answersOf(flows []hickoryframe.Notice, reason hickorysteering.Reason) []hickoryframe.Answer {
	answers := []hickoryframe.Answer{}
	for _, named := range flows {
		answers = append(answers, hickoryframe.Answer{Flow: named, Reason: uint8(reason)})
	}
	return answers
}

// TestFullFlowCacheRefusesNothing guards against the refusal of a flow that opens at an
// upstream, because the balancer had no room to record where its first packet went, and
// against a first packet that goes back and forth between upstreams without end.
func TestFullFlowCacheRefusesNothing(t *testing.T) {
	const maxFlows = 1 << 18
	f := newFixture(t, "a", "a")
	for i := range maxFlows {
		other := flow
		other.Destination.Port, other.Source.Port = uint16(1000+i>>16), uint16(i)
		f.balancer.HandleNotice(f.now, agent(0), hickorysteering.ReasonAnswered, other)
	}
	f.is.Equal(f.balancer.Flows(), maxFlows)
	for copies := range uint32(3) {
		sentTo := targets(f.balancer.Handle(f.now, first(copies)))
		f.is.Equal(len(sentTo), 1)
		f.is.Equal(len(f.balancer.HandleReturn(f.now, sentTo[0], hickorysteering.ReasonFull, first(copies))), 0)
	}
	f.is.Equal(f.balancer.Flows(), maxFlows)
}

// TestUnansweredCopiesBeyondList guards against the refusal of a flow of which more
// agents have a first packet than the balancer records.
func TestUnansweredCopiesBeyondList(t *testing.T) {
	zones := []hickoryid.ZoneName{}
	for range 8 {
		zones = append(zones, "a")
	}
	f := newFixture(t, zones...)
	sentTo := []hickorymodel.Endpoint{}
	for copies := range uint32(8) {
		sentTo = append(sentTo, targets(f.balancer.Handle(f.now, first(copies)))...)
	}
	f.is.True(len(sentTo) > 6)
	for i := range f.view.Upstreams {
		f.view.Upstreams[i].Accepting = false
	}
	f.balancer.SetView(f.now, f.view)
	for _, from := range sentTo[:len(sentTo)-1] { // the last agent keeps the packet
		f.is.Equal(resets(f.balancer.HandleReturn(f.now, from, hickorysteering.ReasonFull, first(2))), 0)
	}
	f.is.Equal(resets(f.balancer.Handle(f.now, first(8))), 0)
}

// TestSearchesBeyondBound guards against the reset of a flow that no agent was asked for,
// because too many searches run, and against one that is never searched for afterwards.
func TestSearchesBeyondBound(t *testing.T) {
	const maxSearches = 1 << 14
	f := newFixture(t, "a")
	for port := range uint16(maxSearches) {
		f.balancer.Handle(f.now, dataOf(port))
	}
	f.is.Equal(len(f.balancer.Handle(f.now, dataOf(maxSearches))), 0)
	f.is.Equal(f.lastStep(), hickorysteering.StepUnknown)
	f.is.Equal(f.confirm(), 0)
	f.now = f.now.Add(11 * time.Second)
	f.is.Equal(resets(f.balancer.Tick(f.now)), 0) // ends the searches
	f.is.Equal(targets(f.balancer.Handle(f.now, dataOf(maxSearches))), []hickorymodel.Endpoint{agent(0)})
}

// TestSearchLifeEndsInSilence guards against the reset of a flow when a search ends
// because agents have not answered in its whole life, more of them than are asked again.
func TestSearchLifeEndsInSilence(t *testing.T) {
	zones := []hickoryid.ZoneName{}
	for range 12 {
		zones = append(zones, "a")
	}
	f := newFixture(t, zones...)
	f.balancer.Handle(f.now, data())
	for range 1200 {
		f.now = f.now.Add(hickorysteering.SearchTickInterval)
		f.is.Equal(f.confirm(), 0)
		f.is.Equal(resets(f.balancer.Tick(f.now)), 0)
	}
	f.is.Equal(len(targets(f.balancer.Handle(f.now, data()))), 3) // a new search
}

// TestLostAnswersEndInSilence guards against the reset of flows whose query or answer was
// lost: those of one search share frames of at most 80 flows.
func TestLostAnswersEndInSilence(t *testing.T) {
	const flows, perFrame = 200, 80
	f := newFixture(t, "a")
	f.addOtherService()
	queries := []hickorysteering.Action{}
	collect := func(actions []hickorysteering.Action) {
		for _, action := range actions {
			if action.Verb == hickorysteering.VerbQuery {
				queries = append(queries, action)
			}
		}
	}
	for port := range uint16(flows) {
		f.balancer.Handle(f.now, dataOf(port))
		collect(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, dataOf(port)))
	}
	f.now = f.now.Add(hickorysteering.SearchTickInterval)
	collect(f.balancer.Tick(f.now))
	f.confirm()
	sent, denied := 0, 0
	for i, query := range queries {
		f.is.Equal(query.Target, agent(8))
		f.is.True(len(query.Flows) <= perFrame)
		if i == len(queries)-1 {
			continue // the last answer is lost
		}
		denied += len(query.Flows)
		sent += resets(f.balancer.HandleAnswers(f.now, agent(8), answersOf(query.Flows, hickorysteering.ReasonNotHeld)))
	}
	for range 20 {
		f.now = f.now.Add(hickorysteering.SearchTickInterval)
		sent += resets(f.balancer.Tick(f.now)) + f.confirm()
	}
	f.is.True(denied < flows)
	f.is.Equal(sent, denied)
}

// TestPendingPacketsEndNothing guards against the reset of flows whose packets wait for
// the budget of searches, after all agents that have got theirs have returned them.
func TestPendingPacketsEndNothing(t *testing.T) {
	const flows = 300
	f := newFixture(t, "a")
	f.addOtherService()
	packetOf := func(port uint16) *hickorysteering.Packet {
		packet := dataOf(port)
		packet.Bytes = make([]byte, 1000)
		packet.Bytes[0], packet.Bytes[1] = byte(port>>8), byte(port)
		return packet
	}
	sent, returned := 0, 0
	returnAll := func(actions []hickorysteering.Action) {
		for _, action := range append([]hickorysteering.Action{}, actions...) {
			if action.Target == agent(8) && len(action.Payload) > 0 {
				port := uint16(action.Payload[0])<<8 | uint16(action.Payload[1])
				sent += resets(f.balancer.HandleReturn(f.now, agent(8), hickorysteering.ReasonNotHeld, packetOf(port)))
				returned++
			}
		}
	}
	for port := range uint16(flows) {
		f.balancer.Handle(f.now, packetOf(port))
		returnAll(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, packetOf(port)))
		returnAll(f.balancer.HandleAnswers(f.now, agent(8), answersOf([]hickoryframe.Notice{hickorysteering.NoticeOf(packetOf(port).Flow)}, hickorysteering.ReasonUnknown)))
	}
	f.is.True(returned > 50)
	f.is.True(returned < flows) // the others wait
	f.is.Equal(sent, returned)
	for range 200 {
		f.now = f.now.Add(hickorysteering.SearchTickInterval)
		sent += f.confirm()
		returnAll(f.balancer.Tick(f.now))
		f.is.Equal(sent, returned)
	}
	f.is.Equal(sent, flows)
}

// TestForgottenAgentIsAskedWhenHeard guards against the reset of a flow at an upstream
// without an entry, whose agent was silent for so long that the balancer has forgotten
// it, and is heard again during the search.
func TestForgottenAgentIsAskedWhenHeard(t *testing.T) {
	f := newFixture(t, "a")
	f.report(agent(8), hickorysteering.StateAccepting)
	for range 80 {
		f.now = f.now.Add(time.Second)
		f.report(agent(0), hickorysteering.StateAccepting)
		f.balancer.Tick(f.now)
	}
	f.balancer.Handle(f.now, data())
	f.is.Equal(resets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())), 0)
	f.report(agent(8), hickorysteering.StateAccepting)
	actions := f.balancer.Confirm(f.now, f.now)
	f.is.Equal(resets(actions), 0)
	f.is.Equal(targets(actions), []hickorymodel.Endpoint{agent(8)})
}
