// Package hickorymetric exports the metrics of the daemons.
package hickorymetric

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"hickoryworks/schema/hickorymessage"
)

// Drops counts dropped packets by reason.
type Drops struct {
	// counters has an entry for each reason. The map is not changed after NewDrops.
	counters map[hickorymessage.DropReason]*dropCounter
}

type dropCounter struct {
	exported tally.Counter
	total    atomic.Int64
}

// NewDrops returns counters that are exported to a scope, all at 0.
func NewDrops(scope tally.Scope) *Drops {
	counters := map[hickorymessage.DropReason]*dropCounter{}
	for _, reason := range hickorymessage.DropReasons() {
		tagged := scope.Tagged(map[string]string{"reason": string(reason)})
		counters[reason] = &dropCounter{exported: tagged.Counter("packets_dropped")}
	}
	return &Drops{counters: counters}
}

// Add counts one dropped packet. A reason that the schema does not list is ignored.
func (d *Drops) Add(reason hickorymessage.DropReason) {
	if counter, ok := d.counters[reason]; ok {
		counter.exported.Inc(1)
		counter.total.Add(1)
	}
}

// Counts returns the number of packets dropped since the start for each reason that
// has occurred, in the order of the schema.
func (d *Drops) Counts() []hickorymessage.DropCount {
	counts := []hickorymessage.DropCount{}
	for _, reason := range hickorymessage.DropReasons() {
		if total := d.counters[reason].total.Load(); total > 0 {
			counts = append(counts, hickorymessage.DropCount{Reason: reason, Count: int(total)})
		}
	}
	return counts
}
