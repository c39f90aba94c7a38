package hickoryring

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// TableAnswer is what another balancer has sent of its configuration.
type TableAnswer struct {
	// Update is nil if the other balancer has nothing newer.
	Update *hickorymessage.TableUpdate
	// Reply has the other balancer's age and revision.
	Reply hickorymessage.TableReply
}

// TableCall is an event for the directory updater about a call for the configuration. It
// is one of: a request of another balancer, the answer of another balancer, or a failed
// call to one (only Peer and SentAt are set).
type TableCall struct {
	// Peer is the balancer that sent Request or Answer, or to which a call failed.
	Peer    hickoryid.Endpoint
	Request *hickorymessage.TableRequest
	// Reply receives the answer to Request. It has room for it, so sending the
	// answer never blocks.
	Reply  chan<- TableAnswer
	Answer *TableAnswer
	// SentAt is when the call to Peer was sent.
	SentAt hickorymodel.Instant
}

// tableCapacity is the maximum number of queued calls.
const tableCapacity = 64

// TableRing carries calls for the configuration to the directory updater. A full ring
// refuses the newest.
type TableRing struct {
	items chan TableCall
}

// NewTableRing returns an empty ring.
func NewTableRing() *TableRing {
	return &TableRing{items: make(chan TableCall, tableCapacity)}
}

// Items returns the channel to receive from.
func (r *TableRing) Items() <-chan TableCall {
	return r.items
}

// Put adds a call and reports whether the ring had room.
func (r *TableRing) Put(call TableCall) bool {
	select {
	case r.items <- call:
		return true
	default:
		return false
	}
}
