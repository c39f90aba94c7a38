package hickoryflow

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// handleOwned hands a packet of an owned flow to the upstream.
func (t *Tracker) handleOwned(now hickorymodel.Instant, p *Packet, r *record) {
	if !t.readmit(now, p, r) {
		t.drop(p, hickorymessage.DropReasonOverloaded)
		return
	}
	t.markAlive(now, r)
	if !p.First {
		t.markAnswered(now, r)
	}
	if p.Closing {
		t.startClosing(r)
	}
	t.tellHome(now, p, r)
	t.deliver(p, r)
}

// readmit asks the gate for flows that no longer have room there.
func (t *Tracker) readmit(now hickorymodel.Instant, p *Packet, r *record) bool {
	switch {
	case r.state == flowLapsed:
		return t.revive(now, r, p.First)
	case r.state == flowClosing && p.First:
		return t.reopen(now, r)
	default:
		return true
	}
}

// reopen admits a new flow with the key of a closing one. The new flow stays
// with this upstream or waits until the closing one has ended, since a first
// packet that was only repeated must not reach a second upstream.
func (t *Tracker) reopen(now hickorymodel.Instant, r *record) bool {
	t.uncount(r)
	if !t.gate.TryOpen(now) {
		t.markAlive(now, r)
		return false
	}
	r.falls = t.gate.ColdResets()
	t.counts.Ended++
	r.state = flowOpening
	r.exportedIn = 0
	r.openedAt = now
	t.openings.push(r.key, now)
	return true
}

// startClosing gives back the opening of a flow that ends before it was
// answered; otherwise it would count against the opening limit for good.
func (t *Tracker) startClosing(r *record) {
	if r.state == flowClosing {
		return
	}
	if r.state == flowOpening {
		t.gate.AbortOpening()
	}
	if r.falls == t.gate.ColdResets() {
		t.gate.BeginClose()
	}
	r.state = flowClosing
	r.exportedIn = 0
}

// HandleAnswer records that the upstream sent something on a flow. The actions are
// valid until the next call.
func (t *Tracker) HandleAnswer(now hickorymodel.Instant, key hickorymodel.FlowKey) []Action {
	t.begin(now)
	if r := t.flows.find(&key); r != nil {
		t.markAlive(now, r)
		t.markAnswered(now, r)
	}
	return t.actions
}

// markAnswered completes an opening.
func (t *Tracker) markAnswered(now hickorymodel.Instant, r *record) {
	switch r.state {
	case flowOpening:
		t.gate.Complete(now)
		// The answer to a probe makes the gate fall; this flow is not a lost one.
		t.recount(r)
	case flowUnanswered:
		t.gate.RecordActivity(now)
	default:
		t.gate.RecordActivity(now)
		return
	}
	r.state = flowEstablished
	t.counts.Opened++
	t.actions = append(t.actions, Action{Verb: VerbMeasure, Elapsed: now.Sub(r.openedAt)})
}
