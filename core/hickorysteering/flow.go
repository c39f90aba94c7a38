package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

// maxTriedAgents is the number of upstreams that one first packet is sent to at
// most.
const maxTriedAgents = 6

// triedList holds the agents that a first packet was sent to.
type triedList struct {
	items [maxTriedAgents]hickorymodel.Endpoint
	count int
}

func (l *triedList) has(endpoint hickorymodel.Endpoint) bool {
	for _, item := range l.items[:l.count] {
		if item == endpoint {
			return true
		}
	}
	return false
}

func (l *triedList) add(endpoint hickorymodel.Endpoint) {
	if l.count < len(l.items) && !l.has(endpoint) {
		l.items[l.count] = endpoint
		l.count++
	}
}

func (l *triedList) remove(endpoint hickorymodel.Endpoint) {
	for i, item := range l.items[:l.count] {
		if item == endpoint {
			l.count--
			l.items[i] = l.items[l.count]
			return
		}
	}
}

func (l *triedList) full() bool {
	return l.count == len(l.items)
}

// stage is the progress of opening a flow.
type stage uint8

const (
	// stageOpening means that the first packet has not been answered.
	stageOpening stage = iota
	// stageAnswered means that an upstream has answered the first packet.
	stageAnswered
	// stageOpen means that the upstream holds the flow.
	stageOpen
)

// flow is a balancer's cache entry of one flow.
type flow struct {
	// owner is the agent that packets are sent to; it is zero while a search runs.
	owner hickorymodel.Endpoint
	stage stage
	// sequence is the sequence number of the first packet.
	sequence uint32
	// copies is the highest copy number of the first packet that was sent on.
	copies uint32
	tried  triedList
	// unreturned holds the agents that got the first packet and have not returned it.
	// The flow may open at the upstream of each.
	unreturned triedList
	// complete is true if unreturned has all such agents: this balancer has handled
	// the first packet and each copy up to copies. Another one may have sent a copy
	// that is missing to an agent.
	complete bool
	// refused is true once no upstream was left for the last copy.
	refused bool
	// crowded is true if an upstream may have room soon for the copy that is being
	// tried: one has returned it with ReasonPaced, or more have room than were tried.
	crowded bool
	// copiedAt is when the copy of the first packet that is being tried arrived.
	copiedAt hickorymodel.Instant
	// waiting is true while the first packet waits at the owner: the owner has said so
	// after the last copy that it got.
	waiting bool
	// byWork is true if the owner was chosen by work. It then takes the flow with a wait of
	// at most maxWait; asked counts the agents that got the first packet with a limit, and
	// settled is true once the packet has gone to the best of those that returned it.
	byWork  bool
	settled bool
	asked   uint8
	maxWait time.Duration
	// placed is true once the copy that is being tried was sent to the waiting place.
	placed bool
	// postponedAt is when the last copy was first postponed; 0 for never.
	postponedAt hickorymodel.Instant
	seenAt      hickorymodel.Instant
}

// unheld reports whether no upstream can hold the flow, so that its first packet may be
// answered with a reset.
func (f *flow) unheld() bool {
	return f.complete && f.unreturned.count == 0
}

// recordSent records that an agent gets the first packet. If it gets a second one
// before it has returned the first, a return no longer tells that it has neither.
func (f *flow) recordSent(to hickorymodel.Endpoint) {
	f.complete = f.complete && !f.unreturned.full() && !f.unreturned.has(to)
	f.unreturned.add(to)
}
