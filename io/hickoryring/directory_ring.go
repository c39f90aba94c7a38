package hickoryring

import (
	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// DirectoryUpdate is what the decide duty learns of the published state.
type DirectoryUpdate struct {
	// View is nil if the state has not changed.
	View *hickorydirectory.View
	// PublishedAt is when View was made.
	PublishedAt hickorymodel.Instant
	// ConfirmedUntil is a time up to which View, or the last view before it, has all
	// published changes; 0 while the store has not answered.
	ConfirmedUntil hickorymodel.Instant
}

// DirectoryRing carries updates of the published state to the decide duty. A
// confirmation must not arrive before the view that it belongs to, so both take this
// ring. A newer update is merged with one that still waits, so the capacity is one and
// Put never blocks.
type DirectoryRing struct {
	items chan DirectoryUpdate
}

// NewDirectoryRing returns an empty ring.
func NewDirectoryRing() *DirectoryRing {
	return &DirectoryRing{items: make(chan DirectoryUpdate, 1)}
}

// Items returns the channel to receive from.
func (r *DirectoryRing) Items() <-chan DirectoryUpdate {
	return r.items
}

// Put adds an update. Only one goroutine may call it.
func (r *DirectoryRing) Put(update DirectoryUpdate) {
	select {
	case waiting := <-r.items:
		if update.View == nil {
			update.View = waiting.View
			update.PublishedAt = waiting.PublishedAt
		}
		update.ConfirmedUntil = max(update.ConfirmedUntil, waiting.ConfirmedUntil)
	default:
	}
	r.items <- update
}
