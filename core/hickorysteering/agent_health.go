package hickorysteering

import (
	"time"

	"hickoryworks/core/hickoryhealth"
	"hickoryworks/core/hickorymodel"
)

const (
	// answerTimeout is how long a request may be unanswered before it is counted as
	// failed, also when it may have waited for a slot and answers take long.
	answerTimeout = time.Second
	// openingTimeout is how long a first packet may be unanswered before it is counted
	// as failed; see upstreamSilenceTime.
	openingTimeout = upstreamSilenceTime
	// maxDeliveries bounds the first packets, and the requests, whose outcome is awaited.
	// Further ones are not counted when they are not answered.
	maxDeliveries = maxAgentFlows
)

// agentHealth is what an agent keeps to judge the outcomes of its upstream's requests.
type agentHealth struct {
	monitor     hickoryhealth.Monitor
	answerTimes *hickoryhealth.AnswerTimes
	// openings and requests are the first packets and requests that may be unanswered,
	// at most maxDeliveries each, in the order of their delivery.
	openings []delivery
	requests []delivery
	// overdue is the number of flows that are busy and countedLate.
	overdue int
	// checkedAt is when overdue deliveries were last looked for; 0 for never.
	checkedAt hickorymodel.Instant
}

// delivery is a first packet or a request that was delivered to the upstream.
type delivery struct {
	flow hickorymodel.FlowKey
	at   hickorymodel.Instant
	// sequence is that of a first packet.
	sequence uint32
	// begunBy is the time by which the upstream has begun to process a request; 0 while
	// the request may still wait for a slot.
	begunBy hickorymodel.Instant
}

// awaitOpening records that a first packet was delivered.
func (a *Agent) awaitOpening(now hickorymodel.Instant, p *Packet) {
	if len(a.health.openings) >= maxDeliveries {
		return
	}
	a.health.openings = append(a.health.openings, delivery{flow: p.Flow, at: now, sequence: p.Sequence})
}

// awaitOutcome records that the request of a flow was delivered.
func (a *Agent) awaitOutcome(now hickorymodel.Instant, key hickorymodel.FlowKey) {
	if len(a.health.requests) >= maxDeliveries {
		return
	}
	d := delivery{flow: key, at: now}
	if (a.busy-a.health.overdue)*requestsPerSlot <= a.maxRoom {
		d.begunBy = now
	}
	a.health.requests = append(a.health.requests, d)
}

// recordAnswer records that the upstream has answered a request. Requests that were
// delivered before it got their slots before.
func (a *Agent) recordAnswer(now hickorymodel.Instant, address hickorymodel.SocketAddress, f *agentFlow) {
	took := now.Sub(f.requestedAt)
	a.onAnswerTime(took)
	a.health.answerTimes.Record(address, took)
	for i := range a.health.requests {
		d := &a.health.requests[i]
		if d.begunBy == 0 && d.at.Before(f.requestedAt) {
			d.begunBy = now
		}
	}
}

// countOverdue counts deliveries as failed that have been unanswered for too long. After
// a pause of the agent answers may still wait to be read.
func (a *Agent) countOverdue(now hickorymodel.Instant) {
	paused := a.health.checkedAt != 0 && now.Sub(a.health.checkedAt) > maxTickGap
	a.health.checkedAt = now
	if paused {
		return
	}
	openings := a.health.openings[:0]
	for _, d := range a.health.openings {
		if now.Sub(d.at) <= openingTimeout {
			openings = append(openings, d)
			continue
		}
		a.judgeOpening(now, &d)
	}
	a.health.openings = openings
	requests := a.health.requests[:0]
	for _, d := range a.health.requests {
		if !a.requestOverdue(now, &d) {
			requests = append(requests, d)
			continue
		}
		a.judgeRequest(now, &d)
	}
	a.health.requests = requests
}

// requestOverdue reports whether a request should have been answered by now. One that may
// wait for a slot has twice the time.
func (a *Agent) requestOverdue(now hickorymodel.Instant, d *delivery) bool {
	deadline := a.health.answerTimes.Deadline(d.flow.Destination)
	begun := d.begunBy != 0 && now.Sub(d.begunBy) > deadline
	return begun || now.Sub(d.at) > min(2*deadline, answerTimeout)
}

// judgeOpening counts a first packet as failed if it is unanswered. While the upstream is
// silent, that is no further evidence.
func (a *Agent) judgeOpening(now hickorymodel.Instant, d *delivery) {
	f, known := a.flows[d.flow]
	if !known || f.sequence != d.sequence || f.stage != stageOpening || f.ended() || a.gate.silent {
		return
	}
	a.health.monitor.RecordOpening(now, true)
}

// judgeRequest counts a request as failed if it is unanswered, like judgeOpening.
func (a *Agent) judgeRequest(now hickorymodel.Instant, d *delivery) {
	f, known := a.flows[d.flow]
	if !known || !f.busy || f.requestedAt != d.at || f.countedLate {
		return
	}
	f.countedLate = true
	a.health.overdue++
	if !a.gate.silent {
		a.health.monitor.RecordRequest(now, true)
	}
}

// recordReturn records that the upstream answers again. The requests that it has left
// unanswered until then say nothing about it from now on.
func (a *Agent) recordReturn(now hickorymodel.Instant) {
	a.health.openings = a.health.openings[:0]
	a.health.requests = a.health.requests[:0]
	for _, f := range a.flows {
		if f.busy && !f.countedLate {
			f.countedLate = true
			a.health.overdue++
		}
	}
	a.health.monitor.RecordReturn(now)
	a.advanceHealth(now)
}

// advanceHealth reports a change of the upstream's standing to all balancers at once.
func (a *Agent) advanceHealth(now hickorymodel.Instant) {
	change, changed := a.health.monitor.Advance(now)
	if !changed {
		return
	}
	if step, ok := standingSteps[change.Standing]; ok {
		decision := &Decision{Step: step, Count: change.Round, Excluded: change.Excluded}
		if step == StepUpstreamFailing {
			decision.Count = change.Failures
		}
		a.onDecision(decision)
	}
	a.reportAll(now)
}

// standingSteps are the decisions that are recorded when an upstream's standing changes.
var standingSteps = map[hickoryhealth.Standing]Step{
	hickoryhealth.Excluded:  StepUpstreamFailing,
	hickoryhealth.Probation: StepUpstreamProbation,
	hickoryhealth.Good:      StepUpstreamRecovered,
}

// standingStates are the states that an agent reports for each standing.
var standingStates = map[hickoryhealth.Standing]State{
	hickoryhealth.Good:          StateAccepting,
	hickoryhealth.Excluded:      StateFailing,
	hickoryhealth.Probation:     StateProbation,
	hickoryhealth.LateProbation: StateLateProbation,
}

// expireRequests drops requests that have been unanswered for requestLife, which may
// never be answered.
func (a *Agent) expireRequests(now hickorymodel.Instant) {
	for _, f := range a.flows {
		if f.busy && now.Sub(f.requestedAt) > requestLife {
			a.setBusy(f, false)
		}
	}
}

// recordReset ends a flow that the upstream has reset, and counts its request as
// failed. If the upstream had closed the flow before, the reset is no evidence of
// failure.
func (a *Agent) recordReset(now hickorymodel.Instant, f *agentFlow) {
	if f.upstreamEnded {
		a.setBusy(f, false)
	}
	a.recordOutcome(now, f, true)
	f.upstreamEnded = true
	f.reset = true
}

// recordOutcome counts the outcome of the unanswered request of a flow, if there is
// one.
func (a *Agent) recordOutcome(now hickorymodel.Instant, f *agentFlow, failed bool) {
	due := f.overtaken || (f.busy && !f.countedLate)
	f.overtaken = false
	a.setBusy(f, false)
	if !due {
		return
	}
	a.health.monitor.RecordRequest(now, failed)
	a.advanceHealth(now)
}

// recordOpeningAnswer counts a first packet as answered when the upstream first sends a packet
// of its flow.
func (a *Agent) recordOpeningAnswer(now hickorymodel.Instant, f *agentFlow) {
	if f.began && f.stage == stageOpening {
		a.health.monitor.RecordOpening(now, false)
	}
}
