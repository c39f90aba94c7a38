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
	// urgentCallInterval is the time between two calls to other balancers while the
	// state is not complete or the store does not answer.
	urgentCallInterval = 400 * time.Millisecond
	// normalCallInterval is the time between two calls otherwise. These calls keep
	// the list of balancers up to date.
	normalCallInterval = 5 * time.Second
	// peerTimeout is how long a balancer stays in the list without contact.
	peerTimeout = time.Minute
	// maxPeers bounds the balancers in the list, not counting seeds.
	maxPeers = 32
)

// Peers decides which other balancer to request the state from, and when. It is not
// safe for concurrent use; one goroutine owns it.
type Peers struct {
	self   hickoryid.Endpoint
	random *rand.Rand
	// seeds may be called at any time, also without contact.
	seeds []hickoryid.Endpoint
	// lastContact has at most maxPeers entries.
	lastContact map[hickoryid.Endpoint]hickorymodel.Instant
	lastCallAt  hickorymodel.Instant
}

// NewPeers returns the list of other balancers of self. It starts with the seeds.
func NewPeers(self hickoryid.Endpoint, seeds []hickoryid.Endpoint, random *rand.Rand) *Peers {
	p := &Peers{self: self, random: random, lastContact: map[hickoryid.Endpoint]hickorymodel.Instant{}}
	p.SetSeeds(seeds)
	return p
}

// SetSeeds replaces the seeds; self is left out.
func (p *Peers) SetSeeds(seeds []hickoryid.Endpoint) {
	p.seeds = slices.DeleteFunc(slices.Clone(seeds), func(seed hickoryid.Endpoint) bool { return seed == p.self })
}

// RecordContact records that a balancer has called or answered.
func (p *Peers) RecordContact(now hickorymodel.Instant, peer hickoryid.Endpoint) {
	if peer == p.self {
		return
	}
	if _, known := p.lastContact[peer]; known || len(p.lastContact) < maxPeers {
		p.lastContact[peer] = now
	}
}

// AddPeers adds balancers from the list of another balancer, as if they had made
// contact now.
func (p *Peers) AddPeers(now hickorymodel.Instant, peers []hickoryid.Endpoint) {
	for _, peer := range peers {
		if _, known := p.lastContact[peer]; !known {
			p.RecordContact(now, peer)
		}
	}
}

// RecordFailure removes a balancer that has not answered.
func (p *Peers) RecordFailure(peer hickoryid.Endpoint) {
	delete(p.lastContact, peer)
}

// List returns the balancers by their last contact, most recent first.
func (p *Peers) List() []hickoryid.Endpoint {
	list := make([]hickoryid.Endpoint, 0, len(p.lastContact))
	for peer := range p.lastContact {
		list = append(list, peer)
	}
	slices.SortFunc(list, func(a, b hickoryid.Endpoint) int {
		return cmp.Or(cmp.Compare(p.lastContact[b], p.lastContact[a]), cmp.Compare(a, b))
	})
	return list
}

// Next returns the balancer to call now and true if a call is due.
func (p *Peers) Next(now hickorymodel.Instant, urgent bool) (hickoryid.Endpoint, bool) {
	interval := normalCallInterval
	if urgent {
		interval = urgentCallInterval
	}
	if p.lastCallAt != 0 && now.Sub(p.lastCallAt) < interval {
		return "", false
	}
	for peer, at := range p.lastContact {
		if now.Sub(at) > peerTimeout {
			delete(p.lastContact, peer)
		}
	}
	peers := p.List()
	for _, seed := range p.seeds {
		if !slices.Contains(peers, seed) {
			peers = append(peers, seed)
		}
	}
	if len(peers) == 0 {
		return "", false
	}
	p.lastCallAt = now
	return peers[p.random.IntN(len(peers))], true
}
