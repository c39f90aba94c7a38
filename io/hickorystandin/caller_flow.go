package hickorystandin

import (
	"encoding/json"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorypayload"
)

// FlowState is what a caller sees of one flow.
type FlowState string

// States of flows.
const (
	// FlowOpening waits for the answer to its first packet.
	FlowOpening FlowState = "opening"
	FlowOpen    FlowState = "open"
	// FlowClosing has sent its last packet; the caller ends it.
	FlowClosing FlowState = "closing"
	FlowClosed  FlowState = "closed"
	// FlowGivenUp ended because operators took its zone out of service.
	FlowGivenUp FlowState = "givenUp"
	// FlowRefused never opened.
	FlowRefused FlowState = "refused"
	// FlowReset was ended by a reset of an upstream.
	FlowReset FlowState = "reset"
	// FlowSilent got no answer to repeated segments.
	FlowSilent FlowState = "silent"
	// FlowMoved was answered by another upstream than before.
	FlowMoved FlowState = "moved"
	// FlowForeign was answered by another service.
	FlowForeign FlowState = "foreign"
)

// Broken reports whether the state is a fault that a caller notices after opening.
func (s FlowState) Broken() bool {
	return s == FlowReset || s == FlowSilent || s == FlowMoved || s == FlowForeign
}

// live reports whether the caller still sends on the flow.
func (s FlowState) live() bool {
	return s == FlowOpening || s == FlowOpen || s == FlowClosing
}

// callerFlow is one flow of a caller. The caller's mutex guards it.
type callerFlow struct {
	// number is unique among the flows of a caller.
	number int
	// requests is the number of requests after which the flow closes; 0 stands
	// for a long-lived flow.
	requests int
	source   hickorymodel.SocketAddress
	target   Target
	state    FlowState
	upstream hickoryid.UpstreamID
	// sequence is the number of the request that waits for an answer, or was
	// answered last; 0 stands for the first packet.
	sequence int
	waiting  bool
	// tries counts the sends of the current segment.
	attempts int
	sentAt   time.Time
	// answeredAt is the time of the last answer.
	repliedAt time.Time
	// dueAt is the time of the next send; place is the flow's index in the schedule.
	dueAt     time.Time
	heapIndex int
}

// sequenceBits is the part of a request id that counts the requests of a flow.
const sequenceBits = 20

// request returns the id of the request that waits or was answered last.
func (f *callerFlow) request() hickorypayload.RequestNumber {
	return hickorypayload.RequestNumber(f.number<<sequenceBits | f.sequence)
}

// issued reports whether an id is one of the flow's requests so far.
func (f *callerFlow) issued(id hickorypayload.RequestNumber) bool {
	return int(id)>>sequenceBits == f.number && id <= f.request()
}

// startNext makes the next segment the one that waits.
func (f *callerFlow) startNextSegment(now time.Time) {
	if f.state == FlowOpen {
		f.sequence++
	}
	f.waiting = true
	f.attempts = 0
	f.sentAt = now
}

// segment returns the segment that waits. Every second request is idempotent.
func (f *callerFlow) segment() Segment {
	segment := Segment{Source: f.source.AddrPort(), Destination: f.target.Address}
	switch f.state {
	case FlowOpening:
		segment.SYN = true
	case FlowClosing:
		segment.ACK = true
		segment.FIN = true
	default:
		segment.ACK = true
		request := hickorypayload.Request{ID: f.request(), Idempotent: f.sequence%2 == 0}
		segment.Payload, _ = json.Marshal(request)
	}
	return segment
}

// schedule is a heap of flows by their next send.
type flowHeap []*callerFlow

func (s flowHeap) Len() int           { return len(s) }
func (s flowHeap) Less(i, j int) bool { return s[i].dueAt.Before(s[j].dueAt) }

func (s flowHeap) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].heapIndex = i
	s[j].heapIndex = j
}

// Push adds a flow; package heap calls it.
func (s *flowHeap) Push(item any) {
	flow, ok := item.(*callerFlow)
	if !ok {
		return
	}
	flow.heapIndex = len(*s)
	*s = append(*s, flow)
}

// Pop removes the last flow; package heap calls it.
func (s *flowHeap) Pop() any {
	old := *s
	last := old[len(old)-1]
	last.heapIndex = -1
	*s = old[:len(old)-1]
	return last
}
