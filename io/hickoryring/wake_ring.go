package hickoryring

// WakeRing tells a duty that waits to go on. It holds one signal, since further
// ones before the duty runs would say the same.
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

// Put adds a signal unless one waits already.
func (r *WakeRing) Put() {
	select {
	case r.items <- struct{}{}:
	default:
	}
}
