package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

const (
	// lastCopy is the number of the last copy that callers send of a first packet.
	lastCopy = 2
	// copyTime is below the 400 ms between the last two copies. Copies that are
	// handled in shorter order have waited, and the flow may have opened since.
	copyTime = 350 * time.Millisecond
)

// Handle decides on a packet of a caller.
func (b *Balancer) Handle(now hickorymodel.Instant, p *Packet) []Action {
	b.actions = b.actions[:0]
	if p.First {
		b.open(now, p)
	} else {
		b.pass(now, p)
	}
	b.sendQueries(now)
	return b.actions
}

// open sends a first packet on. Copies of one that stays unanswered go to other
// upstreams: the flow opens at the one whose answer the caller takes.
func (b *Balancer) open(now hickorymodel.Instant, p *Packet) {
	f, known := b.flows[p.Flow]
	if known && f.sequence == p.Sequence && !f.owner.IsZero() {
		f.seenAt = now
		if f.stage != stageOpening || p.Copy <= f.copies {
			b.offer(now, p, b.peer(f.owner))
			return
		}
		b.peer(f.owner).unansweredAt = now
	}
	route := b.view.Routes[p.Flow.Destination]
	if route == nil {
		b.refuseUnrouted(now, p)
		return
	}
	if !known || f.sequence != p.Sequence {
		if f = b.flow(now, p.Flow); f == nil {
			f = &flow{}
		}
		*f = flow{sequence: p.Sequence, seenAt: now, firstAt: now}
	}
	f.copies = p.Copy
	b.place(now, p, route, f, StepOpened)
}

// refuseUnrouted answers a first packet for an address without a route. A
// balancer that does not know the configuration yet leaves it unanswered.
func (b *Balancer) refuseUnrouted(now hickorymodel.Instant, p *Packet) {
	b.decide(&Decision{Step: StepNoRoute, Flow: p.Flow, Copy: p.Copy})
	if b.view.StateComplete && !now.Before(b.staleUntil) {
		b.reset(p)
	}
}

// place chooses an upstream for a first packet.
func (b *Balancer) place(now hickorymodel.Instant, p *Packet, route *hickorydirectory.Route, f *flow, step Step) {
	service, ok := target(route, p.Flow)
	if !ok || f.tried.full() {
		b.giveUp(now, p, f, ReasonNone)
		return
	}
	chosen, load := b.choose(now, p.Flow, service, &f.tried)
	if chosen == nil {
		b.giveUp(now, p, f, ReasonNone)
		return
	}
	if f.tried.count > 0 {
		step = StepRetried
	}
	f.tried.add(chosen.endpoint)
	f.owner = chosen.endpoint
	f.stage = stageOpening
	chosen.opened++
	b.decide(&Decision{
		Step: step, Flow: p.Flow, Peer: chosen.endpoint, Upstream: chosen.upstream.ID,
		Copy: p.Copy, Revision: int(chosen.upstream.Revision), Load: load, Count: f.tried.count,
	})
	b.offer(now, p, chosen)
}

// offer sends a first packet to an agent.
func (b *Balancer) offer(now hickorymodel.Instant, p *Packet, to *peer) {
	to.sent(now)
	action := frame(to.endpoint, KindOpen, ReasonNone, p.Bytes)
	action.Header.Service = uint32(to.upstream.Service)
	if route := b.view.Routes[p.Flow.Destination]; route != nil {
		action.Header.Room = room(to.upstream.Slots, route, p.Copy)
	}
	action.Header.RampRate = uint32(to.upstream.RampRate * rampRateUnit)
	action.Header.RampTime = uint32(to.upstream.RampTime.Milliseconds())
	if to.cold(now) {
		action.Header.ColdTime = uint32(to.upstream.ColdUntil.Sub(now).Milliseconds()) + 1
	}
	b.actions = append(b.actions, action)
}

// giveUp ends an attempt that no upstream takes. The caller is refused at once
// with its last copy; before that, the next copy may still be taken.
func (b *Balancer) giveUp(now hickorymodel.Instant, p *Packet, f *flow, reason Reason) {
	f.tried = triedList{}
	f.owner = hickorymodel.Endpoint{}
	late := now.Before(b.staleUntil) || now.Sub(f.firstAt) < copyTime
	if p.Copy < lastCopy || late {
		b.decide(&Decision{Step: StepWaited, Flow: p.Flow, Copy: p.Copy, Reason: reason})
		return
	}
	b.decide(&Decision{Step: StepRefused, Flow: p.Flow, Copy: p.Copy, Reason: reason})
	b.reset(p)
}

func (b *Balancer) reset(p *Packet) {
	b.actions = append(b.actions, Action{Verb: VerbReset, Flow: p.Flow, Sequence: p.Acknowledged})
}

// refused handles a first packet that an agent sent back.
func (b *Balancer) refused(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, p *Packet) {
	if reason == ReasonBusy {
		b.peer(from).busyUntil = now.Add(busyTime)
	}
	f, known := b.flows[p.Flow]
	if known && (f.owner != from || f.stage != stageOpening) {
		return // a late return; the flow has gone on elsewhere
	}
	route := b.view.Routes[p.Flow.Destination]
	if route == nil {
		b.refuseUnrouted(now, p)
		return
	}
	if !known {
		if f = b.flow(now, p.Flow); f == nil {
			f = &flow{}
		}
		f.sequence = p.Sequence
		f.copies = p.Copy
		f.firstAt = now
	}
	f.tried.add(from)
	if service, ok := target(route, p.Flow); ok && !f.tried.full() {
		if chosen, _ := b.choose(now, p.Flow, service, &f.tried); chosen != nil {
			b.place(now, p, route, f, StepRetried)
			return
		}
	}
	b.giveUp(now, p, f, reason)
}
