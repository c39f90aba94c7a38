package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

const (
	// flowLoad is the share of a slot that an open flow without a pending
	// request is expected to keep busy.
	flowLoad = 0.05
	// localLimit is the load up to which upstreams of the own zone are used
	// without a look at other zones.
	localLimit = 0.75
	// remoteMargin is how much higher the load of the own zone must be, beyond
	// localLimit, before a flow goes to another zone.
	remoteMargin = 0.4
	// rankMargin is how much higher the load of the first ranks may be than the
	// lowest of the zone before a flow goes to another rank: a request of three slots.
	rankMargin = 0.34
	// coldLoad is added to the load of an upstream in cold start.
	coldLoad = 0.5
	// unansweredLife is how long an upstream that left a first packet
	// unanswered is the last choice.
	unansweredLife = 700 * time.Millisecond
	// settleTime is how long an upstream must be known before it gets flows, if
	// others have room: a balancer that does not know it yet would not find them.
	// It is longer than an answer of a store that is 60 times as slow as usual.
	settleTime = 400 * time.Millisecond
	// maxFailingShare is the share of a service's upstreams up to which failing ones
	// are passed over.
	maxFailingShare = 0.34
	// tieLoad bounds the random number that separates equal loads.
	tieLoad = 0.02
)

// candidate is the best upstream of one class.
type candidate struct {
	peer *peer
	cost float64
}

func (c *candidate) offer(p *peer, cost float64) {
	if c.peer == nil || cost < c.cost {
		c.peer = p
		c.cost = cost
	}
}

// choose returns the upstream for a new flow and its load, or nil when none
// that was not tried takes new flows. It takes the least loaded of the first
// ranks of the own zone, so that other balancers know where to search first.
// Upstreams that look dead are used only when no other is left.
func (b *Balancer) choose(now hickorymodel.Instant, key hickorymodel.FlowKey, service hickorydirectory.ServiceHash, tried *triedList) (*peer, float64) {
	avoidFailing := b.avoidsFailing(now, service)
	var local, remote, fresh, doubtful candidate
	var ranks topRanks
	hash := key.Hash()
	for _, p := range b.services[service] {
		if !p.upstream.Accepting || now.Before(p.busyUntil) || tried.has(p.endpoint) {
			continue
		}
		cost := b.cost(now, p)
		switch {
		case b.doubts(now, p) || (avoidFailing && p.failing(now)):
			doubtful.offer(p, cost)
		case now.Sub(p.listedAt) < settleTime:
			fresh.offer(p, cost)
		case p.upstream.Zone == b.zone:
			local.offer(p, cost)
			ranks.add(p, p.rank(hash))
		default:
			remote.offer(p, cost)
		}
	}
	first := b.least(now, &ranks)
	near := local.peer != nil && (remote.peer == nil || local.cost <= localLimit || local.cost <= remote.cost+remoteMargin)
	switch {
	case first.peer != nil && (first.cost <= localLimit || (near && first.cost <= local.cost+rankMargin)):
		return first.peer, first.cost
	case near:
		return local.peer, local.cost
	case remote.peer != nil:
		return remote.peer, remote.cost
	case fresh.peer != nil:
		return fresh.peer, fresh.cost
	default:
		return doubtful.peer, doubtful.cost
	}
}

// cost returns the load of an upstream with what speaks against it.
func (b *Balancer) cost(now hickorymodel.Instant, p *peer) float64 {
	cost := p.load() + tieLoad*b.random.Float64()
	if p.cold(now) {
		cost += coldLoad
	}
	return cost
}

// least returns the least loaded upstream of the first ranks.
func (b *Balancer) least(now hickorymodel.Instant, ranks *topRanks) candidate {
	var best candidate
	for _, p := range ranks.peers[:ranks.count] {
		best.offer(p, b.cost(now, p))
	}
	return best
}

// avoidsFailing reports whether upstreams that fail requests are passed over. When
// many of a service fail, the others could not bear their load.
func (b *Balancer) avoidsFailing(now hickorymodel.Instant, service hickorydirectory.ServiceHash) bool {
	accepting, failing := 0, 0
	for _, p := range b.services[service] {
		if !p.upstream.Accepting {
			continue
		}
		accepting++
		if p.failing(now) {
			failing++
		}
	}
	return failing > 0 && float64(failing) <= maxFailingShare*float64(accepting)
}

// doubts reports whether an upstream or its agent may not answer.
func (b *Balancer) doubts(now hickorymodel.Instant, p *peer) bool {
	unanswered := p.unansweredAt != 0 && now.Sub(p.unansweredAt) < unansweredLife
	return p.silent || p.refuses(now) || unanswered
}

// target returns the service of a new flow. It depends on the flow alone, so
// that copies of a first packet go to the same service.
func target(route *hickorydirectory.Route, flow hickorymodel.FlowKey) (hickorydirectory.ServiceHash, bool) {
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
