package hickoryring

import "sync/atomic"

// lineCapacity is the maximum number of queued log lines: a few seconds of lines at
// the highest rate.
const lineCapacity = 512

// LineRing carries log lines to the duty that writes them. A full ring drops the
// newest line and counts it, so that logging never blocks.
type LineRing struct {
	items chan []byte
	drops atomic.Uint64
}

// NewLineRing returns an empty ring.
func NewLineRing() *LineRing {
	return &LineRing{items: make(chan []byte, lineCapacity)}
}

// Items returns the channel to receive from.
func (r *LineRing) Items() <-chan []byte {
	return r.items
}

// Put adds a line and reports whether the ring had room.
func (r *LineRing) Put(line []byte) bool {
	select {
	case r.items <- line:
		return true
	default:
		r.drops.Add(1)
		return false
	}
}

// Drops returns the number of lines lost to overflow.
func (r *LineRing) Drops() uint64 {
	return r.drops.Load()
}
