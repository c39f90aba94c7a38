package hickorysteering

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hickoryworks/core/hickorymodel"
)

const (
	// firstRanks is the number of upstreams per zone among which a new flow is
	// placed by load. Three give nearly the balance of all, and a search that asks
	// them first finds nearly every flow.
	firstRanks = 3
	// rankMultiplier is an odd constant with an irregular bit pattern (2^64 divided
	// by the golden ratio).
	rankMultiplier = 0x9e3779b97f4a7c15
)

// rank returns the rendezvous hash of an agent and a flow; agents are ordered by
// it, highest first. All balancers compute the same order, and agents that come or
// go do not change the order of the others.
func (p *peer) rank(flowHash uint64) uint64 {
	high, low := bits.Mul64(flowHash^p.hash, rankMultiplier)
	return high ^ low
}

// hashEndpoint returns the agent's part of the rank hash.
func hashEndpoint(endpoint hickorymodel.Endpoint) uint64 {
	data := [6]byte{endpoint.Address[0], endpoint.Address[1], endpoint.Address[2], endpoint.Address[3], byte(endpoint.Port >> 8), byte(endpoint.Port)}
	return xxhash.Sum64(data[:])
}

// topRanks collects the firstRanks agents with the highest ranks, in order.
type topRanks struct {
	peers [firstRanks]*peer
	ranks [firstRanks]uint64
	count int
}

func (t *topRanks) add(p *peer, rank uint64) {
	i := t.count
	if i == firstRanks {
		if rank <= t.ranks[firstRanks-1] {
			return
		}
		i--
	} else {
		t.count++
	}
	for ; i > 0 && rank > t.ranks[i-1]; i-- {
		t.peers[i], t.ranks[i] = t.peers[i-1], t.ranks[i-1]
	}
	t.peers[i], t.ranks[i] = p, rank
}

// sortByRank sorts agents by their rank for a flow, highest first.
func (b *Balancer) sortByRank(endpoints []hickorymodel.Endpoint, flowHash uint64) {
	slices.SortFunc(endpoints, func(x, y hickorymodel.Endpoint) int {
		first, second := b.peers[x].rank(flowHash), b.peers[y].rank(flowHash)
		switch {
		case first > second:
			return -1
		case first < second:
			return 1
		default:
			return x.Compare(y)
		}
	})
}
