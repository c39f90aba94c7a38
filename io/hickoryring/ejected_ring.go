package hickoryring

import (
	"slices"

	"hickoryworks/schema/hickoryid"
)

// Ejected is the sorted, complete set of upstreams that failure detection has
// ejected.
type Ejected []hickoryid.UpstreamID

// Has reports whether an upstream is ejected.
func (e Ejected) Has(id hickoryid.UpstreamID) bool {
	_, found := slices.BinarySearch(e, id)
	return found
}

// EjectedRing carries the complete set of ejected upstreams. A newer set
// replaces an older one, so the capacity is one and Put never blocks.
type EjectedRing struct {
	items chan Ejected
}

// NewEjectedRing returns an empty ring.
func NewEjectedRing() *EjectedRing {
	return &EjectedRing{items: make(chan Ejected, 1)}
}

// Items returns the channel to receive from.
func (r *EjectedRing) Items() <-chan Ejected {
	return r.items
}

// Put replaces the set in the ring. Only one goroutine may call it.
func (r *EjectedRing) Put(ejected Ejected) {
	select {
	case <-r.items:
	default:
	}
	r.items <- ejected
}
