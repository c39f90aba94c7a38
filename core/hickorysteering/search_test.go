package hickorysteering_test

import (
	"slices"
	"testing"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
	"hickoryworks/schema/hickoryid"
)

// TestUnknownFlowIsSearched guards against flows that break when their packets
// reach a balancer that has just started.
func TestUnknownFlowIsSearched(t *testing.T) {
	f := newFixture(t, "a", "a", "b")
	f.is.Equal(asked(f.balancer.Handle(f.now, data())), []hickorymodel.Endpoint{agent(0), agent(1)})
	f.is.Equal(len(targets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data()))), 0)
	secondRound := f.balancer.HandleReturn(f.now, agent(1), hickorysteering.ReasonNotHeld, data())
	f.is.Equal(targets(secondRound), []hickorymodel.Endpoint{agent(2)})
	f.balancer.HandleNotice(f.now, agent(2), hickorysteering.ReasonOpen, flow)
	f.is.Equal(f.lastStep(), hickorysteering.StepFound)
	f.is.Equal(targets(f.balancer.Handle(f.now, data())), []hickorymodel.Endpoint{agent(2)})
}

// TestSearchLeavesSilentZone guards against a search that waits for a dead agent of
// the own zone instead of asking other zones.
func TestSearchLeavesSilentZone(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.balancer.Handle(f.now, data())
	f.is.True(f.balancer.Searching())
	f.now = f.now.Add(25 * time.Millisecond)
	f.is.Equal(targets(f.balancer.Tick(f.now)), []hickorymodel.Endpoint{agent(1)})
	f.is.True(!f.balancer.Searching())
}

// TestOthersAreAskedWithoutAnswers guards against a flow of a former service that is
// never found because an agent of the present service does not answer.
func TestOthersAreAskedWithoutAnswers(t *testing.T) {
	f := newFixture(t, "a")
	f.addOtherService()
	f.balancer.Handle(f.now, data())
	f.now = f.now.Add(50 * time.Millisecond)
	f.is.Equal(len(targets(f.balancer.Tick(f.now))), 0) // nearly all searches have ended before
	f.now = f.now.Add(50 * time.Millisecond)
	f.is.Equal(asked(f.balancer.Tick(f.now)), []hickorymodel.Endpoint{agent(0), agent(8)}) // agent(0) once more
}

// TestSecondAnswerWins guards against the reset of a flow when two upstreams have
// answered its first packet and the caller has accepted the later answer.
func TestSecondAnswerWins(t *testing.T) {
	f := newFixture(t, "a", "a")
	chosen := targets(f.balancer.Handle(f.now, first(0)))[0]
	f.balancer.HandleNotice(f.now, chosen, hickorysteering.ReasonAnswered, flow)
	f.is.Equal(targets(f.balancer.Handle(f.now, data())), []hickorymodel.Endpoint{chosen})
	other := agent(0)
	if chosen == other {
		other = agent(1)
	}
	actions := f.balancer.HandleReturn(f.now, chosen, hickorysteering.ReasonNotHeld, data())
	f.is.Equal(resets(actions), 0)
	f.is.Equal(targets(actions), []hickorymodel.Endpoint{other})
}

// TestReportedAddressIsSearched guards against open flows that break when their
// route changes to another service: only a report still names the upstreams that
// hold them.
func TestReportedAddressIsSearched(t *testing.T) {
	f := newFixture(t, "a", "a")
	f.view.Upstreams[1].Service = hickorydirectory.HashService("packetdesk")
	f.balancer.SetView(f.now, f.view)
	f.is.Equal(targets(f.balancer.Handle(f.now, data())), []hickorymodel.Endpoint{agent(0)})
	f.report(agent(1), hickorysteering.StateAccepting, hickoryframe.Address{IP: [4]byte{198, 51, 100, 1}, Port: 443})
	other := data()
	other.Flow.Source.Port++
	f.is.Equal(asked(f.balancer.Handle(f.now, other)), []hickorymodel.Endpoint{agent(0), agent(1)})
}

// TestRemovedUpstreamKeepsFlows guards against open flows that break when their
// upstream is removed from the list.
func TestRemovedUpstreamKeepsFlows(t *testing.T) {
	f := newFixture(t, "a", "a")
	f.view.Upstreams[0].Accepting = false
	f.balancer.SetView(f.now, f.view)
	f.is.Equal(asked(f.balancer.Handle(f.now, data())), []hickorymodel.Endpoint{agent(0), agent(1)})
	f.balancer.HandleNotice(f.now, agent(0), hickorysteering.ReasonOpen, flow)
	f.is.Equal(targets(f.balancer.Handle(f.now, data())), []hickorymodel.Endpoint{agent(0)})
}

// TestIdleFlowIsForgotten guards against a flow cache that grows without bound.
func TestIdleFlowIsForgotten(t *testing.T) {
	f := newFixture(t, "a")
	f.balancer.HandleNotice(f.now, agent(0), hickorysteering.ReasonOpen, flow)
	f.is.Equal(f.balancer.Flows(), 1)
	f.balancer.Tick(f.now.Add(21 * time.Second))
	f.is.Equal(f.balancer.Flows(), 0)
}

// TestNewUpstreamSettles guards against flows at upstreams that other balancers
// have not listed yet.
func TestNewUpstreamSettles(t *testing.T) {
	f := newFixture(t, "a")
	added := f.view.Upstreams[0]
	added.ID = "u-1"
	added.Endpoint.Address[3] = 2
	f.view.Upstreams = append(f.view.Upstreams, added)
	f.balancer.SetView(f.now, f.view)
	f.report(agent(0), hickorysteering.StateStopping)
	f.is.Equal(targets(f.balancer.Handle(f.now, first(0))), []hickorymodel.Endpoint{agent(1)}) // no other upstream is left
	f.report(agent(0), hickorysteering.StateAccepting)
	seen := map[hickorymodel.Endpoint]bool{}
	for port := range uint16(40) {
		packet := first(0)
		packet.Flow.Source.Port = 1000 + port
		seen[targets(f.balancer.Handle(f.now, packet))[0]] = true
	}
	f.is.Equal(seen, map[hickorymodel.Endpoint]bool{agent(0): true})
}

// TestSearchOfLargeService guards against a search that asks all agents of a large
// service for each flow: with 51 upstreams the searches of a restarted balancer
// saturated the processors of all small instances.
func TestSearchOfLargeService(t *testing.T) {
	zones := []hickoryid.ZoneName{}
	for range 20 {
		zones = append(zones, "a", "b")
	}
	f, other := newFixture(t, zones...), newFixture(t, zones...)
	for port := range uint16(200) {
		open, packet := first(0), data()
		open.Flow.Source.Port, packet.Flow.Source.Port = port, port
		owner := targets(f.balancer.Handle(f.now, open))[0]
		f.balancer.HandleReport(f.now, owner, &hickoryframe.Header{}, &hickoryframe.Report{Flows: uint32(port / 20)}, nil)
		round := targets(other.balancer.Handle(other.now, packet))
		f.is.Equal(len(round), 3)
		f.is.True(slices.Contains(round, owner))
	}
}

// TestSearchReachesAll guards against agents that are in no round of a search.
func TestSearchReachesAll(t *testing.T) {
	zones := []hickoryid.ZoneName{}
	for range 8 {
		zones = append(zones, "a", "b")
	}
	f := newFixture(t, zones...)
	seen := map[hickorymodel.Endpoint]int{}
	pending := targets(f.balancer.Handle(f.now, data()))
	for len(pending) > 0 {
		from := pending[0]
		seen[from]++
		pending = append(pending[1:], targets(f.balancer.HandleReturn(f.now, from, hickorysteering.ReasonNotHeld, data()))...)
		f.now = f.now.Add(hickorysteering.SearchTickInterval)
		pending = append(pending, targets(f.balancer.Tick(f.now))...)
	}
	f.is.Equal(len(seen), 16)
	for _, count := range seen {
		f.is.Equal(count, 1)
	}
	f.is.Equal(f.lastStep(), hickorysteering.StepLost)
}

// TestSearchAsksOncePerRepeat guards against a search that sends each packet of a
// burst to all agents: among the packets that came back, small balancers lost the
// notices that would have ended their searches.
func TestSearchAsksOncePerRepeat(t *testing.T) {
	f := newFixture(t, "a", "a")
	f.is.Equal(len(targets(f.balancer.Handle(f.now, data()))), 2)
	for range 16 {
		f.is.Equal(len(targets(f.balancer.Handle(f.now, data()))), 0)
	}
	newest := data()
	newest.Bytes = []byte("newest")
	f.balancer.Handle(f.now, newest)
	found := f.balancer.HandleNotice(f.now, agent(1), hickorysteering.ReasonOpen, flow)
	f.is.Equal(targets(found), []hickorymodel.Endpoint{agent(1)})
	f.is.Equal(string(found[0].Payload), "newest")
}

// TestSearchRepeats guards against a search that fails because its packets or the
// answers to them are lost.
func TestSearchRepeats(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.balancer.Handle(f.now, data())
	f.now = f.now.Add(600 * time.Millisecond)
	f.is.Equal(asked(f.balancer.Handle(f.now, data())), []hickorymodel.Endpoint{agent(0), agent(1)})
}

// TestPresumedOwnerIsNoProof guards against the reset of a flow whose owner was
// presumed wrongly, because a packet was lost on the way to an upstream that does
// not hold the flow.
func TestPresumedOwnerIsNoProof(t *testing.T) {
	f := newFixture(t, "a", "a")
	f.balancer.Handle(f.now, data())
	f.balancer.HandleNotice(f.now, agent(0), hickorysteering.ReasonPresumed, flow)
	f.is.Equal(targets(f.balancer.Handle(f.now, data())), []hickorymodel.Endpoint{agent(0)})
	actions := f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
	f.is.Equal(resets(actions), 0)
	f.is.Equal(targets(actions), []hickorymodel.Endpoint{agent(1)})
}

// TestStragglersAreAskedAgain guards against searches that wait for the caller's next
// packet because one of many frames was lost: with a hundred agents that happened to
// one in ten, and the caller of a lost flow waited half a second longer.
func TestStragglersAreAskedAgain(t *testing.T) {
	zones := []hickoryid.ZoneName{}
	for range 20 {
		zones = append(zones, "a")
	}
	f := newFixture(t, zones...)
	asked, sent := map[hickorymodel.Endpoint]int{}, 0
	waiting := targets(f.balancer.Handle(f.now, data()))
	for range 30 {
		for len(waiting) > 0 {
			target := waiting[0]
			waiting = waiting[1:]
			if asked[target]++; target == agent(7) && asked[target] == 1 {
				continue // the first frame is lost
			}
			actions := f.balancer.HandleReturn(f.now, target, hickorysteering.ReasonNotHeld, data())
			sent += resets(actions)
			waiting = append(waiting, targets(actions)...)
		}
		f.now = f.now.Add(10 * time.Millisecond)
		sent += f.confirm()
		actions := f.balancer.Tick(f.now)
		sent += resets(actions)
		waiting = append(waiting, targets(actions)...)
	}
	f.is.Equal(asked[agent(7)], 2)
	f.is.Equal(sent, 1)
}

// TestSearchOfBusyService guards against flows that are opened beyond the first
// ranks because all upstreams are busy: four of five searches of a restarted
// balancer then asked all agents.
func TestSearchOfBusyService(t *testing.T) {
	zones := []hickoryid.ZoneName{}
	for range 20 {
		zones = append(zones, "a")
	}
	f, other := newFixture(t, zones...), newFixture(t, zones...)
	for i := range zones {
		f.balancer.HandleReport(f.now, agent(i), &hickoryframe.Header{}, &hickoryframe.Report{Busy: 4}, nil)
	}
	for port := range uint16(100) {
		open, packet := first(0), data()
		open.Flow.Source.Port, packet.Flow.Source.Port = port, port
		owner := targets(f.balancer.Handle(f.now, open))[0]
		f.balancer.HandleReport(f.now, owner, &hickoryframe.Header{}, &hickoryframe.Report{Busy: 4}, nil)
		f.is.True(slices.Contains(targets(other.balancer.Handle(other.now, packet)), owner))
	}
}
