package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

// minAgentRestartTime is less than it takes to stop an agent and start its
// successor. An upstream that started at most this long before the agent has
// therefore had no other agent.
const minAgentRestartTime = 250 * time.Millisecond

// HandleQuery answers for each of the flows whether the upstream holds it. An agent
// that has run since its upstream started, or for longer than the idle timeout of
// flows, has received packets of every flow that the upstream may hold, so it can
// rule out a flow that is not in its cache.
func (a *Agent) HandleQuery(now hickorymodel.Instant, from hickorymodel.Endpoint, query *hickoryframe.Query, flows []hickoryframe.Notice) []Action {
	a.actions = a.actions[:0]
	a.recordFrame(now, from)
	hasAllFlows := a.hasAllFlows(now, query)
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

// hasAllFlows reports whether the cache has every flow that the upstream holds.
func (a *Agent) hasAllFlows(now hickorymodel.Instant, query *hickoryframe.Query) bool {
	if len(a.flows) >= maxAgentFlows {
		return false
	}
	idleTime := time.Duration(query.IdleTime) * time.Millisecond
	if idleTime > 0 && now.Sub(a.startedAt) > idleTime {
		return true
	}
	upstreamStart := hickorymodel.WallTime(query.StartedAt)
	return upstreamStart > 0 && upstreamStart.Add(minAgentRestartTime) >= a.startedAtWall
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
