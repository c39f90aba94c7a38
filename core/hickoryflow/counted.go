package hickoryflow

import "hickoryworks/core/hickorymodel"

// recordActivity records a packet of an owned flow and counts the flow at the
// gate again if a cold reset has removed it from the count.
func (t *Tracker) recordActivity(now hickorymodel.Instant, r *record) {
	r.lastSeen = now
	t.recount(r)
}

// recount counts a flow at the gate that was last counted before the latest
// cold reset.
func (t *Tracker) recount(r *record) {
	if r.coldResets != t.gate.ColdResets() {
		r.coldResets = t.gate.ColdResets()
		t.gate.Recount()
		if r.state == flowClosing {
			t.gate.BeginClose()
		}
	}
}

// uncount removes a flow from the gate's count, unless a cold reset has done
// so. A later recordActivity counts the flow again.
func (t *Tracker) uncount(r *record) {
	switch {
	case r.coldResets != t.gate.ColdResets():
	case r.state == flowClosing:
		t.gate.EndClose()
	default:
		t.gate.Close()
	}
	r.coldResets = t.gate.ColdResets() - 1
}
