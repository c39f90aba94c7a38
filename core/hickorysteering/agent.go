package hickorysteering

import (
	"encoding/binary"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickoryhealth"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

const (
	// maxAgentFlows bounds the flow cache of an agent. It is above the connections
	// of any current upstream.
	maxAgentFlows = 1 << 14
	// endedFlowLife is how long an agent keeps a flow in its cache after both sides
	// have ended it.
	endedFlowLife = 3 * time.Second
	// maxReturnTime is the longest time that an upstream takes to return a packet
	// whose flow it does not hold.
	maxReturnTime = 50 * time.Millisecond
	// presumeTimeout is how long the agent waits, after it has delivered a packet
	// of a flow without evidence that the upstream holds the flow, for the upstream
	// to send anything. Until then the upstream may be dead.
	presumeTimeout = 2 * time.Second
	// lostFlowMaxIdle is how recently the upstream must have sent packets of a flow
	// that it no longer holds, for the agent to conclude that the upstream has
	// restarted.
	lostFlowMaxIdle = 5 * time.Second
	// minFlowLife is how long an agent keeps an idle flow in its cache at least. It
	// keeps the flow for longer if upstreams may hold it for longer.
	minFlowLife = 60 * time.Second
	// reportInterval is the time between two reports to a balancer that sends new
	// flows to this agent. Such a balancer chooses upstreams by the reported load.
	reportInterval = 400 * time.Millisecond
	// idleReportInterval is the time between two reports to a balancer that sends
	// no new flows to this agent.
	idleReportInterval = 4 * time.Second
	// activeBalancerTime is the time after its last new flow during which a
	// balancer gets reports at reportInterval.
	activeBalancerTime = 3 * time.Second
	// balancerTimeout is how long an agent sends reports to a balancer from which
	// it receives nothing.
	balancerTimeout = 30 * time.Second
	// maxReportRate bounds the reports that one agent sends per second, so that
	// their cost does not grow with the number of balancers.
	maxReportRate = 50
	// startReportTime is how long a balancer gets a report with each tick while it sends
	// new flows, from its first frame on: after a common start the balancers do not know
	// the flows of each other. startReportRate then replaces maxReportRate.
	startReportTime = time.Second
	startReportRate = 200
	// maxReportAddresses bounds the addresses of one report.
	maxReportAddresses = 64
)

// balancerRecord is an agent's state of one balancer.
type balancerRecord struct {
	// firstFrameAt is when the first frame arrived; 0 before.
	firstFrameAt hickorymodel.Instant
	lastFrameAt  hickorymodel.Instant
	// lastOpenAt is when the balancer last sent a new flow; 0 for never.
	lastOpenAt   hickorymodel.Instant
	lastReportAt hickorymodel.Instant
	// readsWork is true if the balancer understands KindWorkReport; reportedWait is the
	// wait that its last report stated.
	readsWork    bool
	reportedWait time.Duration
}

// active reports whether the balancer sends new flows.
func (b *balancerRecord) active(now hickorymodel.Instant) bool {
	return b.lastOpenAt != 0 && now.Sub(b.lastOpenAt) < activeBalancerTime
}

// Agent decides for the agent beside one upstream. It is not safe for concurrent
// use; one goroutine owns it.
type Agent struct {
	service hickorydirectory.ServiceHash
	// balancerPort is the port on which balancers receive frames of agents.
	balancerPort uint16
	// agentPort is the port of the data sockets of other agents; 0 if it is not known.
	agentPort  uint16
	onDecision func(*Decision)
	// onAnswerTime is called with the time from a request to its answer.
	onAnswerTime func(time.Duration)

	gate   gate
	health agentHealth
	// waiting has the first packets that wait for room.
	waiting waitingPackets
	// recordedSince is the time since which flows has every flow of which a packet
	// has passed: the agent's start, or the last packet of a flow that was left out
	// because flows was full.
	recordedSince hickorymodel.Instant
	// flowLife is how long an idle flow stays in flows. It never falls.
	flowLife time.Duration
	// flows has at most maxAgentFlows entries; busy of them have an unanswered
	// request.
	flows map[hickorymodel.FlowKey]*agentFlow
	busy  int
	// maxRoom is the largest room (see the function room) that a frame has carried;
	// 0 while none has.
	maxRoom int
	// work estimates and reports the work of the upstream.
	work agentWork
	// reports bounds the reports that are sent before they are due.
	reports reportBudget
	// unverified lists the flows with unverifiedSince set, and some for which it
	// has been cleared since.
	unverified []hickorymodel.FlowKey
	// upstreamSentAt is when the upstream last sent anything; 0 for never.
	upstreamSentAt hickorymodel.Instant
	balancers      map[hickorymodel.Endpoint]*balancerRecord
	probes         agentProbes
	stopping       bool
	sweptAt        hickorymodel.Instant
	actions        []Action
}

// AgentOption sets an option of an agent at construction.
type AgentOption func(*Agent)

// WithAnswerTime sets the function that is called with the time from each
// request to the first bytes of its answer.
func WithAnswerTime(onAnswerTime func(time.Duration)) AgentOption {
	return func(a *Agent) {
		a.onAnswerTime = onAnswerTime
	}
}

// WithAgentPort sets the port of the data sockets of other agents, to which probes are
// passed on.
func WithAgentPort(port uint16) AgentOption {
	return func(a *Agent) {
		a.agentPort = port
	}
}

// NewAgent returns an agent without flows that starts now. Seeds are balancers that
// get reports before they have sent anything. OnDecision is called with each decision.
func NewAgent(now hickorymodel.Instant, service hickorydirectory.ServiceHash, balancerPort uint16, seeds []hickorymodel.Endpoint, onDecision func(*Decision), options ...AgentOption) *Agent {
	a := &Agent{
		service:       service,
		balancerPort:  balancerPort,
		onDecision:    onDecision,
		onAnswerTime:  func(time.Duration) {},
		gate:          gate{startedAt: now},
		health:        agentHealth{answerTimes: hickoryhealth.NewAnswerTimes()},
		recordedSince: now,
		flowLife:      minFlowLife,
		flows:         map[hickorymodel.FlowKey]*agentFlow{},
		balancers:     map[hickorymodel.Endpoint]*balancerRecord{},
		probes:        newAgentProbes(),
	}
	a.initLine()
	for _, option := range options {
		option(a)
	}
	for _, seed := range seeds {
		a.balancers[hickorymodel.Endpoint{Address: seed.Address, Port: balancerPort}] = &balancerRecord{lastFrameAt: now}
	}
	return a
}

// HandleFrame decides on a frame of a balancer. P is the packet of the frame, nil
// for a hello.
func (a *Agent) HandleFrame(now hickorymodel.Instant, from hickorymodel.Endpoint, header *hickoryframe.Header, p *Packet) []Action {
	a.actions = a.actions[:0]
	balancer := a.recordFrame(now, from)
	switch Kind(header.Kind) {
	case KindHello:
		balancer.readsWork = Reason(header.Reason) == ReasonWork
		a.report(now, from, balancer)
	case KindOpen:
		balancer.lastOpenAt = now
		a.reportFeatures(now, from, balancer)
		a.handleFirst(now, from, header, p)
	case KindData:
		a.forgetProbe(from, p.Flow)
		a.handleData(now, from, Reason(header.Reason), p)
		a.releaseWaiting(now)
	default:
		a.onDecision(&Decision{Step: StepUnknown, Flow: p.Flow, Peer: from})
	}
	return a.actions
}

func (a *Agent) recordFrame(now hickorymodel.Instant, from hickorymodel.Endpoint) *balancerRecord {
	balancer, ok := a.balancers[from]
	if !ok {
		balancer = &balancerRecord{}
		a.balancers[from] = balancer
	}
	if balancer.firstFrameAt == 0 {
		balancer.firstFrameAt = now
	}
	balancer.lastFrameAt = now
	return balancer
}

// handleFirst delivers a first packet if the upstream may take a new flow, and
// returns it to the balancer otherwise.
func (a *Agent) handleFirst(now hickorymodel.Instant, from hickorymodel.Endpoint, header *hickoryframe.Header, p *Packet) {
	if reason, ok := a.admitOpening(now, header); !ok {
		a.returnPacket(from, reason, p)
		return
	}
	a.recordRoom(header, p)
	if reason, ok := a.admitRoom(now, int(header.Room)); !ok {
		a.returnPacket(from, reason, p)
		return
	}
	if reason, ok := a.gate.admit(now); !ok {
		a.returnPacket(from, reason, p)
		return
	}
	a.openFlow(now, from, p)
}

// admitOpening reports whether the agent may open flows of a balancer's view at all, and
// why not.
func (a *Agent) admitOpening(now hickorymodel.Instant, header *hickoryframe.Header) (Reason, bool) {
	if header.Service != uint32(a.service) {
		return ReasonWrongService, false
	}
	a.gate.updateColdStart(now, header)
	if a.stopping {
		return ReasonStopping, false
	}
	a.maxRoom = max(a.maxRoom, int(header.Room))
	return ReasonNone, true
}

// openFlow delivers a first packet that the gate has admitted.
func (a *Agent) openFlow(now hickorymodel.Instant, from hickorymodel.Endpoint, p *Packet) {
	a.recordOpening(now, p.Flow)
	if f := a.flow(now, p.Flow); f != nil {
		f.balancer = from
		if !f.isCopy(p) {
			a.setBusy(f, false)
			*f = newAgentFlow(p, f)
			a.awaitOpening(now, p)
		}
	}
	a.deliver(from, p)
}

// handleData delivers a packet of an open flow to the upstream, which returns it
// when it does not hold the flow.
func (a *Agent) handleData(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, p *Packet) {
	a.dropWaiting(p.Flow)
	f := a.flow(now, p.Flow)
	if f == nil {
		a.deliver(from, p)
		return
	}
	f.balancer = from
	if reason == ReasonOwnerUnknown {
		f.notified = hickorymodel.Endpoint{} // the balancer has restarted since the last notice
	}
	a.recordCallerPacket(now, f, p)
	a.deliver(from, p)
	if f.open() {
		a.sendNotice(p.Flow, f, ReasonOpen)
	} else if f.stage < stageOpen && f.unverifiedSince == 0 {
		f.unverifiedSince = now
		a.unverified = append(a.unverified, p.Flow)
	}
}

// recordCallerPacket records what a packet of the caller says about its flow: that the
// caller has ended it, or that a request begins.
func (a *Agent) recordCallerPacket(now hickorymodel.Instant, f *agentFlow, p *Packet) {
	f.callerEnded = f.callerEnded || p.Finish || p.Reset
	f.reset = f.reset || p.Reset
	if p.Reset || (p.Finish && p.Data == 0) {
		a.setBusy(f, false) // the caller expects no answer
	}
	if f.recordRequestData(p) && !f.busy && !f.upstreamEnded {
		a.recordOpeningTime(now, p.Flow)
		f.requestedAt = now
		f.countedLate = false
		a.setBusy(f, true)
		a.beginWork(now, f, p)
		a.awaitOutcome(now, p.Flow)
	}
}

// deliver passes a packet to the upstream, marked with the address of the balancer
// that sent it. The upstream returns the mark with the packet, so the agent needs
// no other state to send a returned packet back.
func (a *Agent) deliver(from hickorymodel.Endpoint, p *Packet) {
	a.actions = append(a.actions, Action{
		Verb:    VerbDeliver,
		Payload: p.Bytes,
		Mark:    binary.BigEndian.Uint32(from.Address[:]),
	})
}

func (a *Agent) returnPacket(to hickorymodel.Endpoint, reason Reason, p *Packet) {
	a.onDecision(&Decision{Step: StepReturned, Flow: p.Flow, Peer: to, Reason: reason, Copy: p.Copy})
	a.actions = append(a.actions, frameAction(to, KindReturn, reason, p.Bytes))
}

// HandleUpstream decides on a packet from the upstream.
func (a *Agent) HandleUpstream(now hickorymodel.Instant, p *Packet) []Action {
	a.actions = a.actions[:0]
	a.upstreamSentAt = now
	if a.gate.recordAnswer(now) {
		a.onDecision(&Decision{Step: StepUpstreamHeard})
		a.recordReturn(now)
		a.reportAll(now)
	}
	if p.Returned {
		a.handleReturned(now, p)
		a.releaseWaiting(now)
		return a.actions
	}
	a.actions = append(a.actions, Action{Verb: VerbSendToCaller, Payload: p.Bytes, Flow: reverse(p.Flow)})
	a.recordUpstreamPacket(now, p)
	a.releaseWaiting(now)
	return a.actions
}

// Stop makes the agent refuse first packets from now on and reports that to the
// balancers.
func (a *Agent) Stop(now hickorymodel.Instant) []Action {
	a.actions = a.actions[:0]
	a.stopping = true
	a.returnWaiting(now, ReasonStopping)
	a.reportAll(now)
	return a.actions
}

// BusyFlows returns the number of flows with an unanswered request.
func (a *Agent) BusyFlows() int {
	return a.busy
}

// Flows returns the number of open flows in the cache.
func (a *Agent) Flows() int {
	open := 0
	for _, f := range a.flows {
		if f.open() {
			open++
		}
	}
	return open
}
