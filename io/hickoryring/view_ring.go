package hickoryring

import (
	"sync/atomic"

	"hickoryworks/core/hickorymember"
)

// ViewRing carries views received from other balancers. A full ring drops the
// newest message; its views arrive again from other balancers and with the periodic
// refresh.
type ViewRing struct {
	items chan []hickorymember.View
	drops atomic.Uint64
}

// NewViewRing returns an empty ring.
func NewViewRing(capacity int) *ViewRing {
	return &ViewRing{items: make(chan []hickorymember.View, capacity)}
}

// Items returns the channel to receive from.
func (r *ViewRing) Items() <-chan []hickorymember.View {
	return r.items
}

// Drops returns the number of messages lost to overflow.
func (r *ViewRing) Drops() uint64 {
	return r.drops.Load()
}

// Put adds the views of one message and reports whether the ring had room.
func (r *ViewRing) Put(views []hickorymember.View) bool {
	select {
	case r.items <- views:
		return true
	default:
		r.drops.Add(1)
		return false
	}
}
