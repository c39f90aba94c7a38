package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
)

// flowState is the stage of an owned flow.
type flowState uint8

const (
	// flowFree marks an unused record.
	flowFree flowState = iota
	// flowOpening waits for the first evidence that the upstream answered.
	flowOpening
	// flowUnanswered is an opening that took longer than the opening timeout.
	flowUnanswered
	flowEstablished
	flowClosing
	// flowLapsed was never answered and no longer counts at the gate. Its
	// record is kept so that a late retransmission of the first packet is not
	// delivered to a second upstream.
	flowLapsed
)

// Idle times after which an owned flow ends.
const (
	halfOpenIdleTime    = 10 * time.Second
	establishedIdleTime = 2 * time.Hour
	closingIdleTime     = 10 * time.Second
	udpIdleTime         = 60 * time.Second
	// lapsedIdleTime covers the time during which callers retransmit a first
	// packet.
	lapsedIdleTime = hickorytable.TransitionTime
)

// record is one owned flow. It holds no pointer, so that the garbage collector
// does not scan the table. The fields that every packet reads are in its first
// 64 bytes, one cache line.
type record struct {
	key   hickorymodel.FlowKey
	state flowState
	// unchecked is true from a pause until the other agents have been queried
	// whether one of them owns the flow now. No packet of the flow is delivered
	// meanwhile.
	unchecked bool
	// exportedIn is the number of the export that has transferred the record in
	// its present state.
	exportedIn uint16
	// coldResets is the gate's number of cold resets when the flow was last
	// counted there.
	coldResets uint32
	lastSeen   hickorymodel.Instant
	// certainSince is the time since which no other agent has owned the flow.
	// It is not after openedAt.
	certainSince hickorymodel.Instant
	// openedAt is the time of the first packet.
	openedAt hickorymodel.Instant
	// registerAt is the earliest time at which the sweep sends the next
	// redirect entry for the flow to home, which received the last one. A
	// different home is sent an entry at once.
	registerAt hickorymodel.Instant
	// registeredAt and home are the time and the receiver of the last redirect
	// entry.
	registeredAt hickorymodel.Instant
	home         hickorymodel.Endpoint
}

// registrationDue reports whether the sweep must send a redirect entry to a
// home now.
func (r *record) registrationDue(now hickorymodel.Instant, home hickorymodel.Endpoint) bool {
	return home != r.home || !now.Before(r.registerAt)
}

// idleTime returns the time without a packet after which the flow ends.
func (r *record) idleTime() time.Duration {
	switch {
	case r.state == flowClosing:
		return closingIdleTime
	case r.state == flowLapsed:
		return lapsedIdleTime
	case r.key.Protocol == hickorymodel.ProtocolUDP:
		return udpIdleTime
	case r.state == flowEstablished:
		return establishedIdleTime
	default:
		return halfOpenIdleTime
	}
}
