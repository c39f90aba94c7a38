package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// lineLife is how long the length of an agent's line is taken into account: one report
// interval. Lines of a few packets are gone by then.
const lineLife = reportInterval

// attemptsWithoutWait is the number of upstreams that are tried for a first packet before
// it waits at one. If none of them has room, the others hardly have more.
const attemptsWithoutWait = 2

// waitingPlace returns the agent at which a first packet waits, or nil if it does not
// have to wait yet. It is the first rank of the own zone, so that copies through other
// balancers of the zone meet the packet there instead of waiting at a second agent, and
// searches ask the owner of the flow first. Copies go there at once, and so does a packet
// for which no other upstream is left, that is, chosen is nil. Only such a packet waits at
// an upstream that the flow avoids or that is new, and only if there is no other.
func (b *Balancer) waitingPlace(now hickorymodel.Instant, p *Packet, route *hickorydirectory.Route, f *flow, service hickorydirectory.ServiceHash, chosen *peer) *peer {
	// A choice by work ends at the best of the agents that have returned the packet.
	due := p.Copy > 0 || (!f.byWork && f.tried.count >= attemptsWithoutWait) || chosen == nil
	if route.TargetLatency == 0 || f.placed || !due {
		return nil
	}
	var place *peer
	var placeRank uint64
	placeAvoided := true
	hash := p.Flow.Hash()
	avoidance := b.avoidance(now, p.Flow.Destination, hash, service, nil) // the same at all balancers
	for _, candidate := range b.services[service] {
		if !b.mayWaitAt(now, candidate) || f.unreturned.has(candidate.endpoint) {
			continue
		}
		avoided := avoidance.avoids(candidate.standing(now)) || now.Before(candidate.settledAt)
		if avoided && (chosen != nil || !placeAvoided) {
			continue
		}
		if rank := candidate.rank(hash); place == nil || avoided != placeAvoided || rank > placeRank {
			place, placeRank, placeAvoided = candidate, rank, avoided
		}
	}
	return place
}

// mayWaitAt reports whether first packets may wait at an agent.
func (b *Balancer) mayWaitAt(now hickorymodel.Instant, p *peer) bool {
	usable := p.upstream.Accepting && p.upstream.Zone == b.zone && p.features.Has(FeatureTerms|FeatureLine)
	return usable && !b.mayNotAnswer(now, p)
}

// recordWaiting records that the first packet of a flow waits at an agent.
func (b *Balancer) recordWaiting(from hickorymodel.Endpoint, key hickorymodel.FlowKey) {
	f, known := b.flows[key]
	if known && f.owner == from && f.stage == stageOpening {
		f.waiting = true
	}
}

// sendToLine sends a further copy of a first packet to the agent at which the packet
// waits, and reports whether it has. If the agent has not confirmed since the last copy
// that the packet waits, it may have ended, and the copy goes to another one.
func (b *Balancer) sendToLine(now hickorymodel.Instant, p *Packet, f *flow) bool {
	owner := b.peer(f.owner)
	if !f.waiting || owner.silent || owner.refusesFlows(now) || !b.mayOpenAt(p, owner) {
		return false
	}
	f.waiting = false
	f.complete = f.complete && p.Copy <= f.copies+1
	f.copies = p.Copy
	f.copiedAt = now
	b.sendFirstPacket(now, p, f, owner)
	return true
}

// copyDelay is how much later than expected a balancer may get a packet, so that the caller
// is ahead of the age that the balancer knows.
const copyDelay = 100 * time.Millisecond

// copySentElsewhere reports whether the caller may have sent a further copy of the first
// packet, which then went through another balancer: the flow may be open at an upstream
// that this one has not sent it to.
func (f *flow) copySentElsewhere(now hickorymodel.Instant) bool {
	if f.copies >= lastCopy {
		return false
	}
	age := copyAges[f.copies] + now.Sub(f.copiedAt)
	return age >= copyAges[f.copies+1]-copyDelay
}

// mayOpenAt reports whether a flow may still open at an upstream to which its first packet
// was sent: neither the upstream nor its zone is leaving, and the route has not changed.
func (b *Balancer) mayOpenAt(p *Packet, at *peer) bool {
	route := b.view.Routes[p.Flow.Destination]
	if route == nil || !at.listed || !at.upstream.Accepting {
		return false
	}
	service, ok := chooseService(route, p.Flow)
	return ok && service == at.upstream.Service
}

// endHopeless ends an attempt whose caller will have given up before any upstream could
// answer. The caller gets a reset if no upstream can hold the flow.
func (b *Balancer) endHopeless(now hickorymodel.Instant, p *Packet, f *flow) {
	f.tried = triedList{}
	f.owner = hickorymodel.Endpoint{}
	f.waiting = false
	f.refused = !now.Before(b.staleUntil) && !f.copySentElsewhere(now)
	if !f.refused || !f.unheld() {
		b.recordDecision(&Decision{Step: StepWaited, Flow: p.Flow, Copy: p.Copy, Reason: ReasonLate})
		return
	}
	b.recordDecision(&Decision{Step: StepRefused, Flow: p.Flow, Copy: p.Copy, Reason: ReasonLate})
	b.sendReset(p)
}

// lineLoad returns the load of the first packets that wait at the agent, in requests per
// slot.
func (p *peer) lineLoad(now hickorymodel.Instant) float64 {
	if p.work.Line == 0 || now.Sub(p.workAt) > lineLife {
		return 0
	}
	return float64(p.work.Line) / max(float64(p.upstream.Slots), 1)
}
