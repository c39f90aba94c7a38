package hickoryflow

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// handleOwned delivers a packet of an owned flow to the upstream.
func (t *Tracker) handleOwned(now hickorymodel.Instant, p *Packet, r *record) {
	if !t.admitAgain(now, p, r) {
		t.drop(p, hickorymessage.DropReasonOverloaded)
		return
	}
	t.recordActivity(now, r)
	if !p.First {
		t.markAnswered(now, r)
	}
	if p.Closing {
		t.startClosing(r)
	}
	t.registerAtHome(now, p, r)
	t.deliver(p, r)
}

// admitAgain asks the gate to admit a lapsed flow, or a new flow with the key
// of a closing one. Other flows need no admission.
func (t *Tracker) admitAgain(now hickorymodel.Instant, p *Packet, r *record) bool {
	switch {
	case r.state == flowLapsed:
		return t.admitLapsed(now, r, p.First)
	case r.state == flowClosing && p.First:
		return t.reopen(now, r)
	default:
		return true
	}
}

// reopen admits a new flow with the key of a closing one. If the gate refuses
// it, the new flow must wait until the closing one has ended: offered to
// another agent, a first packet that is only a retransmission would reach a
// second upstream.
func (t *Tracker) reopen(now hickorymodel.Instant, r *record) bool {
	t.uncount(r)
	if !t.gate.TryOpen(now) {
		t.recordActivity(now, r)
		return false
	}
	r.coldResets = t.gate.ColdResets()
	t.counts.Ended++
	r.state = flowOpening
	r.exportedIn = 0
	r.openedAt = now
	t.openings.push(r.key, now)
	return true
}

// startClosing marks a flow as closing. If the flow has not been answered, its
// opening is removed from the gate's count; otherwise it would count against
// the opening limit permanently.
func (t *Tracker) startClosing(r *record) {
	if r.state == flowClosing {
		return
	}
	if r.state == flowOpening {
		t.gate.AbortOpening()
	}
	if r.coldResets == t.gate.ColdResets() {
		t.gate.BeginClose()
	}
	r.state = flowClosing
	r.exportedIn = 0
}

// HandleAnswer records that the upstream sent something on a flow. The actions
// are valid until the next call.
func (t *Tracker) HandleAnswer(now hickorymodel.Instant, key hickorymodel.FlowKey) []Action {
	t.begin(now)
	if r := t.flows.find(&key); r != nil {
		t.recordActivity(now, r)
		t.markAnswered(now, r)
	}
	return t.actions
}

// markAnswered records evidence that the upstream answered. The first evidence
// completes the flow's opening.
func (t *Tracker) markAnswered(now hickorymodel.Instant, r *record) {
	switch r.state {
	case flowOpening:
		t.gate.Complete(now)
		// After the answer to a probe the gate resets to cold, which removes
		// all flows from its count. The flow of the probe is counted again.
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
