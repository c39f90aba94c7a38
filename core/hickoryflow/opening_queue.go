package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

// openingQueue holds flow keys in the order of the times at which they were
// added. The tracker has one queue for openings and one for lapsed flows.
type openingQueue struct {
	entries []opening
}

// opening is a queued flow key. openedAt is the time at which it was added.
type opening struct {
	key      hickorymodel.FlowKey
	openedAt hickorymodel.Instant
}

func (q *openingQueue) push(key hickorymodel.FlowKey, now hickorymodel.Instant) {
	q.entries = append(q.entries, opening{key: key, openedAt: now})
}

// popBefore removes and returns the first entry if its age has reached the
// timeout.
func (q *openingQueue) popBefore(now hickorymodel.Instant, timeout time.Duration) (hickorymodel.FlowKey, bool) {
	if len(q.entries) == 0 || now.Sub(q.entries[0].openedAt) < timeout {
		return hickorymodel.FlowKey{}, false
	}
	key := q.entries[0].key
	q.entries = q.entries[1:]
	return key, true
}

// timeOutOpenings reports openings to the gate that the upstream has not
// answered within the opening timeout.
func (t *Tracker) timeOutOpenings(now hickorymodel.Instant) {
	for {
		key, ok := t.openings.popBefore(now, t.service.OpeningTimeout)
		if !ok {
			t.gate.Advance(now)
			return
		}
		r := t.flows.find(&key)
		if r != nil && r.state == flowOpening {
			r.state = flowUnanswered
			t.gate.TimeOut(now)
		}
	}
}
