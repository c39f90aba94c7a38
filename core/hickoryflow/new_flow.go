package hickoryflow

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// decideNew accepts a new flow at its home, offers it to another candidate, or
// drops its first packet when no upstream can take it.
func (t *Tracker) decideNew(now hickorymodel.Instant, p *Packet) {
	if t.released.contains(now, p.Key) {
		// The upstream may have received the first packet before the pause.
		if !t.accept(now, p) {
			t.drop(p, hickorymessage.DropReasonOverloaded)
		}
		return
	}
	t.gate.CreditForwards()
	if position, ok := t.peers.LessLoaded(now, t.gate.Load().Flows, &p.Candidates, t.self); ok && t.gate.TryBalance() {
		t.offer(now, p, position)
		return
	}
	if t.accept(now, p) {
		return
	}
	t.offerElsewhere(now, p, -1)
}

// handleOffer handles the first packet of a flow that another agent offers.
func (t *Tracker) handleOffer(now hickorymodel.Instant, p *Packet) {
	if t.accept(now, p) {
		return
	}
	t.offerElsewhere(now, p, p.Position)
}

// accept makes this agent the owner if the gate has room for the flow. It
// reports whether the packet has been handled, which includes a drop because
// the flow table is full.
func (t *Tracker) accept(now hickorymodel.Instant, p *Packet) bool {
	if !t.gate.HasRoom() {
		return false
	}
	r := record{
		key:          p.Key,
		lastSeen:     now,
		openedAt:     now,
		certainSince: now.Add(-p.Certainty),
		registerAt:   now,
		state:        flowOpening,
		coldResets:   t.gate.ColdResets(),
	}
	if !t.flows.insert(r) {
		t.drop(p, hickorymessage.DropReasonFlowTableFull)
		return true
	}
	t.gate.TryOpen(now)
	t.openings.push(p.Key, now)
	t.redirects.remove(p.Key)
	t.deliver(p, &r)
	return true
}

// offerElsewhere offers a flow that this agent's upstream cannot take to a
// candidate after the given position.
func (t *Tracker) offerElsewhere(now hickorymodel.Instant, p *Packet, after int) {
	position, ok := t.peers.WithRoom(now, after, &p.Candidates, t.self)
	if !ok || !t.tryForward(now, p.Candidates[position].Endpoint) {
		t.drop(p, hickorymessage.DropReasonOverloaded)
		return
	}
	t.offer(now, p, position)
}

// tryForward takes one forward to the target from the gate's budgets, and
// reports whether there was one.
func (t *Tracker) tryForward(now hickorymodel.Instant, target hickorymodel.Endpoint) bool {
	if load, known := t.peers.Load(now, target); known && t.gate.TryForwardToWarm(load) {
		return true
	}
	return t.gate.TryForward()
}

// offer sends the first packet to another candidate and stores that candidate
// as the owner, so that a retransmitted first packet takes the same path.
func (t *Tracker) offer(now hickorymodel.Instant, p *Packet, position int) {
	target := p.Candidates[position].Endpoint
	t.redirects.put(now, p.Key, target)
	t.offers.put(now, p.Key, target)
	t.peers.AddFlow(target)
	p.OfferLoad = t.gate.Load().Flows
	t.forward(p, target, FlagOffered)
}

// followRedirect sends a packet to the owner of its flow. A retransmitted first
// packet may be one that the target has refused, so it uses the overload budget
// like an offer.
func (t *Tracker) followRedirect(p *Packet, owner hickorymodel.Endpoint) {
	if p.First {
		t.gate.CreditForwards()
		if !t.gate.TryForward() {
			t.drop(p, hickorymessage.DropReasonOverloaded)
			return
		}
	}
	t.forward(p, owner, FlagRedirected)
}
