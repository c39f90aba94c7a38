package hickorysteering_test

import (
	"math/rand/v2"
	"testing"
	"time"

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
			f.exchange(f.balancer.Handle(f.now, data()))
			for range 100 {
				f.now = f.now.Add(hickorysteering.SearchTickInterval)
				f.confirmed = f.now
				f.exchange(f.balancer.Tick(f.now))
			}
			f.is.Equal(f.sent, 0)
			f.is.True(f.delivered)
		})
	}
}

// TestAbsenceAtTargetSize guards against a search whose agents of other services are
// asked one after the other: in a fleet of 14,000 upstreams it must end within the life
// of a search.
func TestAbsenceAtTargetSize(t *testing.T) {
	f := newFixture(t)
	confirmed := func(now hickorymodel.Instant) hickorymodel.Instant { return now }
	f.balancer = hickorysteering.NewBalancer("a", agentPort, rand.New(rand.NewPCG(1, 2)), func(*hickorysteering.Decision) {}, confirmed)
	view := targetView()
	f.balancer.SetView(f.now, view)
	packet := data()
	packet.Flow.Destination = socketAddress("198.18.3.7:443")
	begun, sent := f.now, 0
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
