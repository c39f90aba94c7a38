package hickoryring

import (
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// StateFetch is a state request: a call that requests the state of the directory
// of the balancer Peer.
type StateFetch struct {
	Peer    hickoryid.Endpoint
	Request hickorymessage.StateRequest
}

// StateFetchRing carries state requests to the state fetcher, the duty that sends
// them. It holds one. A request that finds the ring full is dropped, since the next
// one is due soon.
type StateFetchRing struct {
	items chan StateFetch
}

// NewStateFetchRing returns an empty ring.
func NewStateFetchRing() *StateFetchRing {
	return &StateFetchRing{items: make(chan StateFetch, 1)}
}

// Items returns the channel to receive from.
func (r *StateFetchRing) Items() <-chan StateFetch {
	return r.items
}

// Put adds a request and reports whether the ring had room.
func (r *StateFetchRing) Put(stateFetch StateFetch) bool {
	select {
	case r.items <- stateFetch:
		return true
	default:
		return false
	}
}
