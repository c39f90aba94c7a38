package hickoryring

import (
	"sync/atomic"

	"hickoryworks/core/hickorymember"
)

// ProbeReplyRing carries answers to probes. A full ring drops the newest answer;
// its probe then counts as unanswered.
type ProbeReplyRing struct {
	items chan hickorymember.Reply
	drops atomic.Uint64
}

// NewProbeReplyRing returns an empty ring.
func NewProbeReplyRing(capacity int) *ProbeReplyRing {
	return &ProbeReplyRing{items: make(chan hickorymember.Reply, capacity)}
}

// Items returns the channel to receive from.
func (r *ProbeReplyRing) Items() <-chan hickorymember.Reply {
	return r.items
}

// Drops returns the number of answers lost to overflow.
func (r *ProbeReplyRing) Drops() uint64 {
	return r.drops.Load()
}

// Put adds an answer, or drops it when the ring is full.
func (r *ProbeReplyRing) Put(reply hickorymember.Reply) {
	select {
	case r.items <- reply:
	default:
		r.drops.Add(1)
	}
}
