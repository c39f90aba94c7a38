package hickoryring

import (
	"context"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// StoreAnswer is the outcome of one call to the store.
type StoreAnswer struct {
	// Scope is the part of the published state that the call was for.
	Scope hickorydirectory.Scope
	// Batch is nil when Err is set.
	Batch *hickorydirectory.Batch
	Err   error
	// SentAt is when the call was sent. The answer contains all changes published
	// before that time.
	SentAt hickorymodel.Instant
}

// storeCapacity is the maximum number of queued answers.
const storeCapacity = 4

// StoreRing carries answers of the store to the directory updater. A full ring
// blocks a sender, since a dropped change would not be read again.
type StoreRing struct {
	items chan StoreAnswer
}

// NewStoreRing returns an empty ring.
func NewStoreRing() *StoreRing {
	return &StoreRing{items: make(chan StoreAnswer, storeCapacity)}
}

// Items returns the channel to receive from.
func (r *StoreRing) Items() <-chan StoreAnswer {
	return r.items
}

// Put adds an answer. It reports false when the context ends before the ring has
// room.
func (r *StoreRing) Put(ctx context.Context, answer StoreAnswer) bool {
	select {
	case r.items <- answer:
		return true
	case <-ctx.Done():
		return false
	}
}
