package hickoryflow

import "hickoryworks/core/hickorymodel"

// markLapsed removes a flow that was never answered from the gate's count and
// keeps its record.
func (t *Tracker) markLapsed(now hickorymodel.Instant, r *record) {
	if r.state == flowOpening {
		t.gate.AbortOpening()
	}
	t.uncount(r)
	r.state = flowLapsed
	t.lapsedCount++
	t.lapsed.push(r.key, now)
}

// admitLapsed admits a lapsed flow again. A packet other than a first packet
// shows that the upstream did answer, so the flow is open already.
func (t *Tracker) admitLapsed(now hickorymodel.Instant, r *record, first bool) bool {
	if !first {
		t.gate.Restore()
		r.coldResets = t.gate.ColdResets()
		t.lapsedCount--
		r.state = flowUnanswered
		return true
	}
	if !t.gate.TryOpen(now) {
		return false
	}
	r.coldResets = t.gate.ColdResets()
	t.lapsedCount--
	r.state = flowOpening
	t.openings.push(r.key, now)
	return true
}

// evictLapsed frees a record of a full table by ending the oldest lapsed flow.
func (t *Tracker) evictLapsed(now hickorymodel.Instant) {
	for t.flows.len() >= t.flows.capacity {
		key, ok := t.lapsed.popBefore(now, 0)
		if !ok {
			return
		}
		if r := t.flows.find(&key); r != nil && r.state == flowLapsed {
			t.end(r)
		}
	}
}

// pruneLapsed removes queue entries that are older than lapsedIdleTime. The
// sweep ends the flows that lapsed so long ago.
func (t *Tracker) pruneLapsed(now hickorymodel.Instant) {
	for {
		if _, ok := t.lapsed.popBefore(now, lapsedIdleTime); !ok {
			return
		}
	}
}
