package hickoryconfig

import (
	"math/rand/v2"
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// peerSampleSize is the number of peers with which a balancer exchanges digests.
	// It equals the number of connections that the RPC client keeps, so that an
	// exchange does not cost a new connection.
	peerSampleSize = 16
	// peerReplaceInterval is the time after which one peer of the sample is replaced.
	peerReplaceInterval = 2 * time.Second
)

// peerSample is a small random choice of the listed balancers, half of it from the
// region of this instance.
type peerSample struct {
	peers     []Peer
	replaceAt hickorymodel.Instant
}

// refresh drops peers that are no longer listed, replaces one peer every
// peerReplaceInterval and adds others up to peerSampleSize.
func (s *peerSample) refresh(now hickorymodel.Instant, self Identity, list *Listing, random *rand.Rand) {
	s.peers = slices.DeleteFunc(s.peers, func(peer Peer) bool {
		listed, ok := list.findBalancer(peer.ID)
		return !ok || listed != peer
	})
	if now >= s.replaceAt && len(s.peers) > 0 && len(list.balancers) > len(s.peers) {
		s.replaceAt = now.Add(peerReplaceInterval)
		index := random.IntN(len(s.peers))
		s.peers = slices.Delete(s.peers, index, index+1)
	}
	size := min(peerSampleSize, len(list.balancers))
	for attempt := 0; len(s.peers) < size && attempt < 4*peerSampleSize; attempt++ {
		peer := list.balancers[random.IntN(len(list.balancers))]
		needLocal := 2*s.localCount(self) < len(s.peers) && attempt < 2*peerSampleSize
		if needLocal && peer.Region != self.Region || slices.Contains(s.peers, peer) {
			continue
		}
		s.peers = append(s.peers, peer)
	}
}

func (s *peerSample) localCount(self Identity) int {
	count := 0
	for _, peer := range s.peers {
		if peer.Region == self.Region {
			count++
		}
	}
	return count
}

// drop removes a peer that did not answer.
func (s *peerSample) drop(endpoint hickoryid.Endpoint) {
	s.peers = slices.DeleteFunc(s.peers, func(peer Peer) bool { return peer.Control == endpoint })
}

// pick returns a random peer; with localOnly, one of the region of this instance.
func (s *peerSample) pick(self Identity, localOnly bool, random *rand.Rand) (Peer, bool) {
	if len(s.peers) == 0 {
		return Peer{}, false
	}
	first := random.IntN(len(s.peers))
	for i := range s.peers {
		peer := s.peers[(first+i)%len(s.peers)]
		if !localOnly || peer.Region == self.Region {
			return peer, true
		}
	}
	return Peer{}, false
}
