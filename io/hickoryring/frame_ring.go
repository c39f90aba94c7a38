package hickoryring

import (
	"context"
	"sync/atomic"
)

// FrameRing carries frames to or from a socket.
type FrameRing struct {
	items chan Frame
	rule  OverflowRule
	drops atomic.Uint64
}

// NewFrameRing returns an empty ring.
func NewFrameRing(capacity int, rule OverflowRule) *FrameRing {
	return &FrameRing{items: make(chan Frame, capacity), rule: rule}
}

// Items returns the channel to receive from.
func (r *FrameRing) Items() <-chan Frame {
	return r.items
}

// Drops returns the number of frames lost to overflow.
func (r *FrameRing) Drops() uint64 {
	return r.drops.Load()
}

// Len returns the number of frames in the ring.
func (r *FrameRing) Len() int {
	return len(r.items)
}

// Put adds a frame and reports whether the ring accepted it. The overflow rule
// applies to a full ring; with the rule Wait, Put fails when the context ends.
func (r *FrameRing) Put(ctx context.Context, frame Frame) bool {
	select {
	case r.items <- frame:
		return true
	default:
	}
	switch r.rule {
	case Wait:
		return r.wait(ctx, frame)
	case DropOldest:
		return r.replaceOldest(frame)
	default:
		r.drops.Add(1)
		return false
	}
}

func (r *FrameRing) wait(ctx context.Context, frame Frame) bool {
	select {
	case r.items <- frame:
		return true
	case <-ctx.Done():
		r.drops.Add(1)
		return false
	}
}

func (r *FrameRing) replaceOldest(frame Frame) bool {
	select {
	case <-r.items:
		r.drops.Add(1)
	default:
	}
	select {
	case r.items <- frame:
		return true
	default:
		r.drops.Add(1)
		return false
	}
}
