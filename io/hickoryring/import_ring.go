package hickoryring

import (
	"context"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// ImportKind says what an Import contains.
type ImportKind uint8

// Kinds of imports.
const (
	// ImportFirst is the first part of a transfer. Flows of earlier parts are
	// discarded, since the transfer has started again.
	ImportFirst ImportKind = iota
	// ImportNext is a further part of the same transfer.
	ImportNext
	// ImportNone says that the transfer failed and no further part follows.
	ImportNone
	// ImportEnd says that a predecessor whose transfer is complete has ended and
	// relays no more datagrams.
	ImportEnd
)

// Import is one step in which the successor receives the flows of the predecessor.
// In a planned restart of an agent, the predecessor is the process that stops and
// the successor the one that replaces it.
type Import struct {
	Kind ImportKind
	// Predecessor is the endpoint of the predecessor's data socket.
	Predecessor hickorymodel.Endpoint
	Part        hickorymessage.TransferReply
}

// ImportRing carries transferred flows to the decide duty of the successor. A full
// ring blocks the sender, since no part may be lost.
type ImportRing struct {
	items chan Import
}

// NewImportRing returns an empty ring.
func NewImportRing(capacity int) *ImportRing {
	return &ImportRing{items: make(chan Import, capacity)}
}

// Items returns the channel to receive from.
func (r *ImportRing) Items() <-chan Import {
	return r.items
}

// Put adds a step. It reports false when the context ends before the ring has room.
func (r *ImportRing) Put(ctx context.Context, step Import) bool {
	select {
	case r.items <- step:
		return true
	case <-ctx.Done():
		return false
	}
}
