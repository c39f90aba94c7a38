package hickoryconfig

import (
	"math/rand/v2"
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// viewSize is the number of peers with which a balancer exchanges digests; it
	// equals the number of connections that the RPC client keeps, so that an
	// exchange does not cost a new connection.
	viewSize = 16
	// viewInterval is the time after which one peer of the view is replaced.
	viewInterval = 2 * time.Second
)

// view is a small random choice of the list, half of it from the own region.
type view struct {
	peers     []Peer
	replaceAt hickorymodel.Instant
}

// refresh drops peers that are no longer listed, fills the view up and replaces
// one peer from time to time.
func (v *view) refresh(now hickorymodel.Instant, self Identity, list *Listing, random *rand.Rand) {
	v.peers = slices.DeleteFunc(v.peers, func(peer Peer) bool {
		listed, ok := list.find(peer.ID)
		return !ok || listed != peer
	})
	if now >= v.replaceAt && len(v.peers) > 0 && len(list.balancers) > len(v.peers) {
		v.replaceAt = now.Add(viewInterval)
		index := random.IntN(len(v.peers))
		v.peers = slices.Delete(v.peers, index, index+1)
	}
	size := min(viewSize, len(list.balancers))
	for attempt := 0; len(v.peers) < size && attempt < 4*viewSize; attempt++ {
		peer := list.balancers[random.IntN(len(list.balancers))]
		needLocal := 2*v.local(self) < len(v.peers) && attempt < 2*viewSize
		if needLocal && peer.Region != self.Region || slices.Contains(v.peers, peer) {
			continue
		}
		v.peers = append(v.peers, peer)
	}
}

func (v *view) local(self Identity) int {
	count := 0
	for _, peer := range v.peers {
		if peer.Region == self.Region {
			count++
		}
	}
	return count
}

// drop removes a peer that did not answer.
func (v *view) drop(endpoint hickoryid.Endpoint) {
	v.peers = slices.DeleteFunc(v.peers, func(peer Peer) bool { return peer.Control == endpoint })
}

// pick returns a random peer; localOnly asks for one of the own region.
func (v *view) pick(self Identity, localOnly bool, random *rand.Rand) (Peer, bool) {
	if len(v.peers) == 0 {
		return Peer{}, false
	}
	first := random.IntN(len(v.peers))
	for i := range v.peers {
		peer := v.peers[(first+i)%len(v.peers)]
		if !localOnly || peer.Region == self.Region {
			return peer, true
		}
	}
	return Peer{}, false
}
