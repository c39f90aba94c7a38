package hickorysteering

import (
	"math/rand/v2"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

const (
	// flowLoad is the load, as a share of a slot, that an open flow without a
	// pending request adds.
	flowLoad = 0.05
	// localLoadLimit is the load up to which upstreams of the balancer's own zone
	// are chosen without regard to other zones.
	localLoadLimit = 0.75
	// remoteMargin is how much higher the load of the own zone must be than that of
	// another zone before a flow goes there. It applies above localLoadLimit.
	remoteMargin = 0.4
	// rankMargin is how much higher the load of the first ranks may be than the
	// lowest of the zone before a flow goes to another rank: the load of one request
	// at an upstream of three slots.
	rankMargin = 0.34
	// coldLoad is added to the load of an upstream in a cold start.
	coldLoad = 0.5
	// unansweredLife is how long an upstream is chosen only as a last resort after
	// it has left a first packet unanswered.
	unansweredLife = 700 * time.Millisecond
	// settleTime is how long an upstream must have been listed before it gets
	// flows, if others have room. A balancer that has not read its entry yet could
	// not find the owner of such flows. The time is longer than a store takes to
	// answer when it is 60 times as slow as usual.
	settleTime = 400 * time.Millisecond
	// maxTieBreak bounds the random number that is added to a load so that equal
	// loads are chosen equally often.
	maxTieBreak = 0.02
)

// choice is the upstream with the lowest cost of one class.
type choice struct {
	peer *peer
	cost float64
}

func (c *choice) consider(p *peer, cost float64) {
	if c.peer == nil || cost < c.cost {
		c.peer = p
		c.cost = cost
	}
}

// chooseByCount returns the upstream for a new flow and its cost, or nil when no upstream
// that was not tried takes new flows. It prefers the first ranks of the own zone, so that
// other balancers can predict where to search for the owner first. Upstreams that may not
// answer or that the flow avoids are chosen only when no other is left. Random breaks
// ties; if it is nil, ties go by the order of the view.
func (b *Balancer) chooseByCount(now hickorymodel.Instant, key hickorymodel.FlowKey, service hickorydirectory.ServiceHash, tried *triedList, random *rand.Rand) (*peer, float64) {
	hash := key.Hash()
	avoidance := b.avoidance(now, key.Destination, hash, service, random)
	var local, remote, unsettled, lastResort choice
	var ranks topRanks
	for _, p := range b.services[service] {
		if !p.upstream.Accepting || now.Before(p.busyUntil) || tried.has(p.endpoint) {
			continue
		}
		cost := b.cost(now, p, random)
		switch {
		case b.mayNotAnswer(now, p) || avoidance.avoids(p.standing(now)):
			lastResort.consider(p, cost)
		case now.Before(p.settledAt):
			unsettled.consider(p, cost)
		case p.upstream.Zone == b.zone:
			local.consider(p, cost)
			ranks.add(p, p.rank(hash))
		default:
			remote.consider(p, cost)
		}
	}
	bestRanked := b.leastLoaded(now, &ranks, random)
	preferLocal := local.peer != nil && (remote.peer == nil || local.cost <= localLoadLimit || local.cost <= remote.cost+remoteMargin)
	switch {
	case bestRanked.peer != nil && (bestRanked.cost <= localLoadLimit || (preferLocal && bestRanked.cost <= local.cost+rankMargin)):
		return bestRanked.peer, bestRanked.cost
	case preferLocal:
		return local.peer, local.cost
	case remote.peer != nil:
		return remote.peer, remote.cost
	case unsettled.peer != nil:
		return unsettled.peer, unsettled.cost
	default:
		return lastResort.peer, lastResort.cost
	}
}

// chooseBusy returns the upstream with the lowest cost among those that had no room a
// moment ago, or nil if there is none.
func (b *Balancer) chooseBusy(now hickorymodel.Instant, service hickorydirectory.ServiceHash) (*peer, float64) {
	var best choice
	for _, p := range b.services[service] {
		if p.upstream.Accepting && now.Before(p.busyUntil) {
			best.consider(p, b.cost(now, p, b.random))
		}
	}
	return best.peer, best.cost
}

// cost returns the load of an upstream, increased during its cold start, while it is
// not in good standing, and while its agent has not been heard.
func (b *Balancer) cost(now hickorymodel.Instant, p *peer, random *rand.Rand) float64 {
	cost := p.load() + p.lineLoad(now) + b.standingLoad(now, p)
	if random != nil {
		cost += maxTieBreak * random.Float64()
	}
	if p.cold(now) {
		cost += coldLoad
	}
	if p.unheard() {
		cost += unheardLoad
	}
	return cost
}

// leastLoaded returns the least loaded upstream of the first ranks.
func (b *Balancer) leastLoaded(now hickorymodel.Instant, ranks *topRanks, random *rand.Rand) choice {
	var best choice
	for _, p := range ranks.peers[:ranks.count] {
		best.consider(p, b.cost(now, p, random))
	}
	return best
}

// mayNotAnswer reports whether there is a sign that an upstream or its agent does
// not answer first packets.
func (b *Balancer) mayNotAnswer(now hickorymodel.Instant, p *peer) bool {
	unanswered := p.firstPacketUnansweredAt != 0 && now.Sub(p.firstPacketUnansweredAt) < unansweredLife
	return p.silent || p.refusesFlows(now) || unanswered || p.leavesHellos(now)
}

// chooseService returns the service of a new flow. It depends on the flow alone, so
// that copies of a first packet go to the same service.
func chooseService(route *hickorydirectory.Route, flow hickorymodel.FlowKey) (hickorydirectory.ServiceHash, bool) {
	if route.WeightSum == 0 {
		return 0, false
	}
	point := int(flow.Hash() % uint64(route.WeightSum))
	for _, t := range route.Targets {
		if point < t.Weight {
			return t.Service, true
		}
		point -= t.Weight
	}
	return 0, false
}
