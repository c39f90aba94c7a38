package hickoryflow

import "hickoryworks/core/hickorymodel"

// lapse gives the room of a flow that was never answered back to the gate and
// keeps its record.
func (t *Tracker) lapse(now hickorymodel.Instant, r *record) {
	if r.state == flowOpening {
		t.gate.AbortOpening()
	}
	t.uncount(r)
	r.state = flowLapsed
	t.lapsedCount++
	t.lapsed.push(r.key, now)
}

// revive admits a lapsed flow again. A packet that is no first packet shows that
// the upstream did answer, so the flow is open already.
func (t *Tracker) revive(now hickorymodel.Instant, r *record, first bool) bool {
	if !first {
		t.gate.Restore()
		r.falls = t.gate.ColdResets()
		t.lapsedCount--
		r.state = flowUnanswered
		return true
	}
	if !t.gate.TryOpen(now) {
		return false
	}
	r.falls = t.gate.ColdResets()
	t.lapsedCount--
	r.state = flowOpening
	t.openings.push(r.key, now)
	return true
}

// evictLapsed makes room in a full table, oldest lapsed flow first.
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

// forgetLapsed drops queue entries whose records have ended.
func (t *Tracker) forgetLapsed(now hickorymodel.Instant) {
	for {
		if _, ok := t.lapsed.popBefore(now, lapsedIdleTime); !ok {
			return
		}
	}
}
