package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

const (
	// lostWindow is the time within which packets of one lost flow count once.
	lostWindow = 60 * time.Second
	// maxLostFlows limits the memory of lostTable. Above it no further flow is
	// stored, so that repeated packets of that flow count again.
	maxLostFlows = 4096
)

// Counts are the counters of an agent since its start. The auditors' report is
// made of them; docs/measures.md defines each.
type Counts struct {
	// Opened counts flows that the upstream answered.
	Opened int
	// Ended counts opened flows that have ended.
	Ended int
	// Lost counts flows with a dropped packet whose walk has reached no owner.
	Lost int
	// Refused counts first packets dropped because no upstream could take them.
	Refused int
}

// Counts returns the counters.
func (t *Tracker) Counts() Counts {
	return t.counts
}

// lostTable stores the flows that have been counted as lost.
type lostTable struct {
	// seenAt has at most maxLostFlows entries.
	seenAt map[hickorymodel.FlowKey]hickorymodel.Instant
}

// addLost stores a lost flow and reports whether it must be counted, which is
// false if the flow has been counted within lostWindow.
func (l *lostTable) addLost(now hickorymodel.Instant, key hickorymodel.FlowKey) bool {
	seenAt, known := l.seenAt[key]
	if known && now.Sub(seenAt) < lostWindow {
		return false
	}
	if len(l.seenAt) >= maxLostFlows {
		l.expire(now)
	}
	if len(l.seenAt) < maxLostFlows {
		l.seenAt[key] = now
	}
	return true
}

func (l *lostTable) expire(now hickorymodel.Instant) {
	for key, seenAt := range l.seenAt {
		if now.Sub(seenAt) >= lostWindow {
			delete(l.seenAt, key)
		}
	}
}

// countDrop updates the counters of lost flows and refused first packets.
func (t *Tracker) countDrop(now hickorymodel.Instant, p *Packet, reason hickorymessage.DropReason) {
	switch reason {
	case hickorymessage.DropReasonUnknownFlow:
		if t.lost.addLost(now, p.Key) {
			t.counts.Lost++
		}
	case hickorymessage.DropReasonOverloaded,
		hickorymessage.DropReasonFlowTableFull,
		hickorymessage.DropReasonPendingFull,
		hickorymessage.DropReasonOwnerUnknown:
		t.counts.Refused++
	default:
	}
}
