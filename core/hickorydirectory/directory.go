package hickorydirectory

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// lapseGrace is how long entries that vanished while the store was away are
	// kept: upstreams that live have renewed them two seconds after its return.
	lapseGrace = 2500 * time.Millisecond
	// retention is how long removed entries are remembered: the longest life of
	// a flow, and some seconds of delay.
	retention = 75 * time.Second
	// returnSlack is added to the cold start of a zone's upstreams after its
	// return, for entries that arrive late.
	returnSlack = time.Second
)

// Directory holds the published state. One goroutine uses it.
type Directory struct {
	table *hickorymessage.RouteTable
	// upstreams and zones grow with the published state; removed upstreams leave
	// after retention.
	upstreams map[hickoryid.UpstreamID]*upstreamRecord
	zones     map[hickoryid.ZoneName]*zoneRecord
	// through is the highest revision known to be complete.
	through Revision
	// storeLost is true from the first failed call of the store to the next answer.
	storeLost bool
	// storeBackAt is when the store last answered again; 0 if it never failed.
	storeBackAt hickorymodel.Instant
	// listed is true once the store or a peer has told the whole state.
	listed bool
	// serial rises with each change of the state.
	serial uint64
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		upstreams: map[hickoryid.UpstreamID]*upstreamRecord{},
		zones:     map[hickoryid.ZoneName]*zoneRecord{},
	}
}

// StateComplete reports whether the directory holds a configuration and a whole list.
func (d *Directory) StateComplete() bool {
	return d.listed && d.table != nil
}

// Version returns the version of the configuration, or 0.
func (d *Directory) Version() int {
	if d.table == nil {
		return 0
	}
	return d.table.Version
}

// Through returns the highest revision known to be complete.
func (d *Directory) Through() Revision {
	return d.through
}

// StoreFailed notes that the store does not answer.
func (d *Directory) StoreFailed() {
	d.storeLost = true
}

// Tick drops what is no longer needed and reports whether the view has changed.
func (d *Directory) Tick(now hickorymodel.Instant) bool {
	changed := false
	for id, record := range d.upstreams {
		if record.removedAt == 0 {
			continue
		}
		if record.lapsesAt != 0 && !now.Before(record.lapsesAt) {
			record.lapsesAt = 0
			changed = true
		}
		if now.Sub(record.removedAt) > retention {
			delete(d.upstreams, id)
			changed = true
		}
	}
	return changed
}
