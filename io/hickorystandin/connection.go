package hickorystandin

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorypayload"
)

// connection is one TCP connection of an upstream. The upstream's mutex guards it.
type connection struct {
	key hickorymodel.FlowKey
	// opened is true once the upstream has accepted the connection.
	opened bool
	// last is the highest request received; lastReply is nil until it is answered.
	lastRequest hickorypayload.RequestNumber
	lastReply   []byte
}

// answer returns a segment from the upstream to the connection's caller.
func (c *connection) replySegment() Segment {
	return Segment{Source: c.key.Destination.AddrPort(), Destination: c.key.Source.AddrPort(), ACK: true}
}

// take plays the server's TCP state machine and returns what is answered at once.
func (u *Upstream) handleSegment(key hickorymodel.FlowKey, number hickoryid.ServiceNumber, segment *Segment) (Segment, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if number != u.config.Number {
		u.counts.Foreign++
	}
	c := u.connections[key]
	if c == nil {
		c = &connection{key: key}
		return u.handleUnknown(time.Now(), c, segment)
	}
	reply := c.replySegment()
	switch {
	case segment.RST:
		u.closeConnection(c)
		return reply, false
	case segment.SYN:
		return u.openingReply(c), c.opened
	case segment.FIN:
		u.closeConnection(c)
		reply.FIN = true
		return reply, true
	case len(segment.Payload) > 0 && c.opened:
		return u.handleRequest(time.Now(), c, segment.Payload)
	default:
		return reply, false
	}
}

// takeUnknown handles a segment of no open connection.
func (u *Upstream) handleUnknown(now time.Time, c *connection, segment *Segment) (Segment, bool) {
	reply := c.replySegment()
	if segment.RST {
		return reply, false
	}
	if !segment.SYN {
		reply.RST = true
		u.counts.Resets++
		return reply, true
	}
	u.counts.recordOpening(now, u.drainedAt)
	full := u.config.Connections > 0 && len(u.connections) >= int(u.config.Connections)
	if full || !u.enqueue(now, work{connection: c, opening: true}) {
		u.counts.Shed++
		return reply, false
	}
	u.connections[c.key] = c
	u.recordAccepted(now, c.key)
	u.recordConnections(now)
	return reply, false
}

// openingAnswer accepts a connection. It carries the upstream's name, so that a
// caller knows where its flow ended although no request was answered yet.
func (u *Upstream) openingReply(c *connection) Segment {
	replySegment := c.replySegment()
	replySegment.SYN = true
	replySegment.Payload, _ = json.Marshal(hickorypayload.Reply{
		ID:       1,
		Service:  u.config.Service,
		Upstream: u.config.ID,
		Outcome:  hickorypayload.OutcomeDone,
	})
	return replySegment
}

// takePayload handles a request. A segment that was sent again is answered from
// the connection's record, as TCP does.
func (u *Upstream) handleRequest(now time.Time, c *connection, payload []byte) (Segment, bool) {
	reply := c.replySegment()
	var request hickorypayload.Request
	if json.Unmarshal(payload, &request) != nil {
		return reply, false
	}
	if request.Cancel {
		u.cancel(c, request.ID)
		return reply, false
	}
	if request.ID <= c.lastRequest {
		reply.Payload = c.lastReply
		return reply, request.ID == c.lastRequest && c.lastReply != nil
	}
	c.lastRequest = request.ID
	c.lastReply = nil
	if !u.enqueue(now, work{connection: c, request: request}) {
		u.counts.Refused++
		u.storeReply(c, request.ID, hickorypayload.OutcomeNotRun)
		reply.Payload = c.lastReply
		return reply, true
	}
	return reply, false
}

// finish stores the reply to a request.
func (u *Upstream) storeReply(c *connection, id hickorypayload.RequestNumber, outcome hickorypayload.Outcome) {
	reply := hickorypayload.Reply{
		ID:       id,
		Service:  u.config.Service,
		Upstream: u.config.ID,
		Outcome:  outcome,
	}
	if outcome == hickorypayload.OutcomeDone {
		reply.Body = responseBody(id)
	}
	if c.lastRequest == id {
		c.lastReply, _ = json.Marshal(reply)
	}
}

// responseParts is the number of times that a body repeats its request's id.
const responseRepeats = 4

// responseBody is the complete response to a request.
func responseBody(id hickorypayload.RequestNumber) string {
	return strings.Repeat(fmt.Sprintf("%016x", int(id)), responseRepeats)
}

// end closes a connection and cancels the work that waits for a slot.
func (u *Upstream) closeConnection(c *connection) {
	delete(u.connections, c.key)
	kept := u.queue[:0]
	for _, w := range u.queue {
		if w.connection != c {
			kept = append(kept, w)
		}
	}
	u.queue = kept
}

// cancel removes a request that has not started.
func (u *Upstream) cancel(c *connection, id hickorypayload.RequestNumber) {
	for i, w := range u.queue {
		if w.connection == c && !w.opening && w.request.ID == id {
			u.queue = append(u.queue[:i], u.queue[i+1:]...)
			u.counts.Cancelled++
			u.storeReply(c, id, hickorypayload.OutcomeNotRun)
			return
		}
	}
}
