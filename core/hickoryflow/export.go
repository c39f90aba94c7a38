package hickoryflow

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// ExportPartFlows is the number of flows in one part of a transfer. The message
// takes about 200 KB, and its records are read within a millisecond.
const ExportPartFlows = 1024

// export is the state of a transfer of the flow table to a successor.
type export struct {
	// number marks the records transferred by this export; 0 marks none.
	number uint16
	// cursor is the position of the last checked record.
	cursor int
}

// BeginExport starts a transfer of all flows, including those that an earlier,
// incomplete transfer has sent.
func (t *Tracker) BeginExport() {
	t.export.cursor = 0
	t.export.number++
	if t.export.number != 0 {
		return
	}
	for i := range t.flows.records {
		t.flows.records[i].exportedIn = 0
	}
	t.export.number = 1
}

// Export returns the next part of the flow table: flows that have not been
// transferred, and those that began to close since. It reports true when no
// flow is left to transfer, which holds until the next packet is handled.
func (t *Tracker) Export(now hickorymodel.Instant) ([]hickorymessage.TransferredFlow, bool) {
	var flows []hickorymessage.TransferredFlow
	for range t.flows.records {
		if len(flows) >= ExportPartFlows {
			return flows, false
		}
		t.export.cursor = (t.export.cursor + 1) % len(t.flows.records)
		r := &t.flows.records[t.export.cursor]
		if r.state == flowFree || r.exportedIn == t.export.number {
			continue
		}
		r.exportedIn = t.export.number
		flows = append(flows, r.transferred(now))
	}
	return flows, true
}

// ExportRedirects returns the redirect entries: the owners of flows that other
// agents own.
func (t *Tracker) ExportRedirects(now hickorymodel.Instant) []hickorymessage.TransferredRedirect {
	redirects := make([]hickorymessage.TransferredRedirect, 0, len(t.redirects.entries))
	for key, entry := range t.redirects.entries {
		if now.Before(entry.endAt) {
			redirects = append(redirects, hickorymessage.TransferredRedirect{
				Flow:       key.Message(),
				Owner:      entry.owner.ID(),
				LifeMillis: int(entry.endAt.Sub(now).Milliseconds()),
			})
		}
	}
	return redirects
}

func (r *record) transferred(now hickorymodel.Instant) hickorymessage.TransferredFlow {
	return hickorymessage.TransferredFlow{
		Flow:       r.key.Message(),
		State:      transferredState(r.state),
		IdleMillis: int(now.Sub(r.lastSeen).Milliseconds()),
	}
}

func transferredState(state flowState) hickorymessage.TransferredState {
	switch state {
	case flowEstablished:
		return hickorymessage.TransferredStateEstablished
	case flowClosing:
		return hickorymessage.TransferredStateClosing
	default:
		return hickorymessage.TransferredStateOpening
	}
}

// RecordRelayed records a packet that is relayed to the successor, so that the
// flows which this agent still counts end when they end at the successor.
func (t *Tracker) RecordRelayed(now hickorymodel.Instant, p *Packet) {
	r := t.flows.find(&p.Key)
	if r == nil {
		return
	}
	t.recordActivity(now, r)
	if !p.First {
		t.markAnswered(now, r)
	}
	if p.Closing {
		t.startClosing(r)
	}
}

// SweepRelayed ends idle flows while all packets are relayed to the successor.
func (t *Tracker) SweepRelayed(now hickorymodel.Instant) {
	t.timeOutOpenings(now)
	if now.Before(t.sweep.nextAt) {
		return
	}
	t.sweep.nextAt = now.Add(sweepInterval)
	for range min(sweepRecords, len(t.flows.records)) {
		t.sweep.cursor = (t.sweep.cursor + 1) % len(t.flows.records)
		if r := &t.flows.records[t.sweep.cursor]; r.state != flowFree {
			t.endIdle(now, r)
		}
	}
}
