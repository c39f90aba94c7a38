package hickorysteering

import "hickoryworks/core/hickorymodel"

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
	// firstAt is when this balancer handled the first packet, or the first of its
	// copies.
	firstAt hickorymodel.Instant
	tried   triedList
	seenAt  hickorymodel.Instant
}
