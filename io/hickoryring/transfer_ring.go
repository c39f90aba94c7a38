package hickoryring

import (
	"sync/atomic"

	"hickoryworks/schema/hickorymessage"
)

// TransferCall is one call in which a successor starts a transfer, requests the
// next part of the predecessor's flows, or asks the predecessor to continue relaying.
// Reply has room for one value, which is nil when the call is refused.
type TransferCall struct {
	Request hickorymessage.TransferRequest
	Reply   chan *hickorymessage.TransferReply
}

// TransferRing carries calls of a successor to the decide duty of the predecessor.
// A full ring drops the newest call; the successor then starts the transfer again.
type TransferRing struct {
	items chan TransferCall
	drops atomic.Uint64
}

// NewTransferRing returns an empty ring.
func NewTransferRing(capacity int) *TransferRing {
	return &TransferRing{items: make(chan TransferCall, capacity)}
}

// Items returns the channel to receive from.
func (r *TransferRing) Items() <-chan TransferCall {
	return r.items
}

// Drops returns the number of calls lost to overflow.
func (r *TransferRing) Drops() uint64 {
	return r.drops.Load()
}

// Put adds a call and reports whether the ring had room.
func (r *TransferRing) Put(call TransferCall) bool {
	select {
	case r.items <- call:
		return true
	default:
		r.drops.Add(1)
		return false
	}
}
