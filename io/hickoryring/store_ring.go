package hickoryring

import (
	"context"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// StoreAnswer is the outcome of one call of the store.
type StoreAnswer struct {
	// Batch is nil when Err is set.
	Batch *hickorydirectory.Batch
	Err   error
	// SentAt is when the call was sent; the answer has all changes before it.
	SentAt hickorymodel.Instant
}

// storeCapacity bounds the answers that wait at one time.
const storeCapacity = 4

// StoreRing carries answers of the store. A full ring blocks the sender, since
// a lost change would be missed for good.
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

// Put adds an answer and reports whether it is in the ring.
func (r *StoreRing) Put(ctx context.Context, answer StoreAnswer) bool {
	select {
	case r.items <- answer:
		return true
	case <-ctx.Done():
		return false
	}
}
