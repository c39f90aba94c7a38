package hickorydirectory

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// expiryGrace is how long entries stay in use that are gone when the store
	// becomes available again. They may have expired meanwhile; running upstreams
	// have renewed them two seconds after the return.
	expiryGrace = 2500 * time.Millisecond
	// retention is how long a removed entry is kept: the longest life of a flow,
	// and some seconds of delay.
	retention = 75 * time.Second
	// zoneReturnSlack is added to the cold start of a zone's upstreams when the
	// zone returns to service, because their entries may arrive late.
	zoneReturnSlack = time.Second
)

// Directory holds a copy of the published state. It is not safe for concurrent use;
// one goroutine owns it.
type Directory struct {
	table *hickorymessage.RouteTable
	// history has the last configurations, so that others get only what has changed.
	history tableHistory
	// routes are those of a view of table.
	routes viewRoutes
	// tableReadAt and tableUnusableAt are the highest revisions known of a configuration
	// that can be used and of one that can't.
	tableReadAt     Revision
	tableUnusableAt Revision
	// tableMarkedAt is the revision by which another balancer had marked table; 0 for
	// never.
	tableMarkedAt Revision
	// upstreams and zones grow with the published state; removed upstreams are
	// deleted after retention.
	upstreams map[hickoryid.UpstreamID]*upstreamRecord
	zones     map[hickoryid.ZoneName]*zoneRecord
	// position says up to which revisions all changes are known; its version is not used.
	position Position
	// forgottenThrough is the highest revision of a removal that was deleted after
	// retention. Changes since an earlier one cannot be listed any more.
	forgottenThrough Revision
	// storeLost is true from the first failed call to the store until its next
	// answer.
	storeLost bool
	// storeRestoredAt is when the store last answered again after a failure; 0 if
	// it has never failed.
	storeRestoredAt hickorymodel.Instant
	// settledAt is the time from which an upstream without an entry is known to have
	// ended; 0 while that is not known. A directory that has just been created does not
	// have the entries that expired before while the store was not available.
	settledAt hickorymodel.Instant
	// hasList is true once the store or another balancer has sent a complete
	// listing.
	hasList bool
	// changeCount rises with each change of the state.
	changeCount uint64
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		upstreams: map[hickoryid.UpstreamID]*upstreamRecord{},
		zones:     map[hickoryid.ZoneName]*zoneRecord{},
	}
}

// StateComplete reports whether the directory has a configuration and a complete
// listing.
func (d *Directory) StateComplete() bool {
	return d.hasList && d.table != nil
}

// Settled reports whether the directory has all upstreams that may run. Without a
// complete state it sends none to other balancers, so that they could not get these.
func (d *Directory) Settled(now hickorymodel.Instant) bool {
	return d.StateComplete() && d.settledAt != 0 && !now.Before(d.settledAt)
}

// Settle records that the directory has the whole state of another balancer whose
// directory is settled, and reports whether the view has changed.
func (d *Directory) Settle(now hickorymodel.Instant) bool {
	if d.Settled(now) {
		return false
	}
	d.settledAt = now
	d.changeCount++
	return true
}

// Version returns the version of the configuration, or 0.
func (d *Directory) Version() int {
	if d.table == nil {
		return 0
	}
	return d.table.Version
}

// Through returns the highest revision up to which all changes of the list of upstreams
// are known.
func (d *Directory) Through() Revision {
	return d.position.Upstreams
}

// Position returns up to which revisions all changes are known, and the version of the
// configuration.
func (d *Directory) Position() Position {
	position := d.position
	position.Version = d.Version()
	return position
}

// StoreFailed records that a call to the store has failed.
func (d *Directory) StoreFailed() {
	d.storeLost = true
}

// Tick deletes removed upstreams after retention, ends the use of those whose
// expiryGrace is over, and reports whether the view has changed.
func (d *Directory) Tick(now hickorymodel.Instant) bool {
	changed := false
	for id, record := range d.upstreams {
		if record.removedAt == 0 {
			continue
		}
		if record.usableUntil != 0 && !now.Before(record.usableUntil) {
			record.usableUntil = 0
			changed = true
		}
		if now.Sub(record.removedAt) > retention {
			d.forgottenThrough = max(d.forgottenThrough, record.revision)
			delete(d.upstreams, id)
			changed = true
		}
	}
	return changed
}
