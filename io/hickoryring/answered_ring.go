package hickoryring

import (
	"sync/atomic"

	"hickoryworks/core/hickorymodel"
)

// AnsweredRing carries the flows whose requests the upstream has answered to the
// decide duty. A full ring drops the newest flow, since the next answer adds the
// flow again.
type AnsweredRing struct {
	items chan hickorymodel.FlowKey
	drops atomic.Uint64
}

// NewAnsweredRing returns an empty ring.
func NewAnsweredRing(capacity int) *AnsweredRing {
	return &AnsweredRing{items: make(chan hickorymodel.FlowKey, capacity)}
}

// Items returns the channel to receive from.
func (r *AnsweredRing) Items() <-chan hickorymodel.FlowKey {
	return r.items
}

// Drops returns the number of flows lost to overflow.
func (r *AnsweredRing) Drops() uint64 {
	return r.drops.Load()
}

// Put adds a flow and reports whether the ring had room.
func (r *AnsweredRing) Put(flow hickorymodel.FlowKey) bool {
	select {
	case r.items <- flow:
		return true
	default:
		r.drops.Add(1)
		return false
	}
}
