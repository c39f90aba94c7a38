package hickoryring

import (
	"sync/atomic"

	"hickoryworks/schema/hickoryid"
)

// RequestLimits are the properties of a service that the exchange duty, which runs
// the requests of a datagram service, needs.
type RequestLimits struct {
	Service   hickoryid.ServiceNumber
	Slots     hickoryid.Slots
	Accepting bool
}

// LimitRing carries limits from the decide duty to the exchange duty. Newer limits
// replace older ones. The ring also stores the number of open requests, which the
// exchange duty sets and the agent's drain reads.
type LimitRing struct {
	items chan RequestLimits
	open  atomic.Int64
}

// NewLimitRing returns an empty ring.
func NewLimitRing() *LimitRing {
	return &LimitRing{items: make(chan RequestLimits, 1)}
}

// Items returns the channel to receive from.
func (r *LimitRing) Items() <-chan RequestLimits {
	return r.items
}

// Put replaces the limits in the ring and never blocks. Only one goroutine may call it.
func (r *LimitRing) Put(limits RequestLimits) {
	select {
	case <-r.items:
	default:
	}
	r.items <- limits
}

// SetOpen records the number of open requests.
func (r *LimitRing) SetOpen(open int) {
	r.open.Store(int64(open))
}

// Open returns the number of open requests.
func (r *LimitRing) Open() int {
	return int(r.open.Load())
}
