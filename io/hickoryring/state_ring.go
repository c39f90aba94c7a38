package hickoryring

import (
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// StateCall is an event for the duty that keeps the directory: a request of
// another balancer, an answer, a failed call (only Peer is set) or new seeds.
type StateCall struct {
	// Peer sent the request or the answer, or did not answer.
	Peer    hickoryid.Endpoint
	Request *hickorymessage.StateRequest
	// Reply has room for the answer to Request, so answering never blocks.
	Reply  chan<- hickorymessage.StateReply
	Answer *hickorymessage.StateReply
	Seeds  []hickoryid.Endpoint
}

// stateCapacity bounds the calls that wait at one time.
const stateCapacity = 16

// StateRing carries calls between balancers. A full ring refuses the newest.
type StateRing struct {
	items chan StateCall
}

// NewStateRing returns an empty ring.
func NewStateRing() *StateRing {
	return &StateRing{items: make(chan StateCall, stateCapacity)}
}

// Items returns the channel to receive from.
func (r *StateRing) Items() <-chan StateCall {
	return r.items
}

// Put adds a call and reports whether there was room.
func (r *StateRing) Put(call StateCall) bool {
	select {
	case r.items <- call:
		return true
	default:
		return false
	}
}
