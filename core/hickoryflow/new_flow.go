package hickoryflow

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// decideNew handles the first packet of a new flow at its home.
func (t *Tracker) decideNew(now hickorymodel.Instant, p *Packet) {
	t.gate.CreditForwards()
	if position, ok := t.peers.LessLoaded(now, t.gate.Load().Flows, &p.Candidates, t.self); ok && t.gate.TryBalance() {
		t.offer(now, p, position)
		return
	}
	if t.accept(now, p) {
		return
	}
	t.passOn(now, p, -1)
}

// takeOffer handles the first packet of a flow that another agent offers.
func (t *Tracker) takeOffer(now hickorymodel.Instant, p *Packet) {
	if t.accept(now, p) {
		return
	}
	t.passOn(now, p, p.Position)
}

// accept makes the agent the owner, when the upstream can bear the flow, and
// reports whether the packet needs no further decision.
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
		falls:        t.gate.ColdResets(),
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

// passOn offers a flow that the own upstream can't take to a candidate after
// the given position.
func (t *Tracker) passOn(now hickorymodel.Instant, p *Packet, after int) {
	position, ok := t.peers.WithRoom(now, after, &p.Candidates, t.self)
	if !ok || !t.mayPassOn(now, p.Candidates[position].Endpoint) {
		t.drop(p, hickorymessage.DropReasonOverloaded)
		return
	}
	t.offer(now, p, position)
}

func (t *Tracker) mayPassOn(now hickorymodel.Instant, target hickorymodel.Endpoint) bool {
	if load, known := t.peers.Load(now, target); known && t.gate.TryForwardToWarm(load) {
		return true
	}
	return t.gate.TryForward()
}

// offer sends the first packet to another candidate and remembers it, so that
// a repeated first packet goes the same way.
func (t *Tracker) offer(now hickorymodel.Instant, p *Packet, position int) {
	target := p.Candidates[position].Endpoint
	t.redirects.put(now, p.Key, target)
	t.peers.AddFlow(target)
	p.OfferLoad = t.gate.Load().Flows
	t.forward(p, target, FlagOffered)
}

// followRedirect sends a packet to the owner of its flow. A repeated first
// packet may be one that the target has refused, so it is charged like an offer.
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
