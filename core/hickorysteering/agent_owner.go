package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

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
