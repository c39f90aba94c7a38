package hickoryflow

import "hickoryworks/core/hickorymodel"

// markAlive notes a packet of an owned flow. After a fall of the gate the flow
// counts again.
func (t *Tracker) markAlive(now hickorymodel.Instant, r *record) {
	r.lastSeen = now
	t.recount(r)
}

// recount counts a flow again that was counted before the last fall.
func (t *Tracker) recount(r *record) {
	if r.falls != t.gate.ColdResets() {
		r.falls = t.gate.ColdResets()
		t.gate.Recount()
		if r.state == flowClosing {
			t.gate.BeginClose()
		}
	}
}

// uncount gives back the room of a flow, unless a fall of the gate has done so.
// A later markAlive counts the flow again.
func (t *Tracker) uncount(r *record) {
	switch {
	case r.falls != t.gate.ColdResets():
	case r.state == flowClosing:
		t.gate.EndClose()
	default:
		t.gate.Close()
	}
	r.falls = t.gate.ColdResets() - 1
}
