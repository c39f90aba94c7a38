package hickoryflow

import "hickoryworks/core/hickorymodel"

// redirect passes a packet to the probable owner of its flow. If that owner is
// a suspected or unheard candidate, a packet that may be the first one starts a
// claim instead, since the redirect entry would otherwise block the caller
// until it expires.
func (t *Tracker) redirect(now hickorymodel.Instant, p *Packet, owner hickorymodel.Endpoint) {
	inList := p.Candidates.Index(owner) >= 0
	if p.mayBeNew() && inList && (p.Candidates.IsSuspected(owner) || t.isUnheard(now, owner)) {
		t.claim(now, p)
		return
	}
	// Redirect entries that point to each other form a loop in which no agent
	// owns the flow. Without its entry, this agent handles the next packet as
	// one with an unknown owner.
	if p.Hops >= MaxHops {
		t.redirects.remove(p.Key)
		t.queriers.remove(p.Key)
	}
	t.followRedirect(p, owner)
}

// likelyOwner returns the agent that probably owns a flow. An agent that has
// sent a query about the flow counts, because a balancer with an older table
// may send a packet here with a list that does not contain that agent.
func (t *Tracker) likelyOwner(now hickorymodel.Instant, key hickorymodel.FlowKey) (hickorymodel.Endpoint, bool) {
	if owner, ok := t.redirects.find(now, key); ok {
		return owner, true
	}
	return t.queriers.find(now, key)
}

// redirectTarget returns the agent to pass a packet on to. For an offered
// packet an agent that has sent a query does not count: it is the home, which
// has offered the flow, and the agents that received the offer would send the
// packet in a loop.
func (t *Tracker) redirectTarget(now hickorymodel.Instant, p *Packet) (hickorymodel.Endpoint, bool) {
	if p.Flags.Has(FlagOffered) {
		return t.redirects.find(now, p.Key)
	}
	return t.likelyOwner(now, p.Key)
}
