package hickorysteering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
)

// agentFixture calls one agent and collects its decisions and answer times.
type agentFixture struct {
	is          *is.I
	agent       *hickorysteering.Agent
	now         hickorymodel.Instant
	steps       []hickorysteering.Step
	answerTimes []time.Duration
}

var (
	balancer      = hickorymodel.Endpoint{Address: [4]byte{10, 9, 0, 1}, Port: balancerPort}
	otherBalancer = hickorymodel.Endpoint{Address: [4]byte{10, 9, 0, 2}, Port: balancerPort}
)

func newAgentFixture(t *testing.T) *agentFixture {
	s := &agentFixture{is: is.New(t), now: start}
	s.agent = hickorysteering.NewAgent(start, clubroom, balancerPort, nil,
		func(d *hickorysteering.Decision) { s.steps = append(s.steps, d.Step) },
		hickorysteering.WithAnswerTime(func(d time.Duration) { s.answerTimes = append(s.answerTimes, d) }))
	return s
}

// open passes a first packet of a flow from the given port to the agent.
func (s *agentFixture) open(port uint16, header hickoryframe.Header) []hickorysteering.Action {
	packet := first(0)
	packet.Flow.Source.Port = port
	header.Kind = uint8(hickorysteering.KindOpen)
	if header.Service == 0 {
		header.Service = uint32(clubroom)
	}
	return s.agent.HandleFrame(s.now, balancer, &header, packet)
}

// passStart lets the time pass in which a new agent admits no flow to a cold upstream.
func (s *agentFixture) passStart() {
	s.now = s.now.Add(1050 * time.Millisecond)
}

func (s *agentFixture) deliver(from hickorymodel.Endpoint) []hickorysteering.Action {
	return s.agent.HandleFrame(s.now, from, &hickoryframe.Header{Kind: uint8(hickorysteering.KindData)}, data())
}

// answer passes a packet of the upstream to the agent.
func (s *agentFixture) answer(packet hickorysteering.Packet) []hickorysteering.Action {
	packet.Flow = hickorymodel.FlowKey{Source: service, Destination: caller, Protocol: hickorymodel.ProtocolTCP}
	return s.agent.HandleUpstream(s.now, &packet)
}

// returned passes a packet of the flow that the upstream has returned to the agent.
func (s *agentFixture) returned(mark uint32) []hickorysteering.Action {
	packet := data()
	packet.Returned = true
	packet.Mark = mark
	return s.agent.HandleUpstream(s.now, packet)
}

func verbs(actions []hickorysteering.Action) []hickorysteering.Verb {
	list := []hickorysteering.Verb{}
	for _, action := range actions {
		list = append(list, action.Verb)
	}
	return list
}

// reason returns the reason of the only action, which must be a return.
func (s *agentFixture) reason(actions []hickorysteering.Action) hickorysteering.Reason {
	s.is.Equal(len(actions), 1)
	s.is.Equal(hickorysteering.Kind(actions[0].Header.Kind), hickorysteering.KindReturn)
	return hickorysteering.Reason(actions[0].Header.Reason)
}

// TestWrongService guards against a flow that opens at an upstream of another
// service (guarantee P2). The address of an upstream may have been given to another
// service since the balancer's view was published.
func TestWrongService(t *testing.T) {
	s := newAgentFixture(t)
	s.is.Equal(s.reason(s.open(1, hickoryframe.Header{Service: 77})), hickorysteering.ReasonWrongService)
}

// TestColdStartLimit guards against a cold upstream that gets more new flows than
// its ramp rate (guarantee P3), and against a limit where no rate is stated: after
// a restart of all upstreams such a limit let only a third of the requests be
// served.
func TestColdStartLimit(t *testing.T) {
	cases := []struct {
		name     string
		header   hickoryframe.Header
		admitted int
	}{
		{"stated rate", hickoryframe.Header{RampRate: 8000, ColdTime: 2000, RampTime: 2000}, 8},
		{"low rate", hickoryframe.Header{RampRate: 500, ColdTime: 2000, RampTime: 2000}, 3},
		{"no rate", hickoryframe.Header{ColdTime: 2000, RampTime: 2000}, 100},
		{"warm", hickoryframe.Header{RampRate: 8000, RampTime: 2000}, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newAgentFixture(t)
			s.passStart()
			admitted := 0
			for port := range uint16(100) {
				s.now = s.now.Add(10 * time.Millisecond)
				actions := s.open(port, c.header)
				if actions[0].Verb == hickorysteering.VerbDeliver {
					admitted++
				}
				s.answer(hickorysteering.Packet{Answer: true})
			}
			s.is.Equal(admitted, c.admitted)
		})
	}
}

// TestColdStartOfAnyBalancer guards against a cold start limit that ends because a
// frame arrives from a balancer whose view does not have the cold start yet.
func TestColdStartOfAnyBalancer(t *testing.T) {
	s := newAgentFixture(t)
	s.passStart()
	s.open(1, hickoryframe.Header{RampRate: 1000, ColdTime: 2000})
	s.open(2, hickoryframe.Header{RampRate: 1000})
	s.open(3, hickoryframe.Header{RampRate: 1000})
	s.is.Equal(s.reason(s.open(4, hickoryframe.Header{RampRate: 1000})), hickorysteering.ReasonCold)
}

// TestColdStartAfterRestart guards against a cold upstream that gets twice its ramp rate
// in one second, because the agent beside it is killed and its successor does not know
// the flows that were just opened.
func TestColdStartAfterRestart(t *testing.T) {
	header := hickoryframe.Header{RampRate: 40000, ColdTime: 10000, RampTime: 10000}
	arrivals := []hickorymodel.Instant{}
	s := newAgentFixture(t)
	s.passStart()
	for port := range uint16(1200) {
		if port == 60 { // the restart takes 300 ms
			now := s.now.Add(300 * time.Millisecond)
			s = newAgentFixture(t)
			s.now = now
			s.agent = hickorysteering.NewAgent(now, clubroom, balancerPort, nil, func(*hickorysteering.Decision) {})
		}
		if s.open(port, header)[0].Verb == hickorysteering.VerbDeliver {
			arrivals = append(arrivals, s.now)
		}
		s.answer(hickorysteering.Packet{Answer: true})
		s.now = s.now.Add(2 * time.Millisecond)
	}
	worst := 0
	for i, from := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < time.Second {
				count++
			}
		}
		worst = max(worst, count)
	}
	s.is.Equal(worst, 40)
	s.is.Equal(len(arrivals), 120) // the upstream gets flows again afterwards
}

// TestReturnedPacketGoesBack guards against packets that are lost because the
// upstream that got them does not hold their flow. The agent derives the balancer
// from the mark alone, so that this also works for an agent that has just started.
func TestReturnedPacketGoesBack(t *testing.T) {
	s := newAgentFixture(t)
	delivered := s.deliver(balancer)
	s.is.Equal(verbs(delivered), []hickorysteering.Verb{hickorysteering.VerbDeliver})
	newAgent := newAgentFixture(t)
	actions := newAgent.returned(delivered[0].Mark)
	newAgent.is.Equal(newAgent.reason(actions), hickorysteering.ReasonNotHeld)
	newAgent.is.Equal(actions[0].Target, balancer)
}

// TestLostFlow guards against a balancer that searches for the owner of a flow
// which the upstream held and lost, and against full load on an upstream that has
// restarted.
func TestLostFlow(t *testing.T) {
	s := newAgentFixture(t)
	s.passStart()
	s.open(1, hickoryframe.Header{RampRate: 1000, RampTime: 2000})
	mark := s.deliver(balancer)[0].Mark
	s.answer(hickorysteering.Packet{Data: 5})
	s.is.Equal(s.reason(s.returned(mark)), hickorysteering.ReasonEnded)
	admitted := 0
	for port := range uint16(10) {
		if s.open(port, hickoryframe.Header{RampRate: 1000, RampTime: 2000})[0].Verb == hickorysteering.VerbDeliver {
			admitted++
		}
	}
	s.is.Equal(admitted, 2) // the first of 3 per window was delivered above
}

// TestNoticeOncePerBalancer guards against a notice with each packet, and against a
// balancer that gets no notice because another balancer got one.
func TestNoticeOncePerBalancer(t *testing.T) {
	s := newAgentFixture(t)
	send := []hickorysteering.Verb{hickorysteering.VerbSendToCaller}
	sendAndNotify := []hickorysteering.Verb{hickorysteering.VerbSendToCaller, hickorysteering.VerbNotice}
	s.deliver(balancer)
	s.is.Equal(verbs(s.answer(hickorysteering.Packet{Answer: true})), sendAndNotify)
	s.is.Equal(verbs(s.answer(hickorysteering.Packet{})), sendAndNotify) // the flow is open now
	s.is.Equal(verbs(s.answer(hickorysteering.Packet{})), send)
	// The agent sends the notice for a known owner with the packet, because an
	// acknowledgement may not be answered by a packet of the upstream that would
	// trigger a notice.
	actions := s.deliver(otherBalancer)
	s.is.Equal(verbs(actions), []hickorysteering.Verb{hickorysteering.VerbDeliver, hickorysteering.VerbNotice})
	s.is.Equal(actions[1].Target, otherBalancer)
	s.is.Equal(actions[1].Flow, flow)
	s.is.Equal(verbs(s.answer(hickorysteering.Packet{})), send)
}

// TestPresumedOwner guards against searches that continue after a restart of the
// owner until the upstream sends a packet of the flow, and against a presumption
// that counts as proof that the upstream holds the flow.
func TestPresumedOwner(t *testing.T) {
	s := newAgentFixture(t)
	mark := s.deliver(balancer)[0].Mark
	s.now = s.now.Add(60 * time.Millisecond)
	s.is.Equal(reasons(s.agent.Tick(s.now)), []hickorysteering.Reason{}) // the upstream may be dead
	other := hickorysteering.Packet{Flow: hickorymodel.FlowKey{Source: service, Destination: socketAddress("192.0.2.99:1")}}
	s.agent.HandleUpstream(s.now, &other)
	s.is.Equal(reasons(s.agent.Tick(s.now)), []hickorysteering.Reason{hickorysteering.ReasonPresumed})
	s.is.Equal(s.reason(s.returned(mark)), hickorysteering.ReasonNotHeld)
}

// TestReturnedFlowIsNotPresumed guards against an agent that presumes to own a flow
// whose packet the upstream has returned.
func TestReturnedFlowIsNotPresumed(t *testing.T) {
	s := newAgentFixture(t)
	s.returned(s.deliver(balancer)[0].Mark)
	s.is.Equal(reasons(s.agent.Tick(s.now.Add(time.Second))), []hickorysteering.Reason{})
}

// reasons returns the reasons of the notices among actions.
func reasons(actions []hickorysteering.Action) []hickorysteering.Reason {
	list := []hickorysteering.Reason{}
	for _, action := range actions {
		if action.Verb == hickorysteering.VerbNotice {
			list = append(list, hickorysteering.Reason(action.Header.Reason))
		}
	}
	return list
}

// TestSilentUpstream guards against first packets to an upstream that does not
// answer, and against one that never gets a probe.
func TestSilentUpstream(t *testing.T) {
	s := newAgentFixture(t)
	s.open(1, hickoryframe.Header{})
	s.open(2, hickoryframe.Header{})
	s.agent.Tick(s.now.Add(100 * time.Millisecond))
	s.is.Equal(len(s.steps), 0) // still within upstreamSilenceTime
	s.now = s.now.Add(130 * time.Millisecond)
	reports := s.agent.Tick(s.now)
	s.is.Equal(s.steps, []hickorysteering.Step{hickorysteering.StepUpstreamSilent})
	s.is.Equal(hickorysteering.State(reports[0].Report.State), hickorysteering.StateSilent)
	s.is.Equal(s.reason(s.open(3, hickoryframe.Header{})), hickorysteering.ReasonSilent)
	s.now = s.now.Add(250 * time.Millisecond)
	s.is.Equal(s.open(4, hickoryframe.Header{})[0].Verb, hickorysteering.VerbDeliver)
	s.answer(hickorysteering.Packet{Answer: true})
	s.is.Equal(s.open(5, hickoryframe.Header{})[0].Verb, hickorysteering.VerbDeliver)
}

// TestPausedAgentDoubtsItself guards against an agent that was paused and takes the
// pause for the silence of its upstream, whose answers wait in its sockets: it refused
// new flows and limited them like those of a cold start.
func TestPausedAgentDoubtsItself(t *testing.T) {
	s := newAgentFixture(t)
	s.agent.Tick(s.now)
	s.open(1, hickoryframe.Header{})
	s.open(2, hickoryframe.Header{})
	s.now = s.now.Add(400 * time.Millisecond)
	s.agent.Tick(s.now)
	s.is.Equal(s.open(3, hickoryframe.Header{})[0].Verb, hickorysteering.VerbDeliver)
	s.is.Equal(len(s.steps), 0)
	s.now = s.now.Add(400 * time.Millisecond)
	s.agent.Tick(s.now) // also when it is paused again and again
	s.is.Equal(s.steps, []hickorysteering.Step{hickorysteering.StepUpstreamSilent})
}

// TestStop guards against new flows at an agent that is being stopped (guarantee
// P9): it refuses them, reports that at once, and still serves open flows.
func TestStop(t *testing.T) {
	s := newAgentFixture(t)
	s.deliver(balancer)
	s.is.Equal(s.agent.BusyFlows(), 1)
	reports := s.agent.Stop(s.now)
	s.is.Equal(hickorysteering.State(reports[0].Report.State), hickorysteering.StateStopping)
	s.is.Equal(s.reason(s.open(1, hickoryframe.Header{})), hickorysteering.ReasonStopping)
	s.is.Equal(s.deliver(balancer)[0].Verb, hickorysteering.VerbDeliver)
	s.now = s.now.Add(30 * time.Millisecond)
	s.answer(hickorysteering.Packet{Data: 5})
	s.is.Equal(s.agent.BusyFlows(), 0)
	s.is.Equal(s.answerTimes, []time.Duration{30 * time.Millisecond})
}

// TestReportNamesOpenFlows guards against reports that count ended flows or leave
// out the addresses of open ones.
func TestReportNamesOpenFlows(t *testing.T) {
	s := newAgentFixture(t)
	s.deliver(balancer)
	s.answer(hickorysteering.Packet{Data: 5})
	hello := hickoryframe.Header{Kind: uint8(hickorysteering.KindHello)}
	report := s.agent.HandleFrame(s.now, balancer, &hello, nil)[0]
	s.is.Equal(report.Report.Flows, uint32(1))
	s.is.Equal(report.Addresses, []hickoryframe.Address{{IP: [4]byte{198, 51, 100, 1}, Port: 443}})
	s.answer(hickorysteering.Packet{Finish: true})
	report = s.agent.HandleFrame(s.now, balancer, &hello, nil)[0]
	s.is.Equal(report.Report.Flows, uint32(0))
	s.is.Equal(len(report.Addresses), 0)
}

// TestReportRate guards against an agent that exceeds maxReportRate when there are
// many balancers.
func TestReportRate(t *testing.T) {
	s := newAgentFixture(t)
	hello := hickoryframe.Header{Kind: uint8(hickorysteering.KindHello)}
	for i := range 200 {
		from := hickorymodel.Endpoint{Address: [4]byte{10, 9, 1, byte(i)}, Port: balancerPort}
		s.agent.HandleFrame(s.now, from, &hello, nil)
	}
	sent := 0
	for range 20 {
		s.now = s.now.Add(100 * time.Millisecond)
		sent += len(s.agent.Tick(s.now))
	}
	s.is.True(sent <= 2*50)
}

// queryAnswers returns the reasons by which the agent answers a query for one flow.
func (s *agentFixture) queryAnswers(query *hickoryframe.Query) []hickorysteering.Reason {
	answered := []hickorysteering.Reason{}
	for _, action := range s.agent.HandleQuery(s.now, balancer, query, []hickoryframe.Notice{hickorysteering.NoticeOf(flow)}) {
		for _, answer := range action.Answers {
			s.is.Equal(answer.Flow, hickorysteering.NoticeOf(flow))
			answered = append(answered, hickorysteering.Reason(answer.Reason))
		}
	}
	return answered
}

// TestQuery guards against an agent that answers ReasonNotHeld for a flow that its
// upstream may hold although the agent has received no packet of it since its start,
// and against answers that do not follow the agent's cache.
func TestQuery(t *testing.T) {
	query := hickoryframe.Query{IdleTime: 15000}
	s := newAgentFixture(t)
	queryAnswers := func() []hickorysteering.Reason { return s.queryAnswers(&query) }
	s.is.Equal(queryAnswers(), []hickorysteering.Reason{hickorysteering.ReasonUnknown})
	s.now = s.now.Add(16 * time.Second) // a packet that the caller has sent in time may still be searched for
	s.is.Equal(queryAnswers(), []hickorysteering.Reason{hickorysteering.ReasonUnknown})
	s.now = s.now.Add(10 * time.Second)
	s.is.Equal(queryAnswers(), []hickorysteering.Reason{hickorysteering.ReasonNotHeld})
	s.deliver(balancer)
	s.is.Equal(queryAnswers(), []hickorysteering.Reason{hickorysteering.ReasonUnknown}) // the upstream may still return it
	s.answer(hickorysteering.Packet{Data: 5})
	s.is.Equal(queryAnswers(), []hickorysteering.Reason{hickorysteering.ReasonOpen})
}

// TestLateCopyKeepsFlow guards against a late copy of a first packet that makes an open
// flow a new one: its unanswered request no longer counted as load, and a balancer that
// searched for the owner got no answer.
func TestLateCopyKeepsFlow(t *testing.T) {
	s := newAgentFixture(t)
	s.firstPacket(0)
	s.answer(hickorysteering.Packet{Answer: true})
	s.answer(hickorysteering.Packet{})
	s.deliver(balancer)
	s.firstPacket(1)
	s.is.Equal(s.agent.BusyFlows(), 1)
	s.is.Equal(s.queryAnswers(&hickoryframe.Query{}), []hickorysteering.Reason{hickorysteering.ReasonOpen})
}

// TestSeekingBalancerIsToldAgain guards against a balancer that restarts at the
// same endpoint and gets no notice about a flow because its predecessor got one.
// Its search went on to all agents, and the next packets of the flow waited for 0.6
// s.
func TestSeekingBalancerIsToldAgain(t *testing.T) {
	s := newAgentFixture(t)
	s.deliver(balancer)
	s.answer(hickorysteering.Packet{Data: 5})
	s.is.Equal(verbs(s.deliver(balancer)), []hickorysteering.Verb{hickorysteering.VerbDeliver}) // it has got a notice
	sought := hickoryframe.Header{Kind: uint8(hickorysteering.KindData), Reason: uint8(hickorysteering.ReasonOwnerUnknown)}
	actions := s.agent.HandleFrame(s.now, balancer, &sought, data())
	s.is.Equal(verbs(actions), []hickorysteering.Verb{hickorysteering.VerbDeliver, hickorysteering.VerbNotice})
}

// TestSearchMarksPackets guards against packets of a search without the reason that
// TestSeekingBalancerIsToldAgain relies on.
func TestSearchMarksPackets(t *testing.T) {
	f := newFixture(t, "a")
	f.is.Equal(hickorysteering.Reason(f.balancer.Handle(f.now, data())[0].Header.Reason), hickorysteering.ReasonOwnerUnknown)
}
