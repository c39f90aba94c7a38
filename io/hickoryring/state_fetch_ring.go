package hickoryring

import (
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// StateFetch is a call of another balancer.
type StateFetch struct {
	Peer    hickoryid.Endpoint
	Request hickorymessage.StateRequest
}

// StateFetchRing carries calls to the duty that makes them. It holds one; a call that
// finds it full is left out, since the next one is due soon.
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

// Put adds a call and reports whether there was room.
func (r *StateFetchRing) Put(ask StateFetch) bool {
	select {
	case r.items <- ask:
		return true
	default:
		return false
	}
}
