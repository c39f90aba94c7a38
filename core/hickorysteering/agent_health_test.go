package hickorysteering_test

import (
	"testing"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
)

// serveRequest opens a flow, delivers a request on it and passes the upstream's
// answer to the agent, unless answer is nil.
func (s *agentFixture) serveRequest(port uint16, answer *hickorysteering.Packet) {
	s.request(port)
	s.answerOn(port, &hickorysteering.Packet{Answer: true})
	if answer != nil {
		s.answerOn(port, answer)
	}
}

// answerOn passes a packet of the upstream to the agent, of the flow from the given
// port.
func (s *agentFixture) answerOn(port uint16, answer *hickorysteering.Packet) {
	packet := *answer
	packet.Flow = hickorymodel.FlowKey{Source: service, Destination: caller, Protocol: hickorymodel.ProtocolTCP}
	packet.Flow.Destination.Port = port
	s.agent.HandleUpstream(s.now, &packet)
}

// state returns the upstream's state from a report of the agent.
func (s *agentFixture) state() hickorysteering.State {
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
// health checks succeed. They answer quickly, so their load is low and they attract
// new flows.
func TestFailingUpstream(t *testing.T) {
	cases := []struct {
		name    string
		answers []*hickorysteering.Packet
		want    hickorysteering.State
	}{
		{"errors", []*hickorysteering.Packet{failed, failed, served, failed, failed}, hickorysteering.StateFailing},
		{"resets", []*hickorysteering.Packet{broken, broken, broken, broken}, hickorysteering.StateFailing},
		{"not answered", []*hickorysteering.Packet{nil, nil, nil, nil}, hickorysteering.StateFailing},
		{"refusals without load", []*hickorysteering.Packet{shed, shed, shed, shed}, hickorysteering.StateFailing},
		{"a few errors", []*hickorysteering.Packet{failed, failed, failed, served}, hickorysteering.StateAccepting},
		{"a small share", []*hickorysteering.Packet{
			failed, failed, failed, failed,
			served, served, served, served, served, served, served, served, served, served, served, served, served,
		}, hickorysteering.StateAccepting},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newAgentFixture(t)
			s.open(0, hickoryframe.Header{Room: 6})
			for port, answer := range c.answers {
				s.serveRequest(uint16(port+1), answer)
			}
			s.now = s.now.Add(1100 * time.Millisecond)
			s.agent.Tick(s.now)
			s.agent.Tick(s.now.Add(100 * time.Millisecond))
			s.is.Equal(s.state(), c.want)
		})
	}
}

// TestSheddingUnderLoadIsNoFailure guards against an upstream that counts as
// failing because it refuses requests for which it has no slot.
func TestSheddingUnderLoadIsNoFailure(t *testing.T) {
	s := newAgentFixture(t)
	s.open(0, hickoryframe.Header{Room: 6})
	for port := range uint16(8) {
		s.request(100 + port)
	}
	for port := range uint16(6) {
		s.serveRequest(port, shed)
	}
	s.agent.Tick(s.now)
	s.is.Equal(s.state(), hickorysteering.StateAccepting)
}

// TestFailingUpstreamRecovers guards against an upstream that counts as failing
// forever: it gets no flows, so it has no requests to show that it has recovered.
func TestFailingUpstreamRecovers(t *testing.T) {
	s := newAgentFixture(t)
	for port := range uint16(4) {
		s.serveRequest(port, failed)
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

// TestClosedFlowIsNoFailure guards against an upstream that counts as failing
// because requests arrive on flows that it has just closed, which it resets.
func TestClosedFlowIsNoFailure(t *testing.T) {
	s := newAgentFixture(t)
	for port := range uint16(6) {
		s.serveRequest(port, &hickorysteering.Packet{Data: 5, Finish: true})
		packet := data()
		packet.Flow.Source.Port = port
		s.agent.HandleFrame(s.now, balancer, &hickoryframe.Header{Kind: uint8(hickorysteering.KindData)}, packet)
		s.answerOn(port, broken)
	}
	s.agent.Tick(s.now)
	s.is.Equal(s.state(), hickorysteering.StateAccepting)
}

// TestFailingUpstreamIsAvoided guards against new flows at failing upstreams, and
// against a service that becomes unreachable because most of its upstreams count as
// failing.
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
