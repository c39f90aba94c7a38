package hickoryring

// ShareRing carries the share of its full capacity that an upstream reports, from
// 0 to 1, to the decide duty. A newer share replaces an older one, so the capacity
// of the ring is one and Put never blocks.
type ShareRing struct {
	items chan float64
}

// NewShareRing returns an empty ring.
func NewShareRing() *ShareRing {
	return &ShareRing{items: make(chan float64, 1)}
}

// Items returns the channel to receive from.
func (r *ShareRing) Items() <-chan float64 {
	return r.items
}

// Put replaces the share in the ring. Only one goroutine may call it.
func (r *ShareRing) Put(share float64) {
	select {
	case <-r.items:
	default:
	}
	r.items <- share
}
