package hickorysteering_test

import (
	"fmt"
	"math/rand/v2"
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

// TestFlowThatNobodyHolds guards against callers that wait until their deadline
// after all upstreams have restarted, and against the reset of a flow that may be
// held by an upstream whose agent has not answered, whatever it has reported.
func TestFlowThatNobodyHolds(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fixture)
		reset   bool
	}{
		{"all agents have answered", func(*fixture) {}, true},
		{"an agent of another service has never reported", func(f *fixture) {
			f.addOtherService()
		}, false},
		{"the report of an agent of another service is old", func(f *fixture) {
			f.addOtherService()
			f.report(agent(8), hickorysteering.StateAccepting)
			f.now = f.now.Add(11 * time.Second)
			f.is.Equal(f.confirm(), 0)
		}, false},
		{"the report of an agent of another service is older than the search", func(f *fixture) {
			f.addOtherService()
			f.report(agent(8), hickorysteering.StateAccepting)
			f.now = f.now.Add(time.Second)
			f.is.Equal(f.confirm(), 0)
		}, false},
		{"the route has had its services for longer than a flow lives", func(f *fixture) {
			f.addOtherService()
			f.now = f.now.Add(80 * time.Second)
			f.report(agent(8), hickorysteering.StateAccepting)
			f.now = f.now.Add(5 * time.Second)
			f.is.Equal(f.confirm(), 0)
		}, false},
		{"an agent without an entry has sent a frame", func(f *fixture) {
			f.report(agent(8), hickorysteering.StateAccepting)
		}, false},
		{"the old report is of the agent that was asked", func(f *fixture) {
			f.now = f.now.Add(11 * time.Second)
			f.is.Equal(f.confirm(), 0)
		}, true},
		{"an upstream may be listed whose entry has not been read", func(f *fixture) { f.now = f.now.Add(time.Millisecond) }, false},
		{"entries may have expired before the balancer started", func(f *fixture) {
			f.view.SettledAt = f.now.Add(time.Millisecond)
		}, false},
		{"the process was paused", func(f *fixture) { f.balancer.Resumed(f.now) }, false},
		{"the view is not complete", func(f *fixture) {
			f.view.StateComplete = false
			f.balancer.SetView(f.now, f.view)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "a")
			c.prepare(f)
			f.balancer.Handle(f.now, data())
			actions := f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
			f.is.Equal(resets(actions) == 1, c.reset)
		})
	}
}

// addOtherService adds an upstream of a service without a route; its agent is
// agent(8).
func (f *fixture) addOtherService() {
	other := f.view.Upstreams[0]
	other.ID, other.Service = "u-9", hickorydirectory.HashService("packetdesk")
	other.Endpoint.Address[3] = 9
	f.view.Upstreams = append(f.view.Upstreams, other)
	f.balancer.SetView(f.now, f.view)
}

// TestFlowOfFormerService guards against the reset of a flow at the former service of
// a route, and against callers that wait until their deadline when no upstream of any
// service holds the flow.
func TestFlowOfFormerService(t *testing.T) {
	cases := []struct {
		name   string
		answer hickorysteering.Reason
		resets int
	}{
		{"the former service holds it", hickorysteering.ReasonOpen, 0},
		{"the agent there can't tell", hickorysteering.ReasonUnknown, 0},
		{"no upstream holds it", hickorysteering.ReasonNotHeld, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "a")
			f.addOtherService()
			f.report(agent(8), hickorysteering.StateAccepting)
			f.now = f.now.Add(time.Second)
			f.is.Equal(f.confirm(), 0)
			f.is.Equal(targets(f.balancer.Handle(f.now, data())), []hickorymodel.Endpoint{agent(0)})
			actions := f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
			f.is.Equal(resets(actions), 0)
			f.is.Equal(targets(actions), []hickorymodel.Endpoint{agent(8)})
			answers := []hickoryframe.Answer{{Flow: hickorysteering.NoticeOf(flow), Reason: uint8(c.answer)}}
			actions = f.balancer.HandleAnswers(f.now, agent(8), answers)
			f.is.Equal(resets(actions), c.resets)
			f.is.Equal(payloads(actions), 1-c.resets) // the packet goes to the agent that may hold the flow
		})
	}
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

// TestQueriesArePaced guards against a search in a large fleet that fills the ring of
// frames to send, so that queries are lost.
func TestQueriesArePaced(t *testing.T) {
	f := newFixture(t, "a")
	for i := range 1000 {
		other := f.view.Upstreams[0]
		other.ID, other.Service = hickoryid.UpstreamID(fmt.Sprint("v-", i)), hickorydirectory.HashService("packetdesk")
		other.Endpoint.Address = [4]byte{10, 1, byte(i >> 8), byte(i)}
		f.view.Upstreams = append(f.view.Upstreams, other)
	}
	f.balancer.SetView(f.now, f.view)
	f.balancer.Handle(f.now, data())
	seen, frames := map[hickorymodel.Endpoint]bool{}, targets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data()))
	for len(frames) > 0 {
		f.is.True(len(frames) <= 400)
		for _, target := range frames {
			f.is.True(!seen[target])
			seen[target] = true
		}
		f.now = f.now.Add(hickorysteering.SearchTickInterval)
		frames = targets(f.balancer.Tick(f.now))
	}
	f.is.Equal(len(seen), 1000)
}

// TestLostFlowIsReset guards against callers that wait for the answer of an
// upstream which has restarted, whether the balancer or the agent has recorded that
// it held the flow.
func TestLostFlowIsReset(t *testing.T) {
	t.Run("the balancer has recorded the owner", func(t *testing.T) {
		f := newFixture(t, "a", "a")
		f.balancer.HandleNotice(f.now, agent(0), hickorysteering.ReasonOpen, flow)
		actions := f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
		f.is.Equal(resets(actions), 1)
		f.is.Equal(actions[0].Sequence, uint32(500)) // what the caller has acknowledged
	})
	t.Run("the agent has recorded the flow", func(t *testing.T) {
		f := newFixture(t, "a", "a")
		f.balancer.Handle(f.now, data())
		f.is.Equal(resets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonEnded, data())), 1)
	})
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

// TestNewUpstreamIsAskedBeforeReset guards against the reset of a flow at an
// upstream that other balancers have listed earlier: during a series of releases a
// balancer reset a flow 90 ms after it was opened.
func TestNewUpstreamIsAskedBeforeReset(t *testing.T) {
	f := newFixture(t, "a")
	f.now = f.now.Add(500 * time.Millisecond)
	f.balancer.Handle(f.now, data())
	f.is.Equal(resets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())), 0)
	added := f.view.Upstreams[0]
	added.ID = "u-1"
	added.Endpoint.Address[3] = 2
	f.view.Upstreams = append(f.view.Upstreams, added)
	f.balancer.SetView(f.now, f.view)
	actions := f.balancer.Confirm(f.now, f.now)
	f.is.Equal(resets(actions), 0)
	f.is.Equal(targets(actions), []hickorymodel.Endpoint{agent(1)})
	f.report(agent(1), hickorysteering.StateAccepting)
	actions = f.balancer.HandleReturn(f.now, agent(1), hickorysteering.ReasonNotHeld, data())
	f.is.Equal(resets(actions), 1)
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

// TestSearchQueriesBeyondFirstRound guards against searches that send a packet to
// all agents: they filled links of 11 Mbit/s for four seconds.
func TestSearchQueriesBeyondFirstRound(t *testing.T) {
	zones := []hickoryid.ZoneName{}
	for range 20 {
		zones = append(zones, "a")
	}
	f := newFixture(t, zones...)
	f.is.Equal(payloads(f.balancer.Handle(f.now, data())), 3)
	f.now = f.now.Add(25 * time.Millisecond)
	queries := f.balancer.Tick(f.now)
	f.is.Equal(payloads(queries), 0)
	f.is.Equal(len(targets(queries)), 17)
	var unknown hickorymodel.Endpoint
	for _, target := range targets(queries) {
		unknown = target
	}
	answer := f.balancer.HandleNotice(f.now, unknown, hickorysteering.ReasonUnknown, flow)
	f.is.Equal(payloads(answer), 1) // only the agent that answered ReasonUnknown
	f.is.Equal(targets(answer), []hickorymodel.Endpoint{unknown})
}

// TestSearchBudget guards against searches whose packets exceed searchRate and fill
// a link, and against packets that are never sent because the budget was used up.
func TestSearchBudget(t *testing.T) {
	f := newFixture(t, "a", "a", "a", "a")
	sent := 0
	for port := range uint16(500) {
		packet := data()
		packet.Flow.Source.Port = port
		packet.Bytes = make([]byte, 1000)
		first := targets(f.balancer.Handle(f.now, packet))
		for i := range 4 {
			if !slices.Contains(first, agent(i)) {
				f.now = f.now.Add(time.Microsecond)
				for _, from := range first {
					sent += payloads(f.balancer.HandleReturn(f.now, from, hickorysteering.ReasonNotHeld, packet))
				}
				sent += payloads(f.balancer.HandleNotice(f.now, agent(i), hickorysteering.ReasonUnknown, packet.Flow))
			}
		}
	}
	f.is.True(sent >= 90)
	f.is.True(sent <= 110)
	f.now = f.now.Add(time.Second)
	f.is.True(payloads(f.balancer.Tick(f.now)) > 90) // the rest follows in time
}

// TestSearchRateOfLink guards against searches that fill the link of a small balancer,
// and against callers of lost flows that wait although the link has room.
func TestSearchRateOfLink(t *testing.T) {
	cases := []struct {
		mbps float64
		sent int // packets of 1,000 bytes in two seconds, of 2,000 searches
	}{{0, 500}, {10, 500}, {20, 900}, {200, 2000}}
	for _, c := range cases {
		f := newFixture(t, "a")
		f.balancer = hickorysteering.NewBalancer("a", agentPort, rand.New(rand.NewPCG(1, 2)), func(*hickorysteering.Decision) {},
			hickorysteering.WithLink(c.mbps))
		f.addOtherService()
		sent := 0
		for port := range uint16(2000) {
			packet := data()
			packet.Flow.Source.Port = port
			packet.Bytes = make([]byte, 1000)
			f.balancer.Handle(f.now, packet)
			f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, packet)
			sent += payloads(f.balancer.HandleNotice(f.now, agent(8), hickorysteering.ReasonUnknown, packet.Flow))
		}
		for range 200 {
			f.now = f.now.Add(hickorysteering.SearchTickInterval)
			sent += payloads(f.balancer.Tick(f.now))
		}
		f.is.True(sent > c.sent*8/10)
		f.is.True(sent <= c.sent*12/10)
	}
}

// TestShortestSearchGoesFirst guards against callers of lost flows that all wait until
// the packets of the last search are sent, and against queries to an agent that has just
// answered that it can't tell.
func TestShortestSearchGoesFirst(t *testing.T) {
	f := newFixture(t, "a")
	f.addOtherService()
	search := func(port uint16) []hickorysteering.Action {
		packet := data()
		packet.Flow.Source.Port = port
		packet.Bytes = make([]byte, 1000)
		if port > 150 {
			packet.Bytes = packet.Bytes[:500]
		}
		packet.Bytes[0] = byte(port)
		f.balancer.Handle(f.now, packet)
		return append([]hickorysteering.Action{}, f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, packet)...)
	}
	query := search(0)
	f.is.Equal(len(query[0].Flows), 1)
	answers := []hickoryframe.Answer{{Flow: query[0].Flows[0], Reason: uint8(hickorysteering.ReasonUnknown)}}
	f.is.Equal(payloads(f.balancer.HandleAnswers(f.now, agent(8), answers)), 1)
	order := []byte{0}
	collect := func(actions []hickorysteering.Action) {
		for _, action := range actions {
			f.is.True(action.Verb != hickorysteering.VerbQuery)
			if len(action.Payload) > 0 && action.Target == agent(8) && !slices.Contains(order, action.Payload[0]) {
				order = append(order, action.Payload[0])
			}
		}
	}
	for port := range uint16(200) {
		f.now = f.now.Add(time.Microsecond)
		collect(search(port + 1))
	}
	f.is.True(len(order) < 110) // the budget is used up
	sent := len(order)
	f.is.True(f.balancer.Searching())
	for range 60 {
		f.now = f.now.Add(hickorysteering.SearchTickInterval)
		collect(f.balancer.Tick(f.now))
	}
	f.is.Equal(len(order), 201)
	f.is.Equal(order[sent], byte(151)) // the first of the short ones
	slices.Sort(order[sent : sent+50])
	f.is.Equal(order[sent+49], byte(200))
	f.is.True(slices.IsSorted(order[sent+50:]))
}

// TestQueriedOwnerGetsPacket guards against requests that wait for the caller's
// retransmission because their owner got a query but not the packet: 3% of the
// requests were 200 ms late after balancers had joined.
func TestQueriedOwnerGetsPacket(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.balancer.Handle(f.now, data())
	f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
	found := f.balancer.HandleNotice(f.now, agent(1), hickorysteering.ReasonOpen, flow)
	f.is.Equal(targets(found), []hickorymodel.Endpoint{agent(1)})
	f.is.Equal(payloads(found), 1)
}

// TestExhaustedSearchStartsAgain guards against a flow that is never found again
// because its owner has once answered that it does not hold it.
func TestExhaustedSearchStartsAgain(t *testing.T) {
	f := newFixture(t, "a")
	f.now = f.now.Add(500 * time.Millisecond) // the last confirmation is too old for a reset
	f.balancer.Handle(f.now, data())
	f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
	f.now = f.now.Add(600 * time.Millisecond)
	f.is.Equal(len(targets(f.balancer.Handle(f.now, data()))), 0)
	f.now = f.now.Add(time.Second)
	f.is.Equal(targets(f.balancer.Handle(f.now, data())), []hickorymodel.Endpoint{agent(0)})
}

// TestSearchAsksForConfirmation guards against a search for a flow without an owner
// that waits until the store is next read for another reason.
func TestSearchAsksForConfirmation(t *testing.T) {
	f := newFixture(t, "a")
	f.now = f.now.Add(500 * time.Millisecond)
	f.balancer.Handle(f.now, data())
	f.is.True(!f.balancer.NeedsConfirmation())
	f.is.Equal(resets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())), 0)
	f.is.True(f.balancer.NeedsConfirmation())
	f.is.True(!f.balancer.NeedsConfirmation()) // once per call
	f.is.Equal(resets(f.balancer.SetView(f.now, f.view)), 0)
	f.is.Equal(f.confirm(), 1)
}

// TestSearchWaitsForSettledView guards against a search that never ends because nobody
// asks the store, and against a call to the store for each search while entries may still
// come back.
func TestSearchWaitsForSettledView(t *testing.T) {
	f := newFixture(t, "a")
	f.now = f.now.Add(500 * time.Millisecond)
	f.view.SettledAt = hickorydirectory.NeverSettled
	f.balancer.Handle(f.now, data())
	f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
	f.is.True(f.balancer.NeedsConfirmation()) // the first answer of the store sets SettledAt
	f.is.Equal(f.confirm(), 0)
	f.view.SettledAt = f.now.Add(2500 * time.Millisecond)
	sent, confirmations := 0, 0
	for sent == 0 && f.now.Before(f.view.SettledAt.Add(time.Second)) {
		f.now = f.now.Add(100 * time.Millisecond)
		sent += resets(f.balancer.Tick(f.now))
		if f.balancer.NeedsConfirmation() {
			confirmations++
		}
		f.is.True(sent == 0 || !f.now.Before(f.view.SettledAt))
	}
	f.is.Equal(sent, 1)
	f.is.Equal(confirmations, 0)
}

// TestGoneUpstreamEndsSearch guards against searches for lost flows that wait for
// an agent which has ended with its upstream: after a power failure searches waited
// for five agents without end. It also guards against flows that are reset because
// the agent beside an upstream that serves them is paused, also while the upstream is
// leaving.
func TestGoneUpstreamEndsSearch(t *testing.T) {
	cases := []struct {
		name             string
		leaving, removed bool
		want             int
	}{
		{"the upstream has left", true, true, 1},
		{"the upstream is leaving and its agent is silent", true, false, 0},
		{"the upstream is listed and its agent is silent", false, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "a", "b")
			f.balancer.Handle(f.now, data())
			f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
			u := &f.view.Upstreams[1]
			u.Leaving, u.Removed, u.Accepting = c.leaving, c.removed, !c.leaving
			f.balancer.SetView(f.now, f.view)
			sent := 0
			for range 100 {
				f.now = f.now.Add(100 * time.Millisecond)
				sent += f.confirm()
				f.report(agent(0), hickorysteering.StateAccepting)
				sent += resets(f.balancer.Tick(f.now))
			}
			f.is.Equal(sent, c.want)
		})
	}
}

// TestSearchDuringRelease guards against searches that wait for each agent that ends
// with its upstream, one after the other during a release: each search took 1.2 s
// then, the time after which a silent agent is noticed.
func TestSearchDuringRelease(t *testing.T) {
	cases := []struct {
		name  string
		stops bool
		limit time.Duration
	}{
		{"the agent says that it stops", true, 50 * time.Millisecond},
		{"the agent ends without a word", false, 400 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "a", "b")
			begun := f.now
			f.balancer.Handle(f.now, data())
			f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
			if c.stops {
				f.report(agent(1), hickorysteering.StateStopping)
			}
			u := &f.view.Upstreams[1]
			u.Leaving, u.Removed, u.Accepting = true, true, false
			sent := resets(f.balancer.SetView(f.now, f.view))
			for sent == 0 && f.now.Sub(begun) < c.limit {
				f.now = f.now.Add(10 * time.Millisecond)
				sent += f.confirm()
				sent += resets(f.balancer.Tick(f.now))
			}
			f.is.Equal(sent, 1)
		})
	}
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

// TestQueriesShareFrames guards against balancers that use up their processors with
// queries after a power failure: each of hundreds of searches asked some 50 agents
// with frames of its own.
func TestQueriesShareFrames(t *testing.T) {
	f := newFixture(t, "a", "b")
	sent := 0
	for port := range uint16(200) {
		packet := data()
		packet.Flow.Source.Port = port
		f.balancer.Handle(f.now, packet)
		sent += len(targets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, packet)))
	}
	f.is.Equal(sent, 1) // the first query after an idle time is sent at once
	f.is.True(f.balancer.Searching())
	f.now = f.now.Add(hickorysteering.SearchTickInterval)
	frames, flows := 0, 0
	for _, action := range f.balancer.Tick(f.now) {
		frames++
		flows += len(action.Flows)
	}
	f.is.Equal(flows, 199)
	f.is.Equal(frames, 3)
	f.is.True(!f.balancer.Searching())
}

// TestQueryNamesNoStart guards against agents that compare the published start of
// their upstream with their own, as those of earlier builds do.
func TestQueryNamesNoStart(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.balancer.Handle(f.now, data())
	queries := f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
	f.is.Equal(queries[0].Query, hickoryframe.Query{IdleTime: 15000})
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
