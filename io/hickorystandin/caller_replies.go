package hickorystandin

import (
	"container/heap"
	"context"
	"encoding/json"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/schema/hickorypayload"
)

func (c *Caller) receiveReplies(ctx context.Context) error {
	var decoded hickorygeneve.Decoded
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-c.received.Items():
			if _, ok := c.codec.DecodePlain(frame.Bytes, &decoded); !ok || decoded.Message != nil {
				continue
			}
			segment, err := DecodeSegment(decoded.Packet.Payload)
			if err == nil {
				c.handleSegment(time.Now(), &segment)
			}
		}
	}
}

// handleSegment handles a segment that an upstream sent to a flow.
func (c *Caller) handleSegment(now time.Time, segment *Segment) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	flow, ok := c.flows[hickorymodel.NewSocketAddress(segment.Destination)]
	if !ok || !flow.state.live() {
		return
	}
	switch {
	case flow.state == FlowClosing:
		if segment.FIN || segment.RST {
			c.endFlow(flow, FlowClosed)
		}
	case segment.RST:
		c.endFlow(flow, stateAfterReset(flow.state))
	case segment.SYN && flow.state != FlowOpening:
		// A repeated reply to a retransmitted first packet: the flow is open already.
	case segment.SYN:
		c.handleOpeningReply(now, flow, segment.Payload)
	case len(segment.Payload) > 0 && flow.state == FlowOpen:
		c.handleRequestReply(now, flow, segment.Payload)
	default:
	}
}

// handleOpeningReply handles the reply to a first packet.
func (c *Caller) handleOpeningReply(now time.Time, flow *callerFlow, payload []byte) {
	var reply hickorypayload.Reply
	if json.Unmarshal(payload, &reply) != nil {
		c.counts.foreign++
		return
	}
	flow.state = FlowOpen
	if reply.Service != flow.target.Service {
		c.endFlow(flow, FlowForeign)
		return
	}
	flow.upstream = reply.Upstream
	if c.firstOpenedAt.IsZero() {
		c.firstOpenedAt = now
	}
	c.recordReply(now, flow, 0)
}

// stateAfterReset returns the state of a flow after a reset by an upstream.
func stateAfterReset(state FlowState) FlowState {
	if state == FlowOpening {
		return FlowRefused
	}
	return FlowReset
}

// handleRequestReply handles the reply to a request. Replies to earlier requests
// of the flow are duplicates and are ignored; replies to requests that the flow
// never sent count as foreign.
func (c *Caller) handleRequestReply(now time.Time, flow *callerFlow, payload []byte) {
	var reply hickorypayload.Reply
	if json.Unmarshal(payload, &reply) != nil {
		c.counts.foreign++
		return
	}
	switch {
	case reply.Service != flow.target.Service:
		c.endFlow(flow, FlowForeign)
	case flow.upstream != "" && reply.Upstream != flow.upstream:
		c.endFlow(flow, FlowMoved)
	case !flow.issued(reply.ID):
		c.counts.foreign++
	case reply.ID != flow.request() || !flow.waiting:
		// A duplicate reply.
	case reply.Outcome == hickorypayload.OutcomeNotRun:
		c.notRun = append(c.notRun, reply.ID)
		flow.upstream = reply.Upstream
		c.recordReply(now, flow, c.interval)
	case reply.Body != responseBody(reply.ID):
		c.counts.foreign++
	default:
		flow.upstream = reply.Upstream
		c.recordReply(now, flow, c.interval)
	}
}

// recordReply records the latency of the current segment and schedules the next
// one between half the interval and 1.5 intervals from now. A short flow that has
// sent all its requests closes at once.
func (c *Caller) recordReply(now time.Time, flow *callerFlow, interval time.Duration) {
	_ = c.latency.RecordValue(max(now.Sub(flow.sentAt).Microseconds(), 1))
	flow.waiting = false
	flow.repliedAt = now
	jitter := time.Duration(0)
	if interval > 0 {
		jitter = time.Duration(c.random.Int64N(int64(interval)))
	}
	flow.dueAt = now.Add(interval/2 + jitter)
	if flow.requests > 0 && flow.sequence >= flow.requests {
		flow.state = FlowClosing
		flow.dueAt = now
	}
	if flow.heapIndex >= 0 {
		heap.Fix(&c.due, flow.heapIndex)
	}
	if flow.heapIndex == 0 {
		signal(c.wake)
	}
}

// endFlow sets the last state of a flow and removes it from the schedule.
func (c *Caller) endFlow(flow *callerFlow, state FlowState) {
	flow.state = state
	if flow.heapIndex >= 0 {
		heap.Remove(&c.due, flow.heapIndex)
	}
}
