package hickorysteering_test

import (
	"testing"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
	"hickoryworks/schema/hickoryid"
)

// request opens a flow at the agent and delivers a request on it.
func (s *agentFixture) request(port uint16) {
	s.open(port, hickoryframe.Header{})
	packet := data()
	packet.Flow.Source.Port = port
	s.agent.HandleFrame(s.now, balancer, &hickoryframe.Header{Kind: uint8(hickorysteering.KindData)}, packet)
}

// TestRoomOfUpstream guards against new flows at an upstream that would serve their
// requests late or shed them. After a power failure upstreams shed 1,091 requests,
// each after a wait of 60 ms or more.
func TestRoomOfUpstream(t *testing.T) {
	cases := []struct {
		name    string
		busy    int
		room    uint8
		after   time.Duration
		reason  hickorysteering.Reason
		prepare func(s *agentFixture)
	}{
		{"room left", 5, 6, 20 * time.Millisecond, hickorysteering.ReasonNone, nil},
		{"no room", 6, 6, 20 * time.Millisecond, hickorysteering.ReasonBusy, nil},
		{"no limit", 60, 0, 20 * time.Millisecond, hickorysteering.ReasonNone, nil},
		{"new flows whose requests are on their way", 0, 6, 10 * time.Millisecond, hickorysteering.ReasonPaced, func(s *agentFixture) {
			for port := range uint16(6) {
				s.open(100+port, hickoryframe.Header{})
			}
		}},
		{"no new flow for a time", 6, 6, 150 * time.Millisecond, hickorysteering.ReasonNone, nil},
		{"requests that are never answered", 6, 6, 4 * time.Second, hickorysteering.ReasonNone, func(s *agentFixture) { s.now = s.now.Add(-time.Second) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newAgentFixture(t)
			for port := range c.busy {
				s.request(uint16(port))
			}
			if c.prepare != nil {
				c.prepare(s)
			}
			s.now = s.now.Add(c.after)
			s.answer(hickorysteering.Packet{Answer: true}) // the upstream answers
			s.agent.Tick(s.now)
			actions := s.open(1000, hickoryframe.Header{Room: c.room})
			admit := c.reason == hickorysteering.ReasonNone
			s.is.Equal(actions[0].Verb == hickorysteering.VerbDeliver, admit)
			if !admit {
				s.is.Equal(s.reason(actions), c.reason)
			}
		})
	}
}

// TestRepeatedRequestIsNoWork guards against requests that count as unanswered
// forever because a copy of their packet arrived after the answer. During restarts
// in series agents counted 31 requests at upstreams that hold ten, and refused new
// flows for five seconds.
func TestRepeatedRequestIsNoWork(t *testing.T) {
	cases := []struct {
		name     string
		sequence uint32
		repeat   uint32
		want     int
	}{
		{"copy", 101, 101, 0},
		{"part of what was sent", 101, 96, 0},
		{"next request", 101, 111, 1},
		{"next request after the sequence number wraps", 1<<32 - 5, 5, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newAgentFixture(t)
			packet := data()
			packet.Sequence = c.sequence
			s.agent.HandleFrame(s.now, balancer, &hickoryframe.Header{Kind: uint8(hickorysteering.KindData)}, packet)
			s.is.Equal(s.agent.BusyFlows(), 1)
			s.answer(hickorysteering.Packet{Data: 5})
			s.is.Equal(s.agent.BusyFlows(), 0)
			packet.Sequence = c.repeat
			s.agent.HandleFrame(s.now, balancer, &hickoryframe.Header{Kind: uint8(hickorysteering.KindData)}, packet)
			s.is.Equal(s.agent.BusyFlows(), c.want)
		})
	}
}

// TestEndedFlowIsNoWork guards against requests that count as unanswered although
// one side has closed their flow: because of such flows agents counted more
// requests than upstreams can hold.
func TestEndedFlowIsNoWork(t *testing.T) {
	deliver := func(s *agentFixture, packet hickorysteering.Packet) {
		packet.Flow, packet.Bytes = flow, []byte("data")
		s.agent.HandleFrame(s.now, balancer, &hickoryframe.Header{Kind: uint8(hickorysteering.KindData)}, &packet)
	}
	cases := []struct {
		name   string
		events func(s *agentFixture)
	}{
		{"request after the upstream has closed", func(s *agentFixture) {
			s.answer(hickorysteering.Packet{Finish: true})
			deliver(s, hickorysteering.Packet{Sequence: 101, Data: 10})
		}},
		{"upstream closes without an answer", func(s *agentFixture) {
			deliver(s, hickorysteering.Packet{Sequence: 101, Data: 10})
			s.answer(hickorysteering.Packet{Finish: true})
		}},
		{"caller gives up", func(s *agentFixture) {
			deliver(s, hickorysteering.Packet{Sequence: 101, Data: 10})
			deliver(s, hickorysteering.Packet{Sequence: 111, Finish: true})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newAgentFixture(t)
			c.events(s)
			s.is.Equal(s.agent.BusyFlows(), 0)
		})
	}
}

// TestLostRequestsAreForgotten guards against an agent that refuses new flows
// forever because a request without an answer counts as long as its flow exists.
func TestLostRequestsAreForgotten(t *testing.T) {
	s := newAgentFixture(t)
	s.request(1)
	s.is.Equal(s.agent.BusyFlows(), 1)
	s.now = s.now.Add(3500 * time.Millisecond)
	s.agent.Tick(s.now)
	s.is.Equal(s.agent.BusyFlows(), 0)
}

// TestRoomOfFrame guards against flows of urgent routes that do not get the room of
// an upstream first, and against copies that do not get it last.
func TestRoomOfFrame(t *testing.T) {
	cases := []struct {
		name   string
		urgent bool
		copies uint32
		slots  hickoryid.Slots
		want   uint8
	}{
		{"fresh", false, 0, 2, 6},
		{"copy", false, 1, 2, 4},
		{"urgent", true, 0, 2, 8},
		{"urgent copy", true, 2, 2, 6},
		{"as much as a frame can name", false, 0, 85, 255},
		{"more than a frame can name", false, 0, 86, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "a")
			f.view.Routes[service].Urgent = c.urgent
			f.view.Upstreams[0].Slots = c.slots
			f.balancer.SetView(f.now, f.view)
			f.is.Equal(f.balancer.Handle(f.now, first(c.copies))[0].Header.Room, c.want)
		})
	}
}

// TestBusyUpstreamIsPassedOver guards against balancers that send each first packet
// to all upstreams although these have just returned another one with ReasonBusy,
// and against a reset while an upstream may still accept a copy.
func TestBusyUpstreamIsPassedOver(t *testing.T) {
	f := newFixture(t, "a", "a")
	tried := targets(f.balancer.Handle(f.now, first(0)))[0]
	other := targets(f.balancer.HandleReturn(f.now, tried, hickorysteering.ReasonBusy, first(0)))
	f.is.Equal(len(other), 1)
	f.is.True(other[0] != tried)
	f.is.Equal(len(f.balancer.HandleReturn(f.now, other[0], hickorysteering.ReasonBusy, first(0))), 0)
	f.is.Equal(f.lastStep(), hickorysteering.StepWaited)

	another := first(0)
	another.Flow.Source.Port++
	f.is.Equal(len(f.balancer.Handle(f.now, another)), 0) // the packet is not sent
	f.now = f.now.Add(25 * time.Millisecond)
	another.Flow.Source.Port++
	f.is.Equal(len(targets(f.balancer.Handle(f.now, another))), 1)
}

// TestLastCopyWithoutRoomIsRefused guards against a caller that gets no reset
// although no further copy of its first packet follows.
func TestLastCopyWithoutRoomIsRefused(t *testing.T) {
	f := newFixture(t, "a")
	f.balancer.Handle(f.now, first(0))
	f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonBusy, first(0))
	f.now = f.now.Add(200 * time.Millisecond)
	f.balancer.Handle(f.now, first(1))
	f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonBusy, first(1))
	f.now = f.now.Add(400 * time.Millisecond)
	f.is.Equal(targets(f.balancer.Handle(f.now, first(2))), []hickorymodel.Endpoint{agent(0)})
	f.is.Equal(resets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonBusy, first(2))), 1)
}

// TestFrameWithoutRoute guards against a panic on copies of a first packet whose
// route has been removed meanwhile: they are sent with Room 0, without a limit.
func TestFrameWithoutRoute(t *testing.T) {
	f := newFixture(t, "a")
	f.balancer.Handle(f.now, first(0))
	f.view.Routes = map[hickorymodel.SocketAddress]*hickorydirectory.Route{}
	f.balancer.SetView(f.now, f.view)
	f.is.Equal(f.balancer.Handle(f.now, first(0))[0].Header.Room, uint8(0))
}
