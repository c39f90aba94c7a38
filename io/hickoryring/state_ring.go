package hickoryring

import (
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// StateCall is an event for the directory updater. It is one of: a state request of
// another balancer, the answer of another balancer, a failed call to one (only Peer
// is set), a connection to one that is called (Reached), or the seed balancers of reloaded settings.
type StateCall struct {
	// Peer is the balancer that sent Request or Answer, or to which a call failed.
	Peer    hickoryid.Endpoint
	Request *hickorymessage.StateRequest
	// Reply receives the answer to Request. It has room for it, so sending the
	// answer never blocks.
	Reply  chan<- hickorymessage.StateReply
	Answer *hickorymessage.StateReply
	Seeds  []hickoryid.Endpoint
	// Reached is true when a connection to Peer exists, on which it is called next.
	Reached bool
}

// stateCapacity is the maximum number of queued calls.
const stateCapacity = 16

// StateRing carries events to the directory updater, the duty that owns a
// balancer's copy of the directory. A full ring refuses the newest.
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

// Put adds a call and reports whether the ring had room.
func (r *StateRing) Put(call StateCall) bool {
	select {
	case r.items <- call:
		return true
	default:
		return false
	}
}
