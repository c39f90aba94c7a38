package hickoryring

import (
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// TableFetch is a call that asks the balancer Peer for its configuration.
type TableFetch struct {
	Peer    hickoryid.Endpoint
	Request hickorymessage.TableRequest
}

// TableFetchRing carries calls for the configuration to the duty that sends them. It holds
// one, since the next call is only due after the answer.
type TableFetchRing struct {
	items chan TableFetch
}

// NewTableFetchRing returns an empty ring.
func NewTableFetchRing() *TableFetchRing {
	return &TableFetchRing{items: make(chan TableFetch, 1)}
}

// Items returns the channel to receive from.
func (r *TableFetchRing) Items() <-chan TableFetch {
	return r.items
}

// Put adds a call and reports whether the ring had room.
func (r *TableFetchRing) Put(fetch TableFetch) bool {
	select {
	case r.items <- fetch:
		return true
	default:
		return false
	}
}
