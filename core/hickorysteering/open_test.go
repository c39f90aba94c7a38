package hickorysteering_test

import (
	"slices"
	"testing"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
)

// TestFirstPacketStaysInZone guards against flows that cross zones while the
// balancer's own zone has room.
func TestFirstPacketStaysInZone(t *testing.T) {
	f := newFixture(t, "b", "a", "b")
	f.is.Equal(targets(f.balancer.Handle(f.now, first(0))), []hickorymodel.Endpoint{agent(1)})
}

// TestFirstPacketLeavesFullZone guards against a zone that keeps getting flows at
// full load while another zone is idle.
func TestFirstPacketLeavesFullZone(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.balancer.HandleReport(f.now, agent(0), &hickoryframe.Header{Service: uint32(clubroom)},
		&hickoryframe.Report{State: uint8(hickorysteering.StateAccepting), Busy: 6}, nil)
	f.is.Equal(targets(f.balancer.Handle(f.now, first(0))), []hickorymodel.Endpoint{agent(1)})
}

// TestFirstPacketAvoids guards against new flows at upstreams that must not or
// cannot take them.
func TestFirstPacketAvoids(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fixture)
	}{
		{"leaving or zone out of service", func(f *fixture) {
			f.view.Upstreams[0].Accepting = false
			f.balancer.SetView(f.now, f.view)
		}},
		{"agent that is being stopped", func(f *fixture) { f.report(agent(0), hickorysteering.StateStopping) }},
		{"upstream that does not answer", func(f *fixture) { f.report(agent(0), hickorysteering.StateSilent) }},
		{"agent that does not answer", func(f *fixture) {
			f.balancer.Handle(f.now, first(0))
			f.now = f.now.Add(1300 * time.Millisecond)
			f.balancer.Tick(f.now)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "a", "b")
			c.prepare(f)
			other := first(0)
			other.Flow.Source.Port++
			f.is.Equal(targets(f.balancer.Handle(f.now, other)), []hickorymodel.Endpoint{agent(1)})
		})
	}
}

// TestNoRouteIsRefusedAtOnce guards against callers that get no reset for an
// address without a route, against resets before the configuration is known, and
// against the refusal of flows to a published route that the balancer could not use.
func TestNoRouteIsRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name    string
		view    hickorydirectory.View
		refused bool
	}{
		{"all routes are known", hickorydirectory.View{StateComplete: true}, true},
		{"no route is known yet", hickorydirectory.View{}, false},
		{"a route was left out", hickorydirectory.View{StateComplete: true, RoutesLeftOut: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "a")
			f.balancer.SetView(f.now, &c.view)
			actions := f.balancer.Handle(f.now, first(0))
			f.is.Equal(len(targets(actions)), 0)
			f.is.Equal(resets(actions) == 1, c.refused)
		})
	}
}

// TestCopyTriesAnotherUpstream guards against all copies of a first packet going to
// the same dead upstream.
func TestCopyTriesAnotherUpstream(t *testing.T) {
	f := newFixture(t, "a", "a", "a")
	seen := []hickorymodel.Endpoint{}
	for copies := range uint32(3) {
		seen = append(seen, targets(f.balancer.Handle(f.now, first(copies)))...)
	}
	f.is.Equal(len(seen), 3)
	slices.SortFunc(seen, hickorymodel.Endpoint.Compare)
	f.is.Equal(seen, []hickorymodel.Endpoint{agent(0), agent(1), agent(2)})
}

// TestCopyStaysWithAnswer guards against a second owner of a flow: a copy must not
// go elsewhere once an upstream has answered the first packet.
func TestCopyStaysWithAnswer(t *testing.T) {
	f := newFixture(t, "a", "a")
	chosen := targets(f.balancer.Handle(f.now, first(0)))
	f.balancer.HandleNotice(f.now, chosen[0], hickorysteering.ReasonAnswered, flow)
	f.is.Equal(targets(f.balancer.Handle(f.now, first(1))), chosen)
}

// TestRefusedFirstPacket guards against an attempt to open a flow that ends at the
// first upstream which refuses it, that ends before the caller's last copy, or that
// gets no reset after it.
func TestRefusedFirstPacket(t *testing.T) {
	f := newFixture(t, "a", "b")
	for copies := range uint32(3) {
		f.is.Equal(targets(f.balancer.Handle(f.now, first(copies))), []hickorymodel.Endpoint{agent(0)})
		next := targets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonFull, first(copies)))
		f.is.Equal(next, []hickorymodel.Endpoint{agent(1)})
		last := f.balancer.HandleReturn(f.now, agent(1), hickorysteering.ReasonFull, first(copies))
		f.is.Equal(len(targets(last)), 0)
		f.is.Equal(resets(last) == 1, copies == 2)
		f.now = f.now.Add(300 * time.Millisecond)
	}
}

// TestRefusalNeedsProof guards against the reset of a flow that opens at an upstream
// which has got an earlier copy of its first packet and answers late.
func TestRefusalNeedsProof(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fixture)
		resets  int
	}{
		{"no agent has a copy", func(f *fixture) {
			f.balancer.Handle(f.now, first(0))
			f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonFull, first(0))
			f.balancer.Handle(f.now, first(1))
			f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonFull, first(1))
		}, 1},
		{"an agent has not returned the first copy", func(f *fixture) {
			f.balancer.Handle(f.now, first(0))
			f.balancer.Handle(f.now, first(1))
		}, 0},
		{"another balancer has handled the second copy", func(f *fixture) {
			f.balancer.Handle(f.now, first(0))
			f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonFull, first(0))
		}, 0},
		{"another balancer has handled the first copy", func(f *fixture) {
			f.balancer.Handle(f.now, first(1))
			f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonFull, first(1))
		}, 0},
		{"an agent has got the first copy twice and returned it once", func(f *fixture) {
			f.balancer.Handle(f.now, first(0))
			f.balancer.Handle(f.now, first(0))
			f.balancer.Handle(f.now, first(1))
			f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonFull, first(0))
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "a")
			c.prepare(f)
			f.view.Upstreams[0].Accepting = false
			f.balancer.SetView(f.now, f.view)
			f.now = f.now.Add(600 * time.Millisecond)
			f.is.Equal(resets(f.balancer.Handle(f.now, first(2))), c.resets)
		})
	}
	t.Run("the agent returns the first copy late", func(t *testing.T) {
		f := newFixture(t, "a")
		f.balancer.Handle(f.now, first(0))
		f.view.Upstreams[0].Accepting = false
		f.balancer.SetView(f.now, f.view)
		f.balancer.Handle(f.now, first(1))
		f.is.Equal(resets(f.balancer.Handle(f.now, first(2))), 0)
		f.is.Equal(resets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonFull, first(0))), 1)
		f.is.Equal(resets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonFull, first(0))), 0)
	})
	t.Run("the route is gone, and another balancer may have known it", func(t *testing.T) {
		f := newFixture(t, "a")
		f.balancer.SetView(f.now, &hickorydirectory.View{StateComplete: true})
		f.is.Equal(resets(f.balancer.Handle(f.now, first(1))), 0)
		f.is.Equal(resets(f.balancer.Handle(f.now, first(0))), 1)
	})
}

// TestLateReturnIsIgnored guards against a flow that moves to another upstream
// because of a late return from an agent to which its copies are no longer sent.
func TestLateReturnIsIgnored(t *testing.T) {
	f := newFixture(t, "a", "a")
	early := targets(f.balancer.Handle(f.now, first(0)))
	f.balancer.Handle(f.now, first(1))
	f.is.Equal(len(f.balancer.HandleReturn(f.now, early[0], hickorysteering.ReasonCold, first(0))), 0)
}

// TestWeights guards against new flows at a target of weight 0, and against copies
// of one first packet that go to different services.
func TestWeights(t *testing.T) {
	f := newFixture(t, "a", "a")
	packetdesk := hickorydirectory.HashService("packetdesk")
	f.view.Upstreams[1].Service = packetdesk
	f.view.Routes[service] = &hickorydirectory.Route{WeightSum: 1, Targets: []hickorydirectory.Target{{Service: packetdesk, Weight: 1}}}
	f.balancer.SetView(f.now, f.view)
	for port := range uint16(50) {
		packet := first(0)
		packet.Flow.Source.Port += port
		f.is.Equal(targets(f.balancer.Handle(f.now, packet)), []hickorymodel.Endpoint{agent(1)})
	}
}

// TestFrameNamesColdStart guards against frames of first packets without the cold
// start of the upstream.
func TestFrameNamesColdStart(t *testing.T) {
	f := newFixture(t, "a")
	f.view.Upstreams[0].ColdUntil = f.now.Add(2 * time.Second)
	f.view.Upstreams[0].RampTime = 3 * time.Second
	f.view.Upstreams[0].RampRate = 2.5
	f.balancer.SetView(f.now, f.view)
	header := f.balancer.Handle(f.now, first(0))[0].Header
	f.is.Equal(header.ColdTime, uint32(2001))
	f.is.Equal(header.RampTime, uint32(3000))
	f.is.Equal(header.RampRate, uint32(2500))
	f.is.Equal(header.Service, uint32(clubroom))
}

// TestIsolated guards against a balancer that stays in the rotation though no agent
// answers it, and against one that leaves the rotation because of a single silent
// agent.
func TestIsolated(t *testing.T) {
	f := newFixture(t, "a", "a", "b")
	f.balancer.Handle(f.now, first(0))
	f.now = f.now.Add(1300 * time.Millisecond)
	f.balancer.Tick(f.now)
	f.is.True(!f.balancer.Isolated(f.now))
	f.balancer.Handle(f.now, first(1))
	f.now = f.now.Add(1300 * time.Millisecond)
	f.balancer.Tick(f.now)
	f.is.True(f.balancer.Isolated(f.now))
	f.report(agent(2), hickorysteering.StateAccepting)
	f.is.True(!f.balancer.Isolated(f.now))
}

// TestIsolatedIdle guards against a balancer without traffic that does not detect
// that it is cut off.
func TestIsolatedIdle(t *testing.T) {
	f := newFixture(t, "a", "b")
	for range 80 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.balancer.Tick(f.now)
	}
	f.is.True(f.balancer.Isolated(f.now))
}

// TestDataNeedsNoAnswer guards against agents that count as silent because packets
// of open flows are not answered by frames: 6 of 11 agents got no new flows at one
// time or another.
func TestDataNeedsNoAnswer(t *testing.T) {
	f := newFixture(t, "a")
	f.balancer.HandleNotice(f.now, agent(0), hickorysteering.ReasonOpen, flow)
	for range 30 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.balancer.Handle(f.now, data())
		f.balancer.Tick(f.now)
	}
	f.is.Equal(len(f.decisions), 0)
}

// TestSilenceIsProbed guards against agents that count as silent because one frame
// was lost. At 296 machines a balancer concluded from one lost frame that the agent
// of a leaving upstream had ended, and reset an open flow.
func TestSilenceIsProbed(t *testing.T) {
	f := newFixture(t, "a")
	f.balancer.Handle(f.now, first(0)) // its answer is lost
	hellos := 0
	for range 11 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, action := range f.balancer.Tick(f.now) {
			if hickorysteering.Kind(action.Header.Kind) == hickorysteering.KindHello {
				hellos++
			}
		}
	}
	f.is.Equal(hellos, 3)
	f.report(agent(0), hickorysteering.StateAccepting)
	f.now = f.now.Add(400 * time.Millisecond)
	f.is.Equal(len(f.balancer.Tick(f.now)), 0)
	f.is.True(f.lastStep() != hickorysteering.StepAgentSilent)
}

// TestLateCopiesAreNotRefused guards against the reset of a flow that was opened
// through another balancer while this one was paused. It then handled the queued
// copies 1 and 2 of the first packet and refused the flow.
func TestLateCopiesAreNotRefused(t *testing.T) {
	t.Run("copies at short intervals", func(t *testing.T) {
		f := newFixture(t, "a")
		f.balancer.Handle(f.now, first(1))
		f.is.Equal(resets(f.balancer.Handle(f.now, first(2))), 0)
	})
	t.Run("only the last copy", func(t *testing.T) {
		f := newFixture(t)
		f.is.Equal(resets(f.balancer.Handle(f.now, first(2))), 0)
	})
	t.Run("after a pause", func(t *testing.T) {
		f := newFixture(t)
		f.balancer.Handle(f.now, first(0))
		f.now = f.now.Add(2 * time.Second)
		f.balancer.Resumed(f.now)
		f.is.Equal(resets(f.balancer.Handle(f.now, first(2))), 0)
		unrouted := first(0)
		unrouted.Flow.Destination.Port++
		f.is.Equal(resets(f.balancer.Handle(f.now, unrouted)), 0)
	})
	t.Run("in time", func(t *testing.T) {
		f := newFixture(t)
		f.balancer.Handle(f.now, first(0))
		f.balancer.Handle(f.now.Add(200*time.Millisecond), first(1))
		f.is.Equal(resets(f.balancer.Handle(f.now.Add(600*time.Millisecond), first(2))), 1)
	})
}
