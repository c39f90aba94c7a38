package hickoryring

import (
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// ChangesCall is an event for the directory updater about a call for changes. It is
// one of: a request of another balancer, the answer of another balancer, or a failed
// call to one (only Peer is set).
type ChangesCall struct {
	// Peer is the balancer that sent Request or Answer, or to which a call failed.
	Peer    hickoryid.Endpoint
	Request *hickorymessage.ChangesRequest
	// Reply receives the answer to Request. It has room for it, so sending the
	// answer never blocks.
	Reply  chan<- hickorymessage.ChangesReply
	Answer *hickorymessage.ChangesReply
}

// changesCapacity is the maximum number of queued calls.
const changesCapacity = 64

// ChangesRing carries calls for changes to the directory updater. A full ring refuses
// the newest.
type ChangesRing struct {
	items chan ChangesCall
}

// NewChangesRing returns an empty ring.
func NewChangesRing() *ChangesRing {
	return &ChangesRing{items: make(chan ChangesCall, changesCapacity)}
}

// Items returns the channel to receive from.
func (r *ChangesRing) Items() <-chan ChangesCall {
	return r.items
}

// Put adds a call and reports whether the ring had room.
func (r *ChangesRing) Put(call ChangesCall) bool {
	select {
	case r.items <- call:
		return true
	default:
		return false
	}
}
