package hickorysteering

import (
	"encoding/binary"

	"hickoryworks/core/hickorymodel"
)

// handleReturned sends a packet that the upstream has returned back to its
// balancer, or an answer in its place if a probe brought the packet.
func (a *Agent) handleReturned(now hickorymodel.Instant, p *Packet) {
	var balancer hickorymodel.Endpoint
	binary.BigEndian.PutUint32(balancer.Address[:], p.Mark)
	balancer.Port = a.balancerPort
	reason := ReasonNotHeld
	f, known := a.flows[p.Flow]
	if known && f.unverifiedSince == 0 {
		a.forgetProbe(balancer, p.Flow) // a balancer that presumes the owner needs the packet
	}
	switch {
	case p.First:
		reason = ReasonFull
	case known && f.stage == stageOpen:
		reason = ReasonEnded
		a.detectRestart(now, f, p)
	}
	if known && f.neverHeld(p) {
		a.setBusy(f, false)
		delete(a.flows, p.Flow)
	}
	if reason == ReasonNotHeld && a.answerProbe(now, balancer, p.Flow) {
		return
	}
	a.returnPacket(balancer, reason, p)
}

// detectRestart starts a cold start when the upstream no longer holds a flow that
// was in use, since it must have restarted. An idle flow is no evidence of that: the
// upstream may have dropped it after the idle timeout.
func (a *Agent) detectRestart(now hickorymodel.Instant, f *agentFlow, p *Packet) {
	if !f.open() || now.Sub(f.upstreamSentAt) > lostFlowMaxIdle {
		return
	}
	a.gate.startColdStart(now)
	a.onDecision(&Decision{Step: StepUpstreamCold, Flow: p.Flow})
}

// recordUpstreamPacket records the progress of a flow by a packet of the upstream,
// and sends a notice to the balancer that sent the last packet of the flow unless
// it has got one.
func (a *Agent) recordUpstreamPacket(now hickorymodel.Instant, p *Packet) {
	key := reverse(p.Flow)
	if p.Reset {
		if f, ok := a.flows[key]; ok {
			a.recordReset(now, f)
		}
		return
	}
	f := a.flow(now, key)
	if f == nil {
		return
	}
	f.upstreamSentAt = now
	f.upstreamEnded = f.upstreamEnded || p.Finish
	if p.Data > 0 {
		if f.busy {
			a.recordAnswer(now, key.Destination, f)
		}
		a.endWork(now, f, p)
		a.recordServiceTime(now, f, p)
		a.recordOutcome(now, f, p.Failed || (p.Shed && a.idle()))
	}
	if p.Finish && f.busy {
		f.overtaken = !f.countedLate
		a.setBusy(f, false) // no answer follows, but one may have been overtaken
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
		a.recordOpeningAnswer(now, f)
		f.stage = reached
		f.notified = hickorymodel.Endpoint{} // the new stage needs a notice
	}
	if reached == stageOpen {
		f.unverifiedSince = 0
	}
	a.sendNotice(key, f, reason)
}
