package hickorysteering

import (
	"encoding/binary"

	"hickoryworks/core/hickorymodel"
)

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
			a.noteBreak(now, f)
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
		a.noteAnswer(now, f, p.Failed || (p.Shed && a.idle()))
	}
	if p.Finish {
		a.setBusy(f, false) // no answer follows
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
