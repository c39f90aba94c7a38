package hickorysteering_test

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
)

// absenceFixture has a balancer, whose view has agent(0) beside an upstream of the
// route's service and agent(8) beside one of its former service. The former one holds
// the flow; its agent runs real decisions.
type absenceFixture struct {
	*fixture
	former *agentFixture
	// delivered is true once the upstream has got a packet of the flow.
	delivered bool
	sent      int
}

func newAbsenceFixture(t *testing.T) *absenceFixture {
	f := &absenceFixture{fixture: newFixture(t, "a"), former: newAgentFixture(t)}
	f.addOtherService()
	return f
}

// exchange carries out actions of the balancer until no frame is left. Agent(0) does
// not hold the flow.
func (f *absenceFixture) exchange(actions []hickorysteering.Action) {
	pending := append([]hickorysteering.Action{}, actions...)
	f.former.now = f.now
	for len(pending) > 0 {
		action := pending[0]
		pending = pending[1:]
		switch {
		case action.Verb == hickorysteering.VerbReset:
			f.sent++
		case action.Target == agent(8):
			pending = append(pending, f.atFormer(&action)...)
		case action.Verb == hickorysteering.VerbQuery:
			denied := []hickoryframe.Answer{{Flow: hickorysteering.NoticeOf(flow), Reason: uint8(hickorysteering.ReasonNotHeld)}}
			pending = append(pending, f.balancer.HandleAnswers(f.now, action.Target, denied)...)
		case len(action.Payload) > 0:
			pending = append(pending, f.balancer.HandleReturn(f.now, action.Target, hickorysteering.ReasonNotHeld, data())...)
		default:
			f.report(action.Target, hickorysteering.StateAccepting)
		}
	}
}

// atFormer passes a frame to the agent of the former service and its answers to the
// balancer.
func (f *absenceFixture) atFormer(frame *hickorysteering.Action) []hickorysteering.Action {
	var answers []hickorysteering.Action
	if frame.Verb == hickorysteering.VerbQuery {
		answers = f.former.agent.HandleQuery(f.now, balancer, &frame.Query, frame.Flows)
	} else {
		answers = f.former.agent.HandleFrame(f.now, balancer, &frame.Header, data())
	}
	next := []hickorysteering.Action{}
	for _, answer := range append([]hickorysteering.Action{}, answers...) {
		switch answer.Verb {
		case hickorysteering.VerbDeliver:
			f.delivered = true
		case hickorysteering.VerbReport:
			f.balancer.HandleReport(f.now, agent(8), &answer.Header, &answer.Report, answer.Addresses)
		case hickorysteering.VerbNotice:
			next = append(next, f.balancer.HandleNotice(f.now, agent(8), hickorysteering.Reason(answer.Header.Reason), answer.Flow)...)
		case hickorysteering.VerbAnswers:
			next = append(next, f.balancer.HandleAnswers(f.now, agent(8), answer.Answers)...)
		default:
		}
	}
	return append([]hickorysteering.Action{}, next...)
}

// TestReportIsNoProof guards against the reset of a flow that a live upstream holds
// because the report of its agent does not name the address of the flow.
func TestReportIsNoProof(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(s *agentFixture)
	}{
		{"the agent has restarted since it last saw the flow", func(*agentFixture) {}},
		{"the upstream has sent nothing on the flow yet", func(s *agentFixture) {
			s.agent.HandleFrame(s.now, balancer, &hickoryframe.Header{Kind: uint8(hickorysteering.KindOpen), Service: uint32(clubroom)}, first(0))
			s.answer(hickorysteering.Packet{Answer: true})
			acknowledgement := data()
			acknowledgement.Data = 0
			s.agent.HandleFrame(s.now, balancer, &hickoryframe.Header{Kind: uint8(hickorysteering.KindData)}, acknowledgement)
		}},
		{"the upstream has flows to more addresses than a report names", func(s *agentFixture) {
			s.deliver(balancer)
			s.answer(hickorysteering.Packet{Data: 5})
			for port := range uint16(2000) {
				packet := data()
				packet.Flow.Destination.Port = 1000 + port
				s.agent.HandleFrame(s.now, balancer, &hickoryframe.Header{Kind: uint8(hickorysteering.KindData)}, packet)
				s.agent.HandleUpstream(s.now, &hickorysteering.Packet{Flow: hickorymodel.FlowKey{Source: packet.Flow.Destination, Destination: caller, Protocol: hickorymodel.ProtocolTCP}, Data: 5})
			}
		}},
		{"the upstream has ended its half of the flow, but not all of its data has arrived", func(s *agentFixture) {
			s.deliver(balancer)
			s.answer(hickorysteering.Packet{Data: 5, Finish: true})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newAbsenceFixture(t)
			c.prepare(f.former)
			f.exchange([]hickorysteering.Action{{Target: agent(8), Header: hickoryframe.Header{Kind: uint8(hickorysteering.KindHello)}}})
			f.exchange(f.balancer.Handle(f.now, data()))
			for range 100 {
				f.now = f.now.Add(hickorysteering.SearchTickInterval)
				f.exchange(f.balancer.Confirm(f.now, f.now))
				f.exchange(f.balancer.Tick(f.now))
			}
			f.is.Equal(f.sent, 0)
			f.is.True(f.delivered)
		})
	}
}

// TestAgentHeardAgainIsAsked guards against the reset of a flow whose agent has no entry
// and was paused during the search: it counted as ended until its next frame.
func TestAgentHeardAgainIsAsked(t *testing.T) {
	f := newFixture(t, "a")
	f.report(agent(8), hickorysteering.StateAccepting)
	f.now = f.now.Add(500 * time.Millisecond) // the last confirmation is too old for a reset
	f.balancer.Handle(f.now, data())
	f.is.Equal(targets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())), []hickorymodel.Endpoint{agent(8)})
	f.now = f.now.Add(400 * time.Millisecond)
	f.balancer.Tick(f.now) // agent(8) has not answered
	f.report(agent(8), hickorysteering.StateAccepting)
	actions := f.balancer.Confirm(f.now, f.now)
	f.is.Equal(resets(actions), 0)
	f.is.Equal(targets(actions), []hickorymodel.Endpoint{agent(8)})
}

// TestServiceWithoutUpstreams guards against a flow that is not searched for at all,
// because its route has moved to a service that has no upstreams.
func TestServiceWithoutUpstreams(t *testing.T) {
	f := newFixture(t, "a")
	f.view.Routes[service].Targets[0].Service = hickorydirectory.HashService("empty")
	f.balancer.SetView(f.now, f.view)
	f.is.Equal(targets(f.balancer.Handle(f.now, data())), []hickorymodel.Endpoint{agent(0)})
	f.balancer.HandleNotice(f.now, agent(0), hickorysteering.ReasonOpen, flow)
	f.is.Equal(f.lastStep(), hickorysteering.StepFound)
	unrouted := data()
	unrouted.Flow.Destination.Port++
	f.is.Equal(len(targets(f.balancer.Handle(f.now, unrouted))), 0) // a dropped route has no flows
}

// TestAbsenceAtTargetSize guards against a search whose agents of other services are
// asked one after the other: in a fleet of 14,000 upstreams it must end within the life
// of a search.
func TestAbsenceAtTargetSize(t *testing.T) {
	f := newFixture(t)
	f.balancer = hickorysteering.NewBalancer("a", agentPort, rand.New(rand.NewPCG(1, 2)), func(*hickorysteering.Decision) {})
	view := targetView()
	f.balancer.SetView(f.now, view)
	packet := data()
	packet.Flow.Destination = socketAddress("198.18.3.7:443")
	begun, sent := f.now, 0
	f.balancer.Confirm(f.now, f.now.Add(time.Second))
	pending := append([]hickorysteering.Action{}, f.balancer.Handle(f.now, packet)...)
	denied := []hickoryframe.Answer{{Flow: hickorysteering.NoticeOf(packet.Flow), Reason: uint8(hickorysteering.ReasonNotHeld)}}
	for sent == 0 && f.now.Sub(begun) < 2*time.Second {
		for _, action := range pending {
			if action.Verb == hickorysteering.VerbQuery || len(action.Payload) > 0 {
				sent += resets(f.balancer.HandleAnswers(f.now, action.Target, denied))
			}
		}
		f.now = f.now.Add(hickorysteering.SearchTickInterval)
		pending = append([]hickorysteering.Action{}, f.balancer.Tick(f.now)...)
	}
	f.is.Equal(sent, 1)
	f.is.True(f.now.Sub(begun) < time.Second)
	f.is.Equal(len(view.Upstreams), 14000)
}

// TestDenialNeedsAllFlows guards against an agent that denies a flow which its upstream
// holds, because it has not recorded the flow or has forgotten it.
func TestDenialNeedsAllFlows(t *testing.T) {
	const idle = 15 * time.Second
	open := func(s *agentFixture) {
		s.deliver(balancer)
		s.answer(hickorysteering.Packet{Data: 5})
	}
	cases := []struct {
		name    string
		prepare func(s *agentFixture)
		idle    time.Duration
		denied  bool
	}{
		{"the agent has just started", func(*agentFixture) {}, idle, false},
		{"the agent has run for the idle timeout only", func(s *agentFixture) { s.now = s.now.Add(idle + time.Second) }, idle, false},
		{"the agent has run for longer", func(s *agentFixture) { s.now = s.now.Add(idle + 11*time.Second) }, idle, true},
		{"the balancer does not know the idle timeout", func(s *agentFixture) { s.now = s.now.Add(time.Hour) }, 0, false},
		{"the upstream has ended its half of the flow", func(s *agentFixture) {
			open(s)
			s.answer(hickorysteering.Packet{Finish: true})
			s.now = s.now.Add(30 * time.Second)
			s.agent.Tick(s.now)
		}, idle, false},
		{"the caller has ended its half of the flow", func(s *agentFixture) {
			open(s)
			last := data()
			last.Data, last.Finish = 0, true
			s.agent.HandleFrame(s.now, balancer, &hickoryframe.Header{Kind: uint8(hickorysteering.KindData)}, last)
			s.now = s.now.Add(30 * time.Second)
			s.agent.Tick(s.now)
		}, idle, false},
		{"the upstream has reset the flow", func(s *agentFixture) {
			open(s)
			s.answer(hickorysteering.Packet{Reset: true})
			s.now = s.now.Add(30 * time.Second)
			s.agent.Tick(s.now)
		}, idle, true},
		{"the upstream returned a copy of the first packet after its answer", func(s *agentFixture) {
			s.now = s.now.Add(time.Minute)
			open(s)
			late := first(2)
			late.Returned = true
			s.agent.HandleUpstream(s.now, late)
		}, idle, false},
		{"a late copy of the first packet passed through the agent and was returned", func(s *agentFixture) {
			s.now = s.now.Add(time.Minute)
			s.firstPacket(0)
			s.answer(hickorysteering.Packet{Answer: true})
			open(s)
			s.firstPacket(2)
			s.returnedFirst(2)
		}, idle, false},
		{"a first packet passed through an agent that does not know the one of the open flow", func(s *agentFixture) {
			s.now = s.now.Add(time.Minute)
			open(s)
			s.firstPacket(2)
			s.returnedFirst(2)
		}, idle, false},
		{"the upstream returned the first packet of a new flow", func(s *agentFixture) {
			s.now = s.now.Add(time.Minute)
			s.firstPacket(0)
			s.returnedFirst(0)
		}, idle, true},
		{"flows stay idle for longer than the agent kept them", func(s *agentFixture) {
			s.now = s.now.Add(time.Minute)
			open(s)
			s.now = s.now.Add(90 * time.Second)
			s.agent.Tick(s.now)
		}, 2 * time.Minute, false},
		{"the cache was full when the flow began", func(s *agentFixture) {
			s.now = s.now.Add(time.Minute)
			for i := range 1 << 14 {
				packet := data()
				packet.Flow.Source.Port, packet.Flow.Destination.Port = uint16(i), 1
				packet.Reset = true
				s.agent.HandleFrame(s.now, balancer, &hickoryframe.Header{Kind: uint8(hickorysteering.KindData)}, packet)
			}
			open(s)
			s.now = s.now.Add(5 * time.Second)
			s.agent.Tick(s.now) // the other flows have ended and are removed
		}, idle, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newAgentFixture(t)
			c.prepare(s)
			query := hickoryframe.Query{IdleTime: uint32(c.idle.Milliseconds())}
			answered := s.queryAnswers(&query)
			s.is.Equal(len(answered), 1)
			s.is.Equal(answered[0] == hickorysteering.ReasonNotHeld, c.denied)
		})
	}
}

// firstPacket passes a copy of the first packet of the flow to the agent, 0 for the
// original.
func (s *agentFixture) firstPacket(copies uint32) {
	header := hickoryframe.Header{Kind: uint8(hickorysteering.KindOpen), Service: uint32(clubroom)}
	s.agent.HandleFrame(s.now, balancer, &header, first(copies))
}

// returnedFirst passes a copy of the first packet that the upstream has returned to the
// agent.
func (s *agentFixture) returnedFirst(copies uint32) {
	packet := first(copies)
	packet.Returned = true
	s.agent.HandleUpstream(s.now, packet)
}

// TestClockIsNoProof guards against an agent that has restarted and denies flows which
// its upstream holds, because the published start of the upstream seems to be later than
// its own: the clock was ahead when the upstream started. Balancers of earlier builds
// send that start in the reserved bytes of a query.
func TestClockIsNoProof(t *testing.T) {
	var encoded [hickoryframe.QuerySize]byte
	binary.BigEndian.PutUint32(encoded[:], 15000)
	binary.BigEndian.PutUint64(encoded[4:], 1_780_000_002_400)
	var query hickoryframe.Query
	s := newAgentFixture(t)
	s.is.True(query.Get(encoded[:]))
	s.is.Equal(s.queryAnswers(&query), []hickorysteering.Reason{hickorysteering.ReasonUnknown})
}
