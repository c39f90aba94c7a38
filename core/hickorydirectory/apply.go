package hickorydirectory

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// Apply applies an answer of the store and reports whether the view has changed.
func (d *Directory) Apply(now hickorymodel.Instant, batch *Batch) bool {
	before := d.changeCount
	listsUpstreams := batch.scope().Contains(ScopeUpstreams)
	if d.storeLost && listsUpstreams {
		d.storeLost = false
		d.storeRestoredAt = now
	}
	if d.settledAt == 0 && listsUpstreams {
		// The store may have become available just now.
		d.settledAt = now.Add(expiryGrace)
		d.changeCount++
	}
	d.apply(now, batch)
	return d.changeCount != before
}

// apply applies changes, from the store or from another balancer.
func (d *Directory) apply(now hickorymodel.Instant, batch *Batch) {
	for i := range batch.Changes {
		d.applyChange(now, &batch.Changes[i])
	}
	if batch.Complete {
		d.removeUnlisted(now, batch)
		if !d.hasList && batch.scope().Contains(ScopeUpstreams|ScopeZones) {
			d.hasList = true
			d.changeCount++
		}
	}
	if batch.Complete || batch.Since <= d.position.Of(batch.scope()) {
		d.position.advance(batch.scope(), batch.Through)
	}
}

func (d *Directory) applyChange(now hickorymodel.Instant, change *Change) {
	switch {
	case change.Table != nil:
		d.setTable(change)
	case change.UnusableTable != 0:
		d.markTableUnusable(change.UnusableTable)
	case change.Upstream != nil:
		d.setUpstream(now, change.Upstream)
	case change.Removed != nil:
		d.markRemoved(now, change.Removed.ID, Revision(change.Removed.Revision), change.Removed.ExpiryTime.Value())
	case change.Unreadable != nil:
		d.markUnreadable(now, change.Unreadable.ID, Revision(change.Unreadable.Revision))
	case change.Zone != nil:
		d.setZone(now, change.Zone)
	}
}

func (d *Directory) setUpstream(now hickorymodel.Instant, entry *hickorymessage.ListedUpstream) {
	endpoint, err := hickorymodel.ParseEndpoint(entry.Endpoint)
	if err != nil {
		return
	}
	record, known := d.upstreams[entry.ID]
	if known && Revision(entry.Revision) < record.revision {
		return
	}
	if known && Revision(entry.Revision) == record.revision && !record.addressUnknown {
		return
	}
	next := &upstreamRecord{listed: *entry, revision: Revision(entry.Revision), endpoint: endpoint}
	if !known && Revision(entry.Revision) <= d.position.Upstreams {
		next.removedAt = now // the changes up to that revision have removed the entry
	}
	if remaining := entry.ColdTime.Value(); remaining > 0 {
		next.coldUntil = now.Add(remaining)
	}
	d.upstreams[entry.ID] = next
	d.changeCount++
}

// markRemoved records that an entry was removed. Expiry is set if another balancer
// still uses the upstream for that time, because the entry may only have expired.
func (d *Directory) markRemoved(now hickorymodel.Instant, id hickoryid.UpstreamID, revision Revision, expiry time.Duration) {
	record, known := d.upstreams[id]
	if !known {
		// An older entry may still arrive from another balancer.
		d.upstreams[id] = &upstreamRecord{revision: revision, removedAt: now}
		return
	}
	// A removal ends an entry of the same revision: balancers of earlier builds take an
	// entry that cannot be parsed for removed.
	if revision < record.revision {
		return
	}
	record.revision = revision
	record.addressUnknown = false
	if record.removedAt != 0 {
		return
	}
	record.removedAt = now
	switch {
	case expiry > 0:
		record.usableUntil = now.Add(expiry)
	case d.mayHaveExpired(now):
		record.usableUntil = d.storeRestoredAt.Add(expiryGrace)
	default:
	}
	d.changeCount++
}

// markUnreadable records that an entry can't be parsed any more. Its upstream gets no
// new flows, but it may run and hold flows: another writer may have replaced the entry.
func (d *Directory) markUnreadable(now hickorymodel.Instant, id hickoryid.UpstreamID, revision Revision) {
	record, known := d.upstreams[id]
	if !known || record.endpoint.IsZero() {
		unknown := !known || record.addressUnknown
		d.markRemoved(now, id, revision, 0)
		d.upstreams[id].addressUnknown = unknown
		return
	}
	if revision < record.revision || (record.removedAt != 0 && revision == record.revision) {
		return
	}
	next := *record
	next.removedAt, next.usableUntil = 0, 0
	next.revision = revision
	next.listed.Revision = int(revision)
	next.listed.Leaving = true
	d.upstreams[id] = &next
	d.changeCount++
}

// mayHaveExpired reports whether an entry may have been removed only because it
// expired while the store was not available and its upstream could not renew it.
func (d *Directory) mayHaveExpired(now hickorymodel.Instant) bool {
	return d.storeRestoredAt != 0 && now.Before(d.storeRestoredAt.Add(expiryGrace))
}

func (d *Directory) setZone(now hickorymodel.Instant, mark *hickorymessage.ZoneMark) {
	record, known := d.zones[mark.Zone]
	if known && mark.Revision <= record.mark.Revision {
		return
	}
	if !known && mark.Excluded && Revision(mark.Revision) <= d.position.Zones {
		return // the changes up to that revision have ended the exclusion
	}
	next := &zoneRecord{mark: *mark}
	if known {
		next.returnedAt = record.returnedAt
		if record.mark.Excluded && !mark.Excluded {
			next.returnedAt = now
		}
	}
	d.zones[mark.Zone] = next
	d.changeCount++
}

// removeUnlisted removes upstreams and ends zone exclusions that a complete listing of
// these parts does not contain.
func (d *Directory) removeUnlisted(now hickorymodel.Instant, batch *Batch) {
	if batch.scope().Contains(ScopeUpstreams) {
		d.removeUnlistedUpstreams(now, batch)
	}
	if batch.scope().Contains(ScopeZones) {
		d.returnUnlistedZones(now, batch)
	}
}

func (d *Directory) removeUnlistedUpstreams(now hickorymodel.Instant, batch *Batch) {
	listed := map[hickoryid.UpstreamID]bool{}
	for i := range batch.Changes {
		change := &batch.Changes[i]
		if change.Upstream != nil {
			listed[change.Upstream.ID] = true
		}
		if change.Unreadable != nil {
			listed[change.Unreadable.ID] = true
		}
	}
	for id := range d.upstreams {
		if !listed[id] {
			d.markRemoved(now, id, batch.Through, 0)
		}
	}
}

func (d *Directory) returnUnlistedZones(now hickorymodel.Instant, batch *Batch) {
	listedZones := map[hickoryid.ZoneName]bool{}
	for i := range batch.Changes {
		if mark := batch.Changes[i].Zone; mark != nil {
			listedZones[mark.Zone] = true
		}
	}
	for zone, record := range d.zones {
		if !listedZones[zone] && record.mark.Excluded {
			d.setZone(now, &hickorymessage.ZoneMark{Zone: zone, Revision: int(batch.Through)})
		}
	}
}
