package hickoryring

import (
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// ChangesFetch is a call that asks the balancer Peer for changes of the directory.
type ChangesFetch struct {
	Peer    hickoryid.Endpoint
	Request hickorymessage.ChangesRequest
}

// ChangesFetchRing carries calls for changes to the duty that sends them. It holds one,
// since the next call is only due after the answer.
type ChangesFetchRing struct {
	items chan ChangesFetch
}

// NewChangesFetchRing returns an empty ring.
func NewChangesFetchRing() *ChangesFetchRing {
	return &ChangesFetchRing{items: make(chan ChangesFetch, 1)}
}

// Items returns the channel to receive from.
func (r *ChangesFetchRing) Items() <-chan ChangesFetch {
	return r.items
}

// Put adds a call and reports whether the ring had room.
func (r *ChangesFetchRing) Put(fetch ChangesFetch) bool {
	select {
	case r.items <- fetch:
		return true
	default:
		return false
	}
}
