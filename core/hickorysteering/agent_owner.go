package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

// HandleQuery answers for each of the flows whether the upstream holds it. The agent
// can rule out a flow that is not in its cache only if the cache has every flow that
// the upstream may hold.
func (a *Agent) HandleQuery(now hickorymodel.Instant, from hickorymodel.Endpoint, query *hickoryframe.Query, flows []hickoryframe.Notice) []Action {
	a.actions = a.actions[:0]
	a.recordFrame(now, from)
	hasAllFlows := a.hasAllFlows(now, time.Duration(query.IdleTime)*time.Millisecond)
	action := frameAction(from, KindAnswers, ReasonNone, nil)
	action.Verb = VerbAnswers
	action.Answers = make([]hickoryframe.Answer, 0, len(flows))
	for _, name := range flows {
		reason := ReasonUnknown
		f, known := a.flows[FlowOf(name)]
		switch {
		case known && f.open():
			reason = ReasonOpen
			f.balancer, f.notified = from, from
		case !known && hasAllFlows:
			reason = ReasonNotHeld
		}
		action.Answers = append(action.Answers, hickoryframe.Answer{Flow: name, Reason: uint8(reason)})
	}
	a.actions = append(a.actions, action)
	return a.actions
}

// hasAllFlows reports whether the cache has every flow that the upstream may hold: the
// agent has recorded packets for longer than an upstream keeps an idle flow, and for
// the time that a caller's packet may take to arrive. No clock of another process can
// tell that, since it may have jumped: the start of the upstream that is published is
// no evidence.
func (a *Agent) hasAllFlows(now hickorymodel.Instant, idleTime time.Duration) bool {
	if idleTime <= 0 {
		return false
	}
	a.extendFlowLife(now, idleTime+searchLife)
	return now.Sub(a.recordedSince) > idleTime+searchLife
}

// extendFlowLife keeps flows in the cache for at least the given time. Flows that were
// idle for longer than the previous flowLife have been removed.
func (a *Agent) extendFlowLife(now hickorymodel.Instant, life time.Duration) {
	if life <= a.flowLife {
		return
	}
	a.recordedSince = max(a.recordedSince, now.Add(-a.flowLife))
	a.flowLife = life
}

// sendNotice sends a notice that this agent owns a flow to the balancer of the
// flow, unless that balancer got the last one.
func (a *Agent) sendNotice(key hickorymodel.FlowKey, f *agentFlow, reason Reason) {
	if f.notified == f.balancer || f.balancer.IsZero() {
		return
	}
	f.notified = f.balancer
	notice := frameAction(f.balancer, KindNotice, reason, nil)
	notice.Verb = VerbNotice
	notice.Flow = key
	a.actions = append(a.actions, notice)
}

// presumeUnreturnedFlows sends notices for flows whose packet the upstream has not
// returned within maxReturnTime, if the upstream has sent anything since. Such a
// flow is presumed to be held, because a running upstream returns packets of
// unknown flows at once.
func (a *Agent) presumeUnreturnedFlows(now hickorymodel.Instant) {
	remaining := a.unverified[:0]
	for _, key := range a.unverified {
		f, ok := a.flows[key]
		if !ok || f.unverifiedSince == 0 {
			continue
		}
		waited := now.Sub(f.unverifiedSince)
		if waited < maxReturnTime || (a.upstreamSentAt < f.unverifiedSince && waited < presumeTimeout) {
			remaining = append(remaining, key)
			continue
		}
		upstreamSent := a.upstreamSentAt > f.unverifiedSince
		f.unverifiedSince = 0
		if upstreamSent {
			a.sendNotice(key, f, ReasonPresumed)
		}
	}
	a.unverified = remaining
}
