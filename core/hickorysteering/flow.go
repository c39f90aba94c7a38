package hickorysteering

import "hickoryworks/core/hickorymodel"

// maxTried is the number of upstreams that one first packet is offered to.
const maxTried = 6

// triedList holds the agents that a first packet was sent to.
type triedList struct {
	items [maxTried]hickorymodel.Endpoint
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

// stage says how much is known of a flow.
type stage uint8

const (
	// stageOpening is before any answer to the first packet.
	stageOpening stage = iota
	// stageAnswered is after an answer to the first packet.
	stageAnswered
	// stageOpen is once the upstream holds the flow.
	stageOpen
)

// flow is a balancer's cached knowledge of one flow.
type flow struct {
	// owner is the agent that packets go to; it is zero while a search runs.
	owner hickorymodel.Endpoint
	stage stage
	// sequence is that of the first packet.
	sequence uint32
	// copies is the highest number of a copy that was sent on.
	copies uint32
	// firstAt is when the first packet or its first copy was handled here.
	firstAt hickorymodel.Instant
	tried   triedList
	seenAt  hickorymodel.Instant
}
