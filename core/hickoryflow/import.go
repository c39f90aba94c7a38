package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// Import adds flows of the predecessor and returns the number of those that it
// left out because they are invalid or the table is full. SetService must have
// been called before.
func (t *Tracker) Import(now hickorymodel.Instant, flows []hickorymessage.TransferredFlow) int {
	skipped := 0
	for i := range flows {
		if !t.importFlow(now, &flows[i]) {
			skipped++
		}
	}
	return skipped
}

func (t *Tracker) importFlow(now hickorymodel.Instant, flow *hickorymessage.TransferredFlow) bool {
	key, err := hickorymodel.ParseFlowKey(flow.Flow)
	if err != nil {
		return false
	}
	lastSeen := now.Add(-time.Duration(flow.IdleMillis) * time.Millisecond)
	r := record{
		key:          key,
		lastSeen:     lastSeen,
		openedAt:     lastSeen,
		certainSince: now, // the predecessor's ledger of requests is not transferred
		registerAt:   now,
		state:        importedState(flow.State),
	}
	if known := t.flows.find(&key); known != nil {
		t.uncountReplaced(known)
		t.countImported(&r)
		*known = r
		return true
	}
	t.countImported(&r)
	if !t.flows.insert(r) {
		t.uncount(&r)
		return false
	}
	return true
}

// countImported counts an imported flow at the gate.
func (t *Tracker) countImported(r *record) {
	t.gate.Restore()
	r.coldResets = t.gate.ColdResets()
	if r.state == flowClosing {
		t.gate.BeginClose()
	}
}

// uncountReplaced removes a flow from the gate's count before its record is
// replaced by a transferred one.
func (t *Tracker) uncountReplaced(r *record) {
	if r.state == flowOpening {
		t.gate.AbortOpening()
	}
	t.uncount(r)
}

// importedState returns flowUnanswered for an opening, since the gate counts
// only the openings that it has admitted itself.
func importedState(state hickorymessage.TransferredState) flowState {
	switch state {
	case hickorymessage.TransferredStateEstablished:
		return flowEstablished
	case hickorymessage.TransferredStateClosing:
		return flowClosing
	default:
		return flowUnanswered
	}
}

// FinishImport applies what comes with the last part of a transfer: the owners
// of other flows and the opening limit. The upstream has not restarted, so it
// is not cold.
func (t *Tracker) FinishImport(now hickorymodel.Instant, redirects []hickorymessage.TransferredRedirect, openingLimit int) {
	t.gate.RestoreLimit(openingLimit)
	for _, redirect := range redirects {
		key, keyErr := hickorymodel.ParseFlowKey(redirect.Flow)
		owner, ownerErr := hickorymodel.ParseEndpoint(redirect.Owner)
		if keyErr != nil || ownerErr != nil || t.isSelf(owner) || t.flows.find(&key) != nil {
			continue
		}
		t.redirects.putUntil(now, key, owner, now.Add(time.Duration(redirect.LifeMillis)*time.Millisecond))
	}
}
