package hickoryflow

import (
	"maps"
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// maxPause is the longest time between two calls after which this agent
// certainly still owns its flows. An agent that answers nothing is suspected
// after 3 missed probes, one each second, and only then can other agents become
// owners of its flows.
const maxPause = 2 * time.Second

// backlogTime is the time after a pause in which packets that arrived during
// the pause may still be read from the socket. A first packet among them may
// have been delivered to another upstream long before.
const backlogTime = 100 * time.Millisecond

// begin starts the handling of a packet, a message or a tick. After a pause of
// the process it ends the flows whose next packet may be a first one, since
// other agents may own them now. The other flows are checked by queries at their
// next packet, since the caller may have ended one of them and opened a flow
// with the same key.
func (t *Tracker) begin(now hickorymodel.Instant) {
	t.actions = t.actions[:0]
	paused := t.calledAt != 0 && now.Sub(t.calledAt) > maxPause
	t.calledAt = now
	if t.startedAt == 0 || paused {
		t.startedAt = now
	}
	if !paused {
		return
	}
	t.backlogEnd = now.Add(backlogTime)
	t.endFlows(func(r *record) bool {
		mayBeNew := r.key.Protocol == hickorymodel.ProtocolUDP || r.state != flowEstablished
		if mayBeNew {
			t.released.put(now, r.key, t.self)
		}
		return mayBeNew
	})
	for i := range t.flows.records {
		r := &t.flows.records[i]
		r.unchecked = r.state != flowFree
	}
	pending := slices.SortedFunc(maps.Values(t.claims.byKey), func(a, b *claim) int {
		return a.query - b.query
	})
	for _, pending := range pending {
		t.claims.remove(pending)
		t.dropHeld(pending, hickorymessage.DropReasonOwnerUnknown)
	}
}

// handleCheckReply handles the reply of an agent that does not own a flow which
// is checked after a pause. Only a reply of the owner itself ends the check:
// the redirect entries of other agents may be older than this agent's record,
// so the agent that they name is queried too. An agent that claims the flow is
// queried again until it has decided.
func (t *Tracker) handleCheckReply(now hickorymodel.Instant, pending *claim, from hickorymodel.Endpoint, reply *hickorymessage.OwnerReply) {
	if reply.Status == hickorymessage.OwnerStatusClaiming {
		return
	}
	if reply.Owner != nil {
		t.queryAlso(now, pending, []hickoryid.Endpoint{*reply.Owner})
	}
	t.recordNotOwner(now, pending, from, reply)
}
