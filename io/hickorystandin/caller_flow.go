package hickorystandin

import (
	"encoding/json"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorypayload"
)

// FlowState is the state of a flow as its caller observes it.
type FlowState string

// States of flows.
const (
	// FlowOpening waits for the reply to its first packet.
	FlowOpening FlowState = "opening"
	FlowOpen    FlowState = "open"
	// FlowClosing has sent its FIN or is about to; the caller closes it.
	FlowClosing FlowState = "closing"
	FlowClosed  FlowState = "closed"
	// FlowGivenUp was ended by the caller because operators took the zone of its
	// upstream out of service.
	FlowGivenUp FlowState = "givenUp"
	// FlowRefused never opened.
	FlowRefused FlowState = "refused"
	// FlowReset was open and ended by a reset (RST) from an upstream.
	FlowReset FlowState = "reset"
	// FlowSilent was open and got no reply to any attempt of a request.
	FlowSilent FlowState = "silent"
	// FlowMoved got a reply from another upstream than before.
	FlowMoved FlowState = "moved"
	// FlowForeign got a reply from an upstream of another service.
	FlowForeign FlowState = "foreign"
)

// Broken reports whether the state is a failure of a flow that was open.
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
	// requests is the number of requests after which the flow closes; 0 is a
	// long-lived flow.
	requests int
	source   hickorymodel.SocketAddress
	target   Target
	state    FlowState
	upstream hickoryid.UpstreamID
	// sequence numbers the requests of the flow: the one that waits for a reply,
	// or else the last one that got its reply. 0 is the first packet.
	sequence int
	// waiting is true while the current segment has no reply.
	waiting bool
	// attempts counts the sends of the current segment; sentAt is the time of the
	// first of them.
	attempts int
	sentAt   time.Time
	// repliedAt is the time of the last reply.
	repliedAt time.Time
	// dueAt is the time of the next send; heapIndex is the flow's index in the
	// heap of the caller, or negative if the flow is not in it.
	dueAt     time.Time
	heapIndex int
}

// sequenceBits is the number of low bits of a request id that hold the sequence
// of the request on its flow. The flow number is above them.
const sequenceBits = 20

// request returns the id of the request that waits for its reply, or of the last
// one that got it.
func (f *callerFlow) request() hickorypayload.RequestNumber {
	return hickorypayload.RequestNumber(f.number<<sequenceBits | f.sequence)
}

// issued reports whether the flow has sent a request with this id.
func (f *callerFlow) issued(id hickorypayload.RequestNumber) bool {
	return int(id)>>sequenceBits == f.number && id <= f.request()
}

// startNextSegment makes the next segment of the flow the current one.
func (f *callerFlow) startNextSegment(now time.Time) {
	if f.state == FlowOpen {
		f.sequence++
	}
	f.waiting = true
	f.attempts = 0
	f.sentAt = now
}

// segment returns the current segment. Every second request is idempotent.
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

// flowHeap is a heap of flows, ordered by the time of their next send.
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
