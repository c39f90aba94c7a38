package hickoryring

// WakeRing carries a signal that ends the wait of a duty early. It holds one
// signal, since further ones before the duty runs would have the same effect.
type WakeRing struct {
	items chan struct{}
}

// NewWakeRing returns an empty ring.
func NewWakeRing() *WakeRing {
	return &WakeRing{items: make(chan struct{}, 1)}
}

// Items returns the channel to receive from.
func (r *WakeRing) Items() <-chan struct{} {
	return r.items
}

// Put adds a signal unless the ring already holds one.
func (r *WakeRing) Put() {
	select {
	case r.items <- struct{}{}:
	default:
	}
}
