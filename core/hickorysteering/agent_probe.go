package hickorysteering

import (
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

const (
	// AnswerInterval is how long the answer to a probe waits for others to the same
	// balancer, so that they share a frame: after a power failure each balancer searches
	// for hundreds of flows at all agents.
	AnswerInterval = 5 * time.Millisecond
	// maxAnswerAge is the age above which answers are dropped. They say what the upstream
	// held when they were made, and the flow may have been opened since.
	maxAnswerAge = 50 * time.Millisecond
	// maxAnsweredBalancers bounds the balancers for which answers wait.
	maxAnsweredBalancers = 256
	// maxDeliveredProbes bounds the probes that the upstream may still return.
	maxDeliveredProbes = 1 << 12
	// probeReturnTime is how long after its delivery the return of a probe denies that the
	// upstream holds the flow. A busy machine takes longer than maxReturnTime to pass it.
	probeReturnTime = 500 * time.Millisecond
	// probeLife is how long a delivered probe is remembered, so that its late return is
	// told from that of another packet.
	probeLife = searchLife
	// relayRate bounds the bytes per second of probes that an agent passes on.
	relayRate = 2_000_000
)

// probeKey identifies the probes of a balancer that searches for a flow.
type probeKey struct {
	flow     hickorymodel.FlowKey
	balancer hickorymodel.Endpoint
}

// deliveredProbe is a probe that the upstream has not returned.
type deliveredProbe struct {
	// at is when the first of the copies was delivered.
	at hickorymodel.Instant
	// copies counts the copies that the upstream may still return.
	copies int
	// outdated is true if the agent was paused since.
	outdated bool
}

// probeAnswers are the answers to one balancer that wait for others.
type probeAnswers struct {
	// answers has less than maxQueryFlows entries.
	answers []hickoryframe.Answer
	// since is when the first of them was made.
	since hickorymodel.Instant
}

// agentProbes is an agent's state of probes. It is a cache: a balancer asks again for
// what is missing.
type agentProbes struct {
	// delivered has at most maxDeliveredProbes entries.
	delivered map[probeKey]deliveredProbe
	// answers has at most maxAnsweredBalancers entries.
	answers map[hickorymodel.Endpoint]*probeAnswers
	// budget bounds the bytes that are passed on.
	budget byteBudget
	// staleUntil is the time before which probes may have been queued while the process
	// was paused.
	staleUntil hickorymodel.Instant
}

func newAgentProbes() agentProbes {
	return agentProbes{
		delivered: map[probeKey]deliveredProbe{},
		answers:   map[hickorymodel.Endpoint]*probeAnswers{},
		budget:    byteBudget{rate: relayRate},
	}
}

// HandleProbe passes a probe of a balancer on to the targets, and finds out whether the
// upstream holds the flow of its packet. A probe that another agent has passed on names
// its balancer, which the one of a balancer does not, and is not passed on again.
func (a *Agent) HandleProbe(now hickorymodel.Instant, from hickorymodel.Endpoint, probe *hickoryframe.Probe, targets []hickoryframe.Target, p *Packet) []Action {
	a.actions = a.actions[:0]
	relayed := probe.Balancer != [4]byte{}
	if !relayed {
		a.recordFrame(now, from)
	}
	if p.First || now.Before(a.probes.staleUntil) {
		a.onDecision(&Decision{Step: StepUnknown, Flow: p.Flow, Peer: from})
		return a.actions
	}
	if !relayed {
		a.passOn(now, from, targets, p)
		a.deliverProbe(now, from, p)
		return a.actions
	}
	a.deliverProbe(now, hickorymodel.Endpoint{Address: probe.Balancer, Port: a.balancerPort}, p)
	return a.actions
}

// passOn sends a probe on to other agents, within the budget. The balancer asks those
// that are left out itself.
func (a *Agent) passOn(now hickorymodel.Instant, balancer hickorymodel.Endpoint, targets []hickoryframe.Target, p *Packet) {
	passedOn := 0
	for _, target := range targets[:min(len(targets), maxProbeTargets)] {
		if a.agentPort == 0 || !a.probes.budget.spend(now, probeSize(0, len(p.Bytes))) {
			break
		}
		endpoint := hickorymodel.Endpoint{Address: target.IP, Port: a.agentPort}
		action := frameAction(endpoint, KindProbe, ReasonOwnerUnknown, p.Bytes)
		action.Verb = VerbProbe
		action.Probe = hickoryframe.Probe{Balancer: balancer.Address}
		a.actions = append(a.actions, action)
		passedOn++
	}
	if passedOn > 0 {
		a.onDecision(&Decision{Step: StepProbePassedOn, Flow: p.Flow, Peer: balancer, Count: passedOn})
	}
}

// deliverProbe delivers the packet of a probe to the upstream, which returns it if it does
// not hold the flow, unless the agent knows that it does. The cache alone never denies a
// flow here, since a probe does not say how long a flow may be idle.
func (a *Agent) deliverProbe(now hickorymodel.Instant, balancer hickorymodel.Endpoint, p *Packet) {
	a.handleData(now, balancer, ReasonOwnerUnknown, p)
	if f, known := a.flows[p.Flow]; known && f.open() {
		return // the balancer has got a notice
	}
	key := probeKey{flow: p.Flow, balancer: balancer}
	probe, known := a.probes.delivered[key]
	if !known && len(a.probes.delivered) >= maxDeliveredProbes {
		return // the upstream's return goes back as a packet
	}
	if !known || probe.outdated || now.Sub(probe.at) > probeReturnTime {
		probe = deliveredProbe{at: now}
	}
	probe.copies++
	a.probes.delivered[key] = probe
}

// forgetProbe makes the next returned packet of a flow go back to a balancer that has
// sent it for another reason than a search.
func (a *Agent) forgetProbe(balancer hickorymodel.Endpoint, flow hickorymodel.FlowKey) {
	if len(a.probes.delivered) > 0 {
		delete(a.probes.delivered, probeKey{flow: flow, balancer: balancer})
	}
}

// answerProbe handles a packet that the upstream has returned because it does not hold
// the flow, if a probe brought it, and reports whether it did so. A late return is
// dropped: it may be from before a flow was opened.
func (a *Agent) answerProbe(now hickorymodel.Instant, balancer hickorymodel.Endpoint, flow hickorymodel.FlowKey) bool {
	key := probeKey{flow: flow, balancer: balancer}
	probe, known := a.probes.delivered[key]
	if !known {
		return false
	}
	probe.copies--
	a.probes.delivered[key] = probe
	if probe.copies == 0 {
		delete(a.probes.delivered, key)
	}
	if probe.outdated || now.Sub(probe.at) > probeReturnTime {
		return true
	}
	return a.queueAnswer(now, balancer, flow)
}

// queueAnswer adds a denial to the next answers to a balancer, and reports whether there
// was room for it.
func (a *Agent) queueAnswer(now hickorymodel.Instant, balancer hickorymodel.Endpoint, flow hickorymodel.FlowKey) bool {
	waiting, ok := a.probes.answers[balancer]
	if !ok {
		if len(a.probes.answers) >= maxAnsweredBalancers {
			return false
		}
		waiting = &probeAnswers{since: now}
		a.probes.answers[balancer] = waiting
	}
	waiting.answers = append(waiting.answers, hickoryframe.Answer{Flow: NoticeOf(flow), Reason: uint8(ReasonNotHeld)})
	if len(waiting.answers) == maxQueryFlows {
		a.sendProbeAnswers(now, balancer, waiting)
	}
	return true
}

// sendProbeAnswers sends the answers to a balancer that wait, unless they are too old or
// the flow has been opened since.
func (a *Agent) sendProbeAnswers(now hickorymodel.Instant, balancer hickorymodel.Endpoint, waiting *probeAnswers) {
	delete(a.probes.answers, balancer)
	if now.Sub(waiting.since) > maxAnswerAge {
		return
	}
	action := frameAction(balancer, KindAnswers, ReasonNone, nil)
	action.Verb = VerbAnswers
	action.Answers = slices.DeleteFunc(waiting.answers, func(answer hickoryframe.Answer) bool {
		f, known := a.flows[FlowOf(answer.Flow)]
		return known && (f.began || f.stage != stageOpening)
	})
	if len(action.Answers) == 0 {
		return
	}
	a.actions = append(a.actions, action)
	a.onDecision(&Decision{Step: StepProbesAnswered, Peer: balancer, Count: len(action.Answers)})
}

// AnswersWaiting reports whether SendAnswers is to be called within AnswerInterval.
func (a *Agent) AnswersWaiting() bool {
	return len(a.probes.answers) > 0
}

// SendAnswers sends the answers to probes that wait.
func (a *Agent) SendAnswers(now hickorymodel.Instant) []Action {
	a.actions = a.actions[:0]
	for balancer, waiting := range a.probes.answers {
		a.sendProbeAnswers(now, balancer, waiting)
	}
	return a.actions
}

// Resumed records that the process has been paused. What was queued meanwhile says
// nothing about now: answers that wait are dropped, and so are probes and their returns.
func (a *Agent) Resumed(now hickorymodel.Instant) {
	a.probes.staleUntil = now.Add(staleTime)
	clear(a.probes.answers)
	for key, probe := range a.probes.delivered {
		probe.outdated = true
		a.probes.delivered[key] = probe
	}
	a.onDecision(&Decision{Step: StepResumed})
}

// sweepProbes removes old probes, which the upstream has not returned.
func (a *Agent) sweepProbes(now hickorymodel.Instant) {
	for key, probe := range a.probes.delivered {
		if now.Sub(probe.at) > probeLife {
			delete(a.probes.delivered, key)
		}
	}
}
