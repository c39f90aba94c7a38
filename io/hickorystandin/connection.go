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

// connection is one TCP connection of an upstream, guarded by the upstream's mutex.
type connection struct {
	key hickorymodel.FlowKey
	// opened is true once the upstream has accepted the connection.
	opened bool
	// lastRequest is the highest request id received; lastReply is the encoded
	// reply to it, or nil if it is still in progress.
	lastRequest hickorypayload.RequestNumber
	lastReply   []byte
}

// replySegment returns an empty segment from the upstream to the caller.
func (c *connection) replySegment() Segment {
	return Segment{Source: c.key.Destination.AddrPort(), Destination: c.key.Source.AddrPort(), ACK: true}
}

// handleSegment is the TCP state machine of the server. It returns the segment to
// reply with at once, or false if there is none.
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

// handleUnknown handles a segment that belongs to no open connection. A first packet
// opens one unless the upstream is full; other segments get a reset.
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

// openingReply returns the SYN segment that accepts a connection. Its payload
// contains the id of the upstream, so that a caller can tell which upstream owns
// its flow before the first request gets its reply.
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

// handleRequest handles a request. A retransmitted request is not run again: it
// gets the stored reply, as with TCP.
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

// storeReply stores the reply to a request, from which retransmissions of the
// request are replied to as well.
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

// responseRepeats is the number of times that a response body repeats the id of
// its request.
const responseRepeats = 4

// responseBody returns the body of the complete response to a request. It depends
// on the id only, so that a caller detects a truncated or foreign response.
func responseBody(id hickorypayload.RequestNumber) string {
	return strings.Repeat(fmt.Sprintf("%016x", int(id)), responseRepeats)
}

// closeConnection closes a connection and removes its queued work.
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

// cancel removes a queued request that has not started and stores the reply that
// it was not run.
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
