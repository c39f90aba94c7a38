package hickorysteering

import (
	"encoding/binary"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

const (
	// maxAgentFlows is above the connections of any upstream of today.
	maxAgentFlows = 1 << 14
	// endedFlowLife is how long a flow that has ended stays in an agent's cache.
	endedFlowLife = 3 * time.Second
	// returnTime is how long an upstream takes at most to return a packet whose
	// flow it does not hold.
	returnTime = 50 * time.Millisecond
	// waitingLife is how long a sign of life of the upstream is waited for.
	waitingLife = 2 * time.Second
	// lossTime is how recently a lost flow must have been used to show that the
	// upstream has restarted.
	lossTime = 5 * time.Second
	// agentFlowLife is how long an idle flow stays in an agent's cache.
	agentFlowLife = 60 * time.Second
	// reportInterval is the time between two reports to a balancer that sends
	// new flows, which chooses by load.
	reportInterval = 400 * time.Millisecond
	// idleReportInterval is the time between two reports to one that does not.
	idleReportInterval = 4 * time.Second
	// activeTime is how long a balancer counts as one that sends new flows.
	activeTime = 3 * time.Second
	// balancerLife is how long an agent reports to a balancer it does not hear.
	balancerLife = 30 * time.Second
	// maxReportRate bounds the reports of one agent in a second, so that their
	// cost does not grow with the number of balancers.
	maxReportRate = 50
	// maxReportAddresses bounds the addresses of one report.
	maxReportAddresses = 64
)

// balancerRecord is what an agent knows of one balancer.
type balancerRecord struct {
	heardAt hickorymodel.Instant
	// openedAt is when it last sent a new flow; 0 for never.
	openedAt   hickorymodel.Instant
	reportedAt hickorymodel.Instant
}

// Agent decides for the agent beside one upstream. One goroutine uses it.
type Agent struct {
	service hickorydirectory.ServiceHash
	// balancerPort is the port of the balancers' sockets for agents.
	balancerPort uint16
	decided      func(*Decision)
	// answerTime is called with the time from a request to its answer.
	answerTime func(time.Duration)

	// startedAt is when the agent began to see packets, startedWall the same by
	// the time of day.
	startedAt   hickorymodel.Instant
	startedWall hickorymodel.WallTime
	gate        gate
	health      health
	// flows has at most maxAgentFlows entries; busy of them are busy.
	flows map[hickorymodel.FlowKey]*agentFlow
	busy  int
	// room is the largest room that a frame has named; 0 while none has.
	room int
	// waiting are the flows with waitingSince, and some that have lost it.
	waiting []hickorymodel.FlowKey
	// upstreamAt is when the upstream last sent anything; 0 for never.
	upstreamAt hickorymodel.Instant
	balancers  map[hickorymodel.Endpoint]*balancerRecord
	stopping   bool
	sweptAt    hickorymodel.Instant
	actions    []Action
}

// AgentOption changes an agent at construction.
type AgentOption func(*Agent)

// WithAnswerTime sets the function that is called with the time from each
// request to the first bytes of its answer.
func WithAnswerTime(answerTime func(time.Duration)) AgentOption {
	return func(a *Agent) {
		a.answerTime = answerTime
	}
}

// NewAgent returns an agent without flows. It starts at now, which is wall by the
// time of day. Seeds are balancers that get reports before they send anything.
func NewAgent(now hickorymodel.Instant, wall hickorymodel.WallTime, service hickorydirectory.ServiceHash, balancerPort uint16, seeds []hickorymodel.Endpoint, decided func(*Decision), options ...AgentOption) *Agent {
	a := &Agent{
		service:      service,
		balancerPort: balancerPort,
		decided:      decided,
		answerTime:   func(time.Duration) {},
		startedAt:    now,
		startedWall:  wall,
		flows:        map[hickorymodel.FlowKey]*agentFlow{},
		balancers:    map[hickorymodel.Endpoint]*balancerRecord{},
	}
	for _, option := range options {
		option(a)
	}
	for _, seed := range seeds {
		a.balancers[hickorymodel.Endpoint{Address: seed.Address, Port: balancerPort}] = &balancerRecord{heardAt: now}
	}
	return a
}

// HandleFrame decides on a frame of a balancer. Packet is nil for a hello.
func (a *Agent) HandleFrame(now hickorymodel.Instant, from hickorymodel.Endpoint, header *hickoryframe.Header, p *Packet) []Action {
	a.actions = a.actions[:0]
	balancer := a.heard(now, from)
	switch Kind(header.Kind) {
	case KindHello:
		a.report(now, from, balancer)
	case KindOpen:
		balancer.openedAt = now
		a.open(now, from, header, p)
	case KindData:
		a.deliver(now, from, Reason(header.Reason), p)
	default:
		a.decided(&Decision{Step: StepUnknown, Flow: p.Flow, Peer: from})
	}
	return a.actions
}

func (a *Agent) heard(now hickorymodel.Instant, from hickorymodel.Endpoint) *balancerRecord {
	balancer, ok := a.balancers[from]
	if !ok {
		balancer = &balancerRecord{}
		a.balancers[from] = balancer
	}
	balancer.heardAt = now
	return balancer
}

// open delivers a first packet if the upstream may take it.
func (a *Agent) open(now hickorymodel.Instant, from hickorymodel.Endpoint, header *hickoryframe.Header, p *Packet) {
	if header.Service != uint32(a.service) {
		a.sendBack(from, ReasonWrongService, p)
		return
	}
	a.gate.learn(now, header)
	if a.stopping {
		a.sendBack(from, ReasonStopping, p)
		return
	}
	a.room = max(a.room, int(header.Room))
	if !a.hasRoom(now, int(header.Room)) {
		a.sendBack(from, ReasonBusy, p)
		return
	}
	if reason, ok := a.gate.admit(now); !ok {
		a.sendBack(from, reason, p)
		return
	}
	if f := a.flow(now, p.Flow); f != nil {
		a.setBusy(f, false)
		*f = agentFlow{balancer: from, seenAt: now}
	}
	a.hand(from, p)
}

// deliver hands a packet of an open flow to the upstream, which returns it when
// it does not hold the flow.
func (a *Agent) deliver(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, p *Packet) {
	if f := a.flow(now, p.Flow); f != nil {
		f.balancer = from
		if reason == ReasonOwnerUnknown {
			f.told = hickorymodel.Endpoint{} // a balancer that was told has started again
		}
		f.callerEnded = f.callerEnded || p.Finish || p.Reset
		if p.Reset || (p.Finish && p.Data == 0) {
			a.setBusy(f, false) // the caller waits no more
		}
		if f.advance(p) && !f.busy && !f.upstreamEnded {
			f.askedAt = now
			f.late = false
			a.setBusy(f, true)
		}
		a.hand(from, p)
		if f.open() {
			a.tell(p.Flow, f, ReasonOpen)
		} else if f.stage < stageOpen && f.waitingSince == 0 {
			f.waitingSince = now
			a.waiting = append(a.waiting, p.Flow)
		}
		return
	}
	a.hand(from, p)
}

// hand delivers a packet with the balancer's address as its mark, so that a
// returned packet tells by itself where it came from.
func (a *Agent) hand(from hickorymodel.Endpoint, p *Packet) {
	a.actions = append(a.actions, Action{
		Verb:    VerbDeliver,
		Payload: p.Bytes,
		Mark:    binary.BigEndian.Uint32(from.Address[:]),
	})
}

func (a *Agent) sendBack(to hickorymodel.Endpoint, reason Reason, p *Packet) {
	a.decided(&Decision{Step: StepReturned, Flow: p.Flow, Peer: to, Reason: reason, Copy: p.Copy})
	a.actions = append(a.actions, frame(to, KindReturn, reason, p.Bytes))
}

// HandleUpstream decides on a packet that the upstream has sent.
func (a *Agent) HandleUpstream(now hickorymodel.Instant, p *Packet) []Action {
	a.actions = a.actions[:0]
	a.upstreamAt = now
	if a.gate.answered(now) {
		a.decided(&Decision{Step: StepUpstreamHeard})
		a.reportAll(now)
	}
	if p.Returned {
		a.takeBack(now, p)
		return a.actions
	}
	a.actions = append(a.actions, Action{Verb: VerbSendToCaller, Payload: p.Bytes, Flow: reverse(p.Flow)})
	a.learn(now, p)
	return a.actions
}

// Stop refuses first packets from now on and tells the balancers.
func (a *Agent) Stop(now hickorymodel.Instant) []Action {
	a.actions = a.actions[:0]
	a.stopping = true
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
