package hickorydirectory

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// urgentInterval is the time between two calls of other balancers while the
	// state is not known or the store does not answer.
	urgentInterval = 400 * time.Millisecond
	// calmInterval is the time between two calls otherwise; they keep the list
	// of balancers up to date.
	calmInterval = 5 * time.Second
	// peerLife is how long a balancer is remembered that is not heard.
	peerLife = time.Minute
	// maxPeers bounds the balancers that are remembered.
	maxPeers = 32
)

// Peers decides which balancer is asked for its state, and when. One goroutine
// uses it.
type Peers struct {
	self   hickoryid.Endpoint
	random *rand.Rand
	// seeds are asked at any time, even if they are never heard.
	seeds []hickoryid.Endpoint
	// heard has at most maxPeers entries.
	heard   map[hickoryid.Endpoint]hickorymodel.Instant
	askedAt hickorymodel.Instant
}

// NewPeers returns peers that know the seeds only.
func NewPeers(self hickoryid.Endpoint, seeds []hickoryid.Endpoint, random *rand.Rand) *Peers {
	p := &Peers{self: self, random: random, heard: map[hickoryid.Endpoint]hickorymodel.Instant{}}
	p.SetSeeds(seeds)
	return p
}

// SetSeeds replaces the seeds.
func (p *Peers) SetSeeds(seeds []hickoryid.Endpoint) {
	p.seeds = slices.DeleteFunc(slices.Clone(seeds), func(seed hickoryid.Endpoint) bool { return seed == p.self })
}

// RecordContact notes a sign of life of a balancer.
func (p *Peers) RecordContact(now hickorymodel.Instant, peer hickoryid.Endpoint) {
	if peer == p.self {
		return
	}
	if _, known := p.heard[peer]; known || len(p.heard) < maxPeers {
		p.heard[peer] = now
	}
}

// AddPeers takes balancers that another one has heard.
func (p *Peers) AddPeers(now hickorymodel.Instant, peers []hickoryid.Endpoint) {
	for _, peer := range peers {
		if _, known := p.heard[peer]; !known {
			p.RecordContact(now, peer)
		}
	}
}

// RecordFailure forgets a balancer that did not answer.
func (p *Peers) RecordFailure(peer hickoryid.Endpoint) {
	delete(p.heard, peer)
}

// List returns the balancers, the one that was heard last first.
func (p *Peers) List() []hickoryid.Endpoint {
	list := make([]hickoryid.Endpoint, 0, len(p.heard))
	for peer := range p.heard {
		list = append(list, peer)
	}
	slices.SortFunc(list, func(a, b hickoryid.Endpoint) int {
		return cmp.Or(cmp.Compare(p.heard[b], p.heard[a]), cmp.Compare(a, b))
	})
	return list
}

// Next returns the balancer to ask now, if one is due.
func (p *Peers) Next(now hickorymodel.Instant, urgent bool) (hickoryid.Endpoint, bool) {
	interval := calmInterval
	if urgent {
		interval = urgentInterval
	}
	if p.askedAt != 0 && now.Sub(p.askedAt) < interval {
		return "", false
	}
	for peer, at := range p.heard {
		if now.Sub(at) > peerLife {
			delete(p.heard, peer)
		}
	}
	choices := p.List()
	for _, seed := range p.seeds {
		if !slices.Contains(choices, seed) {
			choices = append(choices, seed)
		}
	}
	if len(choices) == 0 {
		return "", false
	}
	p.askedAt = now
	return choices[p.random.IntN(len(choices))], true
}
