package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

// predecessorTime is less than it takes to stop an agent and to start the next
// one, so an upstream that is that much older at most has had no other agent.
const predecessorTime = 250 * time.Millisecond

// HandleQuery answers which flows the upstream holds. An agent that has run for
// longer than a flow may be idle, or since its upstream started, has seen every
// one that is not forgotten.
func (a *Agent) HandleQuery(now hickorymodel.Instant, from hickorymodel.Endpoint, query *hickoryframe.Query, flows []hickoryframe.Notice) []Action {
	a.actions = a.actions[:0]
	a.heard(now, from)
	complete := a.complete(now, query)
	action := frame(from, KindAnswers, ReasonNone, nil)
	action.Verb = VerbAnswers
	action.Answers = make([]hickoryframe.Answer, 0, len(flows))
	for _, name := range flows {
		reason := ReasonUnknown
		f, known := a.flows[FlowOf(name)]
		switch {
		case known && f.open():
			reason = ReasonOpen
			f.balancer, f.told = from, from
		case !known && complete:
			reason = ReasonNotHeld
		}
		action.Answers = append(action.Answers, hickoryframe.Answer{Flow: name, Reason: uint8(reason)})
	}
	a.actions = append(a.actions, action)
	return a.actions
}

// complete reports whether the cache has every flow that the upstream holds.
func (a *Agent) complete(now hickorymodel.Instant, query *hickoryframe.Query) bool {
	if len(a.flows) >= maxAgentFlows {
		return false
	}
	idleTime := time.Duration(query.IdleTime) * time.Millisecond
	if idleTime > 0 && now.Sub(a.startedAt) > idleTime {
		return true
	}
	upstreamStart := hickorymodel.WallTime(query.StartedAt)
	return upstreamStart > 0 && upstreamStart.Add(predecessorTime) >= a.startedWall
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
