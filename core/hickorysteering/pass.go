package hickorysteering

import (
	"slices"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// pass sends a packet of an open flow to its owner, or searches for the owner.
func (b *Balancer) pass(now hickorymodel.Instant, p *Packet) {
	f, known := b.flows[p.Flow]
	if known {
		f.seenAt = now
	}
	if known && !f.owner.IsZero() {
		b.send(p.Bytes, b.peer(f.owner))
		return
	}
	b.search(now, p, hickorymodel.Endpoint{})
}

// send sends a packet to an agent, which need not answer with a frame.
func (b *Balancer) send(packet []byte, to *peer) {
	b.actions = append(b.actions, frame(to.endpoint, KindData, ReasonNone, packet))
}

// HandleReturn decides on a packet that an agent sent back.
func (b *Balancer) HandleReturn(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, p *Packet) []Action {
	b.actions = b.actions[:0]
	b.heard(now, from)
	if p.First {
		b.refused(now, from, reason, p)
	} else {
		b.returned(now, from, reason, p)
	}
	b.sendQueries(now)
	return b.actions
}

// returned handles a packet of an open flow that an agent sent back.
func (b *Balancer) returned(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, p *Packet) {
	f, known := b.flows[p.Flow]
	held := known && f.owner == from && f.stage == stageOpen
	if reason == ReasonEnded || held {
		b.lose(from, reason, p)
		return
	}
	if known && f.owner == from {
		f.owner = hickorymodel.Endpoint{}
		f.stage = stageOpening
	}
	if known && !f.owner.IsZero() {
		b.send(p.Bytes, b.peer(f.owner))
		return
	}
	b.missed(now, from, p)
}

// lose ends a flow that its upstream held and holds no more, so that the caller
// need not wait for answers.
func (b *Balancer) lose(from hickorymodel.Endpoint, reason Reason, p *Packet) {
	delete(b.flows, p.Flow)
	if s, ok := b.searches[p.Flow]; ok {
		b.endSearch(p.Flow, s)
	}
	b.decide(&Decision{Step: StepLost, Flow: p.Flow, Peer: from, Reason: reason})
	b.reset(p)
}

// holders returns the agents that may hold a flow, in the order in which they
// are asked: the first ranks of the own zone, those of other zones, the rest of
// the own zone, the rest.
func (b *Balancer) holders(now hickorymodel.Instant, key hickorymodel.FlowKey, except hickorymodel.Endpoint) [][]hickorymodel.Endpoint {
	var near, far []hickorymodel.Endpoint
	route := b.view.Routes[key.Destination]
	for endpoint, p := range b.peers {
		mayHold := p.holds(now, key.Destination) || serves(route, p)
		if endpoint == except || !mayHold || p.gone() {
			continue
		}
		if p.listed && p.upstream.Zone == b.zone {
			near = append(near, endpoint)
		} else {
			far = append(far, endpoint)
		}
	}
	hash := key.Hash()
	b.sortByRank(near, hash)
	b.sortByRank(far, hash)
	nearFirst, farFirst := min(firstRanks, len(near)), min(firstRanks, len(far))
	rounds := [][]hickorymodel.Endpoint{near[:nearFirst], far[:farFirst], near[nearFirst:], far[farFirst:]}
	return slices.DeleteFunc(rounds, func(round []hickorymodel.Endpoint) bool { return len(round) == 0 })
}

// serves reports whether an agent's upstream belongs to a service of the route.
func serves(route *hickorydirectory.Route, p *peer) bool {
	if route == nil || !p.listed {
		return false
	}
	for _, t := range route.Targets {
		if t.Service == p.upstream.Service {
			return true
		}
	}
	return false
}
