package hickoryline

import (
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// Item is one waiting first packet, with what its place depends on. The packet itself
// stays with the owner of the line.
type Item struct {
	Flow hickorymodel.FlowKey
	// Sequence is the sequence number of the first packet. Its copies have the same.
	Sequence uint32
	Route    hickorydirectory.RouteHash
	// Priority is that of the route; 0 is the highest.
	Priority uint8
	// BeganAt is when the caller began to wait. EnteredAt is when the packet entered
	// the line, and is set by Add.
	BeganAt   hickorymodel.Instant
	EnteredAt hickorymodel.Instant
	// TargetLatency is the time within which the request is to be answered, Timeout the
	// time after which the caller gives up the request, and OpenTimeout the time after
	// which it gives up opening the flow, all counted from BeganAt. 0 stands for no limit
	// by Timeout or OpenTimeout.
	TargetLatency time.Duration
	Timeout       time.Duration
	OpenTimeout   time.Duration
}

// age returns how long the caller has waited.
func (i *Item) age(now hickorymodel.Instant) time.Duration {
	return now.Sub(i.BeganAt)
}

// sameFlow reports whether an item stands for a copy of the same first packet.
func (i *Item) sameFlow(other *Item) bool {
	return i.Flow == other.Flow && i.Sequence == other.Sequence
}
