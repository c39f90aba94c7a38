package hickorysteering_test

import (
	"testing"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
)

// serve delivers a request of a new flow and lets the upstream answer it.
func (s *side) serve(port uint16, answer *hickorysteering.Packet) {
	s.request(port)
	s.answerOn(port, &hickorysteering.Packet{Answer: true})
	if answer != nil {
		s.answerOn(port, answer)
	}
}

// answerOn lets the upstream send a packet of the flow from the given port.
func (s *side) answerOn(port uint16, answer *hickorysteering.Packet) {
	packet := *answer
	packet.Flow = hickorymodel.FlowKey{Source: service, Destination: caller, Protocol: hickorymodel.ProtocolTCP}
	packet.Flow.Destination.Port = port
	s.agent.HandleUpstream(s.now, &packet)
}

// state returns the state of the agent's report.
func (s *side) state() hickorysteering.State {
	hello := hickoryframe.Header{Kind: uint8(hickorysteering.KindHello)}
	for _, action := range s.agent.HandleFrame(s.now, balancer, &hello, nil) {
		if action.Verb == hickorysteering.VerbReport {
			return hickorysteering.State(action.Report.State)
		}
	}
	return hickorysteering.StateNone
}

var (
	served = &hickorysteering.Packet{Data: 5}
	failed = &hickorysteering.Packet{Data: 5, Failed: true}
	shed   = &hickorysteering.Packet{Data: 5, Shed: true}
	broken = &hickorysteering.Packet{Reset: true}
)

// TestFailingUpstream guards against upstreams that fail requests while their
// health checks are good: they answer quickly, so they attract new flows.
func TestFailingUpstream(t *testing.T) {
	cases := []struct {
		name    string
		answers []*hickorysteering.Packet
		want    hickorysteering.State
	}{
		{"errors", []*hickorysteering.Packet{failed, failed, served, failed, failed}, hickorysteering.StateFailing},
		{"broken off", []*hickorysteering.Packet{broken, broken, broken, broken}, hickorysteering.StateFailing},
		{"not answered", []*hickorysteering.Packet{nil, nil, nil, nil}, hickorysteering.StateFailing},
		{"refusals without a reason", []*hickorysteering.Packet{shed, shed, shed, shed}, hickorysteering.StateFailing},
		{"a few errors", []*hickorysteering.Packet{failed, failed, failed, served}, hickorysteering.StateAccepting},
		{"a small share", []*hickorysteering.Packet{
			failed, failed, failed, failed,
			served, served, served, served, served, served, served, served, served, served, served, served, served,
		}, hickorysteering.StateAccepting},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSide(t)
			s.open(0, hickoryframe.Header{Room: 6})
			for port, answer := range c.answers {
				s.serve(uint16(port+1), answer)
			}
			s.now = s.now.Add(1100 * time.Millisecond)
			s.agent.Tick(s.now)
			s.agent.Tick(s.now.Add(100 * time.Millisecond))
			s.is.Equal(s.state(), c.want)
		})
	}
}

// TestSheddingUnderLoadIsNoFailure guards against upstreams that are passed over
// because they refuse what they have no room for.
func TestSheddingUnderLoadIsNoFailure(t *testing.T) {
	s := newSide(t)
	s.open(0, hickoryframe.Header{Room: 6})
	for port := range uint16(8) {
		s.request(100 + port)
	}
	for port := range uint16(6) {
		s.serve(port, shed)
	}
	s.agent.Tick(s.now)
	s.is.Equal(s.state(), hickorysteering.StateAccepting)
}

// TestFailingUpstreamRecovers guards against an upstream that gets no flows for
// good, and so cannot show that it serves again.
func TestFailingUpstreamRecovers(t *testing.T) {
	s := newSide(t)
	for port := range uint16(4) {
		s.serve(port, failed)
	}
	s.agent.Tick(s.now)
	s.is.Equal(s.state(), hickorysteering.StateFailing)
	for range 3 {
		s.now = s.now.Add(time.Second)
		s.agent.Tick(s.now)
	}
	s.is.Equal(s.state(), hickorysteering.StateAccepting)
	s.is.Equal(s.steps[len(s.steps)-1], hickorysteering.StepUpstreamRecovered)
}

// TestClosedFlowIsNoFailure guards against upstreams that count as failing because
// requests meet flows that they have just closed.
func TestClosedFlowIsNoFailure(t *testing.T) {
	s := newSide(t)
	for port := range uint16(6) {
		s.serve(port, &hickorysteering.Packet{Data: 5, Finish: true})
		packet := data()
		packet.Flow.Source.Port = port
		s.agent.HandleFrame(s.now, balancer, &hickoryframe.Header{Kind: uint8(hickorysteering.KindData)}, packet)
		s.answerOn(port, broken)
	}
	s.agent.Tick(s.now)
	s.is.Equal(s.state(), hickorysteering.StateAccepting)
}

// TestFailingUpstreamIsAvoided guards against new flows at failing upstreams, and
// against the loss of a service of which most upstreams fail.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	cases := []struct {
		name    string
		failing int
		avoided bool
	}{
		{"one of three", 1, true},
		{"two of three", 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "a", "a", "a")
			for i := range c.failing {
				f.report(agent(i), hickorysteering.StateFailing)
			}
			chosen := map[hickorymodel.Endpoint]bool{}
			for port := range uint16(60) {
				packet := first(0)
				packet.Flow.Source.Port = 1000 + port
				chosen[targets(f.balancer.Handle(f.now, packet))[0]] = true
			}
			f.is.Equal(chosen[agent(0)], !c.avoided)
			f.is.True(chosen[agent(2)])
		})
	}
}
