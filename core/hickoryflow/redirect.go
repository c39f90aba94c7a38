package hickoryflow

import "hickoryworks/core/hickorymodel"

// redirect passes a packet to the agent that is believed to own its flow. A
// packet that may be new does not follow an entry to a suspected or silent
// owner without asking, since the entry would keep the caller out for its whole lifetime.
func (t *Tracker) redirect(now hickorymodel.Instant, p *Packet, owner hickorymodel.Endpoint) {
	inList := p.Candidates.Index(owner) >= 0
	if p.mayBeNew() && inList && (p.Candidates.IsSuspected(owner) || t.isUnheard(now, owner)) {
		t.claim(now, p)
		return
	}
	// Entries that lead to each other form a loop, in which no agent owns the
	// flow. Without its entry, this agent decides about the next packet.
	if p.Hops >= MaxHops {
		t.redirects.remove(p.Key)
		t.askers.remove(p.Key)
	}
	t.followRedirect(p, owner)
}

// believedOwner returns the agent that probably owns a flow. An agent that asked
// for the owner counts, because a balancer with an older table may send a packet
// here whose list does not name that agent.
func (t *Tracker) believedOwner(now hickorymodel.Instant, key hickorymodel.FlowKey) (hickorymodel.Endpoint, bool) {
	if owner, ok := t.redirects.find(now, key); ok {
		return owner, true
	}
	return t.askers.find(now, key)
}

// ownerFor returns the agent to pass a packet on to. For an offered packet an
// agent that has asked does not count: it is the home, which has passed the flow
// on, and the agents that it was offered to would send the packet in a loop.
func (t *Tracker) ownerFor(now hickorymodel.Instant, p *Packet) (hickorymodel.Endpoint, bool) {
	if p.Flags.Has(FlagOffered) {
		return t.redirects.find(now, p.Key)
	}
	return t.believedOwner(now, p.Key)
}
