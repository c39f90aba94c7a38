package hickorysteering

import (
	"slices"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// handleData sends a packet of an open flow to its owner, or searches for the
// owner.
func (b *Balancer) handleData(now hickorymodel.Instant, p *Packet) {
	f, known := b.flows[p.Flow]
	if known {
		f.seenAt = now
	}
	if known && !f.owner.IsZero() {
		b.sendData(p.Bytes, b.peer(f.owner))
		return
	}
	b.search(now, p, hickorymodel.Endpoint{})
}

// sendData sends a packet of an open flow to an agent, which need not answer it
// with a frame.
func (b *Balancer) sendData(packet []byte, to *peer) {
	b.actions = append(b.actions, frameAction(to.endpoint, KindData, ReasonNone, packet))
}

// HandleReturn decides on a packet that an agent has returned.
func (b *Balancer) HandleReturn(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, p *Packet) []Action {
	b.actions = b.actions[:0]
	b.recordFrame(now, from)
	if p.First {
		b.handleReturnedFirst(now, from, reason, p)
	} else {
		b.handleReturnedData(now, from, reason, p)
	}
	b.sendQueries(now)
	return b.actions
}

// handleReturnedData handles a packet of an open flow that an agent has returned.
func (b *Balancer) handleReturnedData(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, p *Packet) {
	f, known := b.flows[p.Flow]
	wasOpen := known && f.owner == from && f.stage == stageOpen
	if reason == ReasonEnded || wasOpen {
		b.endLostFlow(from, reason, p)
		return
	}
	if known && f.owner == from {
		f.owner = hickorymodel.Endpoint{}
		f.stage = stageOpening
	}
	if known && !f.owner.IsZero() {
		b.sendData(p.Bytes, b.peer(f.owner))
		return
	}
	b.recordNotHeld(now, from, p)
}

// endLostFlow resets a flow that no upstream holds any more, so that the caller
// does not wait for answers.
func (b *Balancer) endLostFlow(from hickorymodel.Endpoint, reason Reason, p *Packet) {
	delete(b.flows, p.Flow)
	if s, ok := b.searches[p.Flow]; ok {
		b.endSearch(p.Flow, s)
	}
	b.recordDecision(&Decision{Step: StepLost, Flow: p.Flow, Peer: from, Reason: reason})
	b.sendReset(p)
}

// possibleOwners returns the agents that may own a flow, in the rounds in which a
// search asks them: the first ranks of the own zone, the first ranks of other
// zones, the rest of the own zone, the rest of the other zones.
func (b *Balancer) possibleOwners(now hickorymodel.Instant, key hickorymodel.FlowKey, except hickorymodel.Endpoint) [][]hickorymodel.Endpoint {
	var near, far []hickorymodel.Endpoint
	route := b.view.Routes[key.Destination]
	for endpoint, p := range b.peers {
		mayOwn := p.mayHoldFlows(now, key.Destination) || serves(route, p)
		if endpoint == except || !mayOwn || p.agentEnded(now) {
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
