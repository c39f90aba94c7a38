package hickoryring

import (
	"sync/atomic"

	"hickoryworks/core/hickorymodel"
)

// RequestDatagram is the payload of one datagram that a caller sent to a datagram
// service, with its flow.
type RequestDatagram struct {
	Flow hickorymodel.FlowKey
	// CertainSince is the time since which no other agent has owned the flow.
	CertainSince hickorymodel.Instant
	Payload      []byte
}

// RequestRing carries datagrams of callers to the exchange duty, which runs the
// requests. A full ring drops the newest datagram; callers send their requests
// again.
type RequestRing struct {
	items chan RequestDatagram
	drops atomic.Uint64
}

// NewRequestRing returns an empty ring.
func NewRequestRing(capacity int) *RequestRing {
	return &RequestRing{items: make(chan RequestDatagram, capacity)}
}

// Items returns the channel to receive from.
func (r *RequestRing) Items() <-chan RequestDatagram {
	return r.items
}

// Drops returns the number of datagrams lost to overflow.
func (r *RequestRing) Drops() uint64 {
	return r.drops.Load()
}

// Put adds a datagram and reports whether the ring had room.
func (r *RequestRing) Put(datagram RequestDatagram) bool {
	select {
	case r.items <- datagram:
		return true
	default:
		r.drops.Add(1)
		return false
	}
}
