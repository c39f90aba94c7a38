package hickorysteering_test

import (
	"testing"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
)

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
