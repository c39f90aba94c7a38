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

// agentFlow is an agent's cached knowledge of one flow.
type agentFlow struct {
	// balancer sent the last packet, told was told last who owns the flow.
	balancer hickorymodel.Endpoint
	told     hickorymodel.Endpoint
	stage    stage
	// busy is true while a request of the caller is unanswered.
	busy bool
	// callerEnded and upstreamEnded are set by the last packet of each side.
	callerEnded   bool
	upstreamEnded bool
	seenAt        hickorymodel.Instant
	// upstreamAt is when the upstream last sent a packet; 0 for never.
	upstreamAt hickorymodel.Instant
	// waitingSince is when the first packet was delivered of which it is not
	// known whether the upstream holds its flow; 0 for none.
	waitingSince hickorymodel.Instant
	// askedAt is when the oldest unanswered request was delivered.
	askedAt hickorymodel.Instant
}

// open reports whether the upstream holds the flow and neither side is done.
func (f *agentFlow) open() bool {
	return f.stage == stageOpen && !f.callerEnded && !f.upstreamEnded
}

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

	// startedAt is when the agent began to see packets.
	startedAt hickorymodel.Instant
	gate      gate
	// flows has at most maxAgentFlows entries; busy of them are busy.
	flows map[hickorymodel.FlowKey]*agentFlow
	busy  int
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

// NewAgent returns an agent without flows. Seeds are balancers that get reports
// before they send anything.
func NewAgent(now hickorymodel.Instant, service hickorydirectory.ServiceHash, balancerPort uint16, seeds []hickorymodel.Endpoint, decided func(*Decision), options ...AgentOption) *Agent {
	a := &Agent{
		service:      service,
		balancerPort: balancerPort,
		decided:      decided,
		answerTime:   func(time.Duration) {},
		startedAt:    now,
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
		a.deliver(now, from, p)
	default:
		a.decided(&Decision{Step: StepUnknown, Flow: p.Flow, Peer: from})
	}
	return a.actions
}

// HandleQuery answers whether the upstream holds a flow. An agent that has run
// for longer than a flow may be idle has seen every one that is not forgotten.
func (a *Agent) HandleQuery(now hickorymodel.Instant, from hickorymodel.Endpoint, query *hickoryframe.Query) []Action {
	a.actions = a.actions[:0]
	a.heard(now, from)
	key := FlowOf(query.Flow)
	reason := ReasonUnknown
	f, known := a.flows[key]
	switch {
	case known && f.open():
		reason = ReasonOpen
		f.balancer, f.told = from, from
	case !known && a.complete(now, time.Duration(query.IdleTime)*time.Millisecond):
		reason = ReasonNotHeld
	}
	notice := frame(from, KindNotice, reason, nil)
	notice.Verb = VerbNotice
	notice.Flow = key
	a.actions = append(a.actions, notice)
	return a.actions
}

// complete reports whether the cache has every flow that the upstream holds.
func (a *Agent) complete(now hickorymodel.Instant, idleTime time.Duration) bool {
	return idleTime > 0 && now.Sub(a.startedAt) > idleTime && len(a.flows) < maxAgentFlows
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
func (a *Agent) deliver(now hickorymodel.Instant, from hickorymodel.Endpoint, p *Packet) {
	if f := a.flow(now, p.Flow); f != nil {
		f.balancer = from
		f.callerEnded = f.callerEnded || p.Finish || p.Reset
		if p.Data > 0 && !f.busy {
			f.askedAt = now
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

// tell tells the balancer of a flow who owns it, unless it was told before.
func (a *Agent) tell(key hickorymodel.FlowKey, f *agentFlow, reason Reason) {
	if f.told == f.balancer || f.balancer.IsZero() {
		return
	}
	f.told = f.balancer
	notice := frame(f.balancer, KindNotice, reason, nil)
	notice.Verb = VerbNotice
	notice.Flow = key
	a.actions = append(a.actions, notice)
}

// concludeWaiting presumes that flows are held which the upstream has not
// returned, if it has sent anything since: it returns packets at once.
func (a *Agent) concludeWaiting(now hickorymodel.Instant) {
	left := a.waiting[:0]
	for _, key := range a.waiting {
		f, ok := a.flows[key]
		if !ok || f.waitingSince == 0 {
			continue
		}
		waited := now.Sub(f.waitingSince)
		if waited < returnTime || (a.upstreamAt < f.waitingSince && waited < waitingLife) {
			left = append(left, key)
			continue
		}
		alive := a.upstreamAt > f.waitingSince
		f.waitingSince = 0
		if alive {
			a.tell(key, f, ReasonPresumed)
		}
	}
	a.waiting = left
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
	a.actions = append(a.actions, Action{Verb: VerbCaller, Payload: p.Bytes, Flow: reverse(p.Flow)})
	a.learn(now, p)
	return a.actions
}

// takeBack sends a packet that the upstream has returned back to its balancer.
func (a *Agent) takeBack(now hickorymodel.Instant, p *Packet) {
	var balancer hickorymodel.Endpoint
	binary.BigEndian.PutUint32(balancer.Address[:], p.Mark)
	balancer.Port = a.balancerPort
	reason := ReasonNotHeld
	f, known := a.flows[p.Flow]
	switch {
	case p.First:
		reason = ReasonFull
	case known && f.stage == stageOpen:
		reason = ReasonEnded
		a.noteLoss(now, f, p)
	}
	if known {
		a.setBusy(f, false)
		delete(a.flows, p.Flow)
	}
	a.sendBack(balancer, reason, p)
}

// noteLoss starts a cold start when a flow in use is gone: the upstream has
// restarted. Flows that were idle may have been closed for that.
func (a *Agent) noteLoss(now hickorymodel.Instant, f *agentFlow, p *Packet) {
	if !f.open() || now.Sub(f.upstreamAt) > lossTime {
		return
	}
	a.gate.restarted(now)
	a.decided(&Decision{Step: StepUpstreamCold, Flow: p.Flow})
}

// learn notes that the upstream holds a flow, and tells the balancer that sent
// the last packet if it has not been told.
func (a *Agent) learn(now hickorymodel.Instant, p *Packet) {
	key := reverse(p.Flow)
	if p.Reset {
		if f, ok := a.flows[key]; ok {
			a.setBusy(f, false)
			f.upstreamEnded = true
		}
		return
	}
	f := a.flow(now, key)
	if f == nil {
		return
	}
	f.upstreamAt = now
	f.upstreamEnded = f.upstreamEnded || p.Finish
	if p.Data > 0 {
		if f.busy {
			a.answerTime(now.Sub(f.askedAt))
		}
		a.setBusy(f, false)
	}
	reason := ReasonOpen
	if p.Answer {
		reason = ReasonAnswered
	}
	reached := stageOpen
	if p.Answer {
		reached = stageAnswered
	}
	if f.stage < reached {
		f.stage = reached
		f.told = hickorymodel.Endpoint{} // there is news to tell
	}
	if reached == stageOpen {
		f.waitingSince = 0
	}
	a.tell(key, f, reason)
}

func (a *Agent) flow(now hickorymodel.Instant, key hickorymodel.FlowKey) *agentFlow {
	f, ok := a.flows[key]
	if !ok {
		if len(a.flows) >= maxAgentFlows {
			return nil
		}
		f = &agentFlow{}
		a.flows[key] = f
	}
	f.seenAt = now
	return f
}

func (a *Agent) setBusy(f *agentFlow, busy bool) {
	if f.busy == busy {
		return
	}
	f.busy = busy
	if busy {
		a.busy++
	} else {
		a.busy--
	}
}

// Stop refuses first packets from now on and tells the balancers.
func (a *Agent) Stop(now hickorymodel.Instant) []Action {
	a.actions = a.actions[:0]
	a.stopping = true
	a.reportAll(now)
	return a.actions
}

// Busy returns the number of flows with an unanswered request.
func (a *Agent) Busy() int {
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
