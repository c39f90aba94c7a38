package hickoryring

import "hickoryworks/core/hickorydirectory"

// DirectoryRing carries views of the published state to the decide duty. A newer
// view replaces an older one, so the capacity is one and Put never blocks.
type DirectoryRing struct {
	items chan *hickorydirectory.View
}

// NewDirectoryRing returns an empty ring.
func NewDirectoryRing() *DirectoryRing {
	return &DirectoryRing{items: make(chan *hickorydirectory.View, 1)}
}

// Items returns the channel to receive from.
func (r *DirectoryRing) Items() <-chan *hickorydirectory.View {
	return r.items
}

// Put replaces the view in the ring. Only one goroutine may call it.
func (r *DirectoryRing) Put(view *hickorydirectory.View) {
	select {
	case <-r.items:
	default:
	}
	r.items <- view
}
