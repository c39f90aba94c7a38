package hickoryring

import (
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// Ask is a call of another balancer.
type Ask struct {
	Peer    hickoryid.Endpoint
	Request hickorymessage.StateRequest
}

// AskRing carries calls to the duty that makes them. It holds one; a call that
// finds it full is left out, since the next one is due soon.
type AskRing struct {
	items chan Ask
}

// NewAskRing returns an empty ring.
func NewAskRing() *AskRing {
	return &AskRing{items: make(chan Ask, 1)}
}

// Items returns the channel to receive from.
func (r *AskRing) Items() <-chan Ask {
	return r.items
}

// Put adds a call and reports whether there was room.
func (r *AskRing) Put(ask Ask) bool {
	select {
	case r.items <- ask:
		return true
	default:
		return false
	}
}
