package hickorysteering

import (
	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// lastCopy is the number of the last copy that callers send of a first packet.
const lastCopy = 2

// Handle decides on a packet of a caller.
func (b *Balancer) Handle(now hickorymodel.Instant, p *Packet) []Action {
	b.actions = b.actions[:0]
	if p.First {
		b.handleFirst(now, p)
	} else {
		b.handleData(now, p)
	}
	b.sendQueries(now)
	return b.actions
}

// handleFirst sends a first packet to an upstream. Copies of an unanswered first
// packet go to other upstreams: the flow opens at the upstream whose answer the
// caller accepts.
func (b *Balancer) handleFirst(now hickorymodel.Instant, p *Packet) {
	f, known := b.flows[p.Flow]
	if known && f.sequence == p.Sequence && !f.owner.IsZero() {
		f.seenAt = now
		if f.stage != stageOpening || p.Copy <= f.copies {
			b.sendFirstPacket(now, p, f, b.peer(f.owner))
			return
		}
		if b.sendToLine(now, p, f) {
			return
		}
		if !f.waiting {
			b.peer(f.owner).firstPacketUnansweredAt = now
		}
	}
	route := b.view.Routes[p.Flow.Destination]
	if route == nil {
		b.refuseUnrouted(now, p, f)
		return
	}
	if !known || f.sequence != p.Sequence {
		if f = b.flow(now, p.Flow); f == nil {
			f = &flow{}
		}
		*f = flow{sequence: p.Sequence, seenAt: now, complete: p.Copy == 0}
	}
	f.complete = f.complete && p.Copy <= f.copies+1
	f.copies = p.Copy
	f.copiedAt = now
	f.waiting, f.placed = false, false
	f.crowded = false
	b.assign(now, p, route, f, StepOpened)
}

// refuseUnrouted resets a flow to an address without a route; f is its cache entry, or
// nil. A balancer without a complete view, or one that was paused, drops the packet
// instead. So does one that has left out routes, and one that has not handled the flow
// from its first packet on: another balancer may know a route and have opened the flow.
func (b *Balancer) refuseUnrouted(now hickorymodel.Instant, p *Packet, f *flow) {
	b.recordDecision(&Decision{Step: StepNoRoute, Flow: p.Flow, Copy: p.Copy})
	unheld := p.Copy == 0
	if f != nil && f.sequence == p.Sequence {
		unheld = f.unheld()
	}
	if unheld && b.view.StateComplete && !b.view.RoutesLeftOut && !now.Before(b.staleUntil) {
		b.sendReset(p)
	}
}

// assign chooses an upstream for a first packet and sends the packet there.
func (b *Balancer) assign(now hickorymodel.Instant, p *Packet, route *hickorydirectory.Route, f *flow, step Step) {
	service, ok := chooseService(route, p.Flow)
	if !ok || f.tried.full() {
		b.endAttempt(now, p, f, ReasonNone)
		return
	}
	chosen, load := b.chooseUpstream(now, p, route, service, f)
	if chosen == nil && p.Copy >= lastCopy && f.tried.count == 0 {
		// Those that had no room for other flows a moment ago may have some for this one.
		chosen, load = b.chooseBusy(now, service)
	}
	if place := b.waitingPlace(now, p, route, f, service, chosen); place != nil {
		f.placed = true
		b.work.last = WorkChoice{}
		chosen, load = place, place.load()
	}
	if chosen == nil {
		b.endAttempt(now, p, f, ReasonNone)
		return
	}
	if f.tried.count > 0 {
		step = StepRetried
	}
	f.tried.add(chosen.endpoint)
	f.owner = chosen.endpoint
	f.stage = stageOpening
	f.waiting = false
	chosen.openedSinceReport++
	b.recordChoice(now, f, chosen)
	b.recordDecision(&Decision{
		Step: step, Flow: p.Flow, Peer: chosen.endpoint, Upstream: chosen.upstream.ID,
		Copy: p.Copy, Revision: int(chosen.upstream.Revision), Load: load, Count: f.tried.count, Choice: b.work.last,
	})
	b.sendFirstPacket(now, p, f, chosen)
}

// sendFirstPacket sends a first packet to an agent.
func (b *Balancer) sendFirstPacket(now hickorymodel.Instant, p *Packet, f *flow, to *peer) {
	to.awaitAnswer(now)
	b.openedFlows++
	f.recordSent(to.endpoint)
	action := frameAction(to.endpoint, KindOpen, ReasonNone, p.Bytes)
	action.Header.Service = uint32(to.upstream.Service)
	if route := b.view.Routes[p.Flow.Destination]; route != nil {
		action.Header.Room = firstRoom(to, route, p.Copy)
	}
	action.Header.RampRate = uint32(to.upstream.RampRate * rampRateUnit)
	action.Header.RampTime = uint32(to.upstream.RampTime.Milliseconds())
	if to.cold(now) {
		action.Header.ColdTime = uint32(to.upstream.ColdUntil.Sub(now).Milliseconds()) + 1
	}
	b.addTerms(now, p, f, to, &action)
	b.actions = append(b.actions, action)
}

// endAttempt ends an attempt for which no upstream is left. It sends a reset with
// the last copy, so that the caller need not wait; before that, an upstream may
// accept the next copy. While an agent may still have the packet, or another balancer
// may have sent an earlier copy to one, the flow may yet open, so no reset is sent.
func (b *Balancer) endAttempt(now hickorymodel.Instant, p *Packet, f *flow, reason Reason) {
	f.tried = triedList{}
	f.owner = hickorymodel.Endpoint{}
	f.waiting = false
	f.refused = p.Copy >= lastCopy && !b.postpone(now, p, f) && !now.Before(b.staleUntil)
	if !f.refused || !f.unheld() {
		b.recordDecision(&Decision{Step: StepWaited, Flow: p.Flow, Copy: p.Copy, Reason: reason})
		return
	}
	b.recordDecision(&Decision{Step: StepRefused, Flow: p.Flow, Copy: p.Copy, Reason: reason})
	b.sendReset(p)
}

func (b *Balancer) sendReset(p *Packet) {
	b.actions = append(b.actions, Action{Verb: VerbReset, Flow: p.Flow, Sequence: p.Acknowledged})
}

// handleReturnedFirst handles a first packet that an agent has returned: it tries
// another upstream.
func (b *Balancer) handleReturnedFirst(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, p *Packet) {
	if (reason == ReasonBusy || reason == ReasonPaced) && !b.namedWork(now, from) {
		b.peer(from).busyUntil = now.Add(busyTime)
	}
	f, known := b.flows[p.Flow]
	if known {
		f.unreturned.remove(from)
	}
	if known && (f.owner != from || f.stage != stageOpening) {
		// A late return; the first packet has been sent elsewhere since.
		b.refuseLate(now, p, f, reason)
		return
	}
	route := b.view.Routes[p.Flow.Destination]
	if route == nil {
		b.refuseUnrouted(now, p, f)
		return
	}
	if !known {
		if f = b.flow(now, p.Flow); f == nil {
			// Without a record of those that were tried there is no end of trying.
			b.recordDecision(&Decision{Step: StepWaited, Flow: p.Flow, Copy: p.Copy, Reason: reason})
			return
		}
		f.sequence = p.Sequence
		f.copiedAt = now
		f.copies = p.Copy // complete stays false: the cache may have lost the flow
	}
	f.tried.add(from)
	b.recordReturned(b.peer(from), f, reason)
	if reason == ReasonLate {
		b.endHopeless(now, p, f)
		return
	}
	f.crowded = f.crowded || reason == ReasonPaced
	b.tryNext(now, p, route, f, reason)
}

// tryNext sends a first packet that was returned to another upstream, or ends the
// attempt. Reason is that of the last return.
func (b *Balancer) tryNext(now hickorymodel.Instant, p *Packet, route *hickorydirectory.Route, f *flow, reason Reason) {
	service, ok := chooseService(route, p.Flow)
	if ok && !f.tried.full() {
		chosen, _ := b.chooseUpstream(now, p, route, service, f)
		if chosen != nil || b.waitingPlace(now, p, route, f, service, nil) != nil {
			b.assign(now, p, route, f, StepRetried)
			return
		}
	}
	f.crowded = f.crowded || (ok && f.tried.full() && b.othersHaveRoom(now, service, &f.tried))
	b.endAttempt(now, p, f, reason)
}

// refuseLate resets a flow for whose last copy no upstream was left, once the last agent
// that may hold it has returned its first packet.
func (b *Balancer) refuseLate(now hickorymodel.Instant, p *Packet, f *flow, reason Reason) {
	if !f.refused || !f.owner.IsZero() || !f.unheld() || f.copySentElsewhere(now) || now.Before(b.staleUntil) {
		return
	}
	f.refused = false
	b.recordDecision(&Decision{Step: StepRefused, Flow: p.Flow, Copy: p.Copy, Reason: reason})
	b.sendReset(p)
}
