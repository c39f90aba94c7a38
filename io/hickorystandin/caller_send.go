package hickorystandin

import (
	"container/heap"
	"context"
	"time"

	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickoryring"
)

// sendDueSegments sends the segments of the flows when they are due.
func (c *Caller) sendDueSegments(ctx context.Context) error {
	codec := hickorygeneve.NewCodec()
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		segments, wait := c.dueSegments(time.Now())
		for i := range segments {
			c.send(codec, &segments[i])
		}
		alarm.Reset(wait)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		case <-alarm.C:
		}
	}
}

func (c *Caller) send(codec *hickorygeneve.Codec, segment *Segment) {
	packet, err := segment.Encode()
	if err != nil {
		return
	}
	encoded, err := codec.EncodePlain(0, packet)
	if err == nil {
		c.socket.Send(hickoryring.Frame{Peer: c.fabric, Bytes: encoded})
	}
}

// dueSegments returns the segments to send now and the time until the next one
// is due.
func (c *Caller) dueSegments(now time.Time) ([]Segment, time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var segments []Segment
	for len(c.due) > 0 {
		flow := c.due[0]
		if wait := flow.dueAt.Sub(now); wait > 0 {
			return segments, wait
		}
		segment, ok := c.nextSegment(now, flow)
		if !ok {
			heap.Remove(&c.due, flow.heapIndex)
			continue
		}
		heap.Fix(&c.due, flow.heapIndex)
		segments = append(segments, segment)
	}
	return segments, time.Hour
}

// nextSegment returns the segment that a flow sends now and sets the time at
// which it is sent again. It returns false if the flow sends nothing any more.
func (c *Caller) nextSegment(now time.Time, flow *callerFlow) (Segment, bool) {
	if !flow.state.live() {
		return Segment{}, false
	}
	if !flow.waiting {
		flow.startNextSegment(now)
	}
	if flow.attempts >= c.attempts {
		flow.state = stateAfterTimeout(flow.state)
		return Segment{}, false
	}
	if flow.attempts > 0 {
		c.counts.retries++
	} else if flow.state == FlowOpen {
		c.counts.requests++
	}
	flow.dueAt = now.Add(min(firstRetryInterval<<flow.attempts, maxRetryInterval))
	flow.attempts++
	c.counts.segments++
	return flow.segment(), true
}

// stateAfterTimeout returns the state of a flow that got no reply to any attempt.
func stateAfterTimeout(state FlowState) FlowState {
	switch state {
	case FlowOpening:
		return FlowRefused
	case FlowClosing:
		return FlowClosed
	default:
		return FlowSilent
	}
}
