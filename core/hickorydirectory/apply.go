package hickorydirectory

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// Apply takes an answer of the store and reports whether the view has changed.
func (d *Directory) Apply(now hickorymodel.Instant, batch *Batch) bool {
	if d.storeLost {
		d.storeLost = false
		d.storeBackAt = now
	}
	return d.apply(now, batch)
}

// apply takes changes, whoever tells them.
func (d *Directory) apply(now hickorymodel.Instant, batch *Batch) bool {
	before := d.serial
	for i := range batch.Changes {
		d.applyChange(now, &batch.Changes[i])
	}
	if batch.Complete {
		d.removeUnnamed(now, batch)
		if !d.listed {
			d.listed = true
			d.serial++
		}
	}
	d.through = max(d.through, batch.Through)
	return d.serial != before
}

func (d *Directory) applyChange(now hickorymodel.Instant, change *Change) {
	switch {
	case change.Table != nil:
		d.setTable(change.Table)
	case change.Upstream != nil:
		d.setUpstream(now, change.Upstream)
	case change.Removed != nil:
		d.remove(now, change.Removed.ID, Revision(change.Removed.Revision))
	case change.Zone != nil:
		d.setZone(now, change.Zone)
	}
}

// setTable takes a configuration with a higher version. Versions never go back.
func (d *Directory) setTable(table *hickorymessage.RouteTable) {
	if table.Version <= d.Version() {
		return
	}
	d.table = table
	d.serial++
}

func (d *Directory) setUpstream(now hickorymodel.Instant, entry *hickorymessage.ListedUpstream) {
	endpoint, err := hickorymodel.ParseEndpoint(entry.Endpoint)
	if err != nil {
		return
	}
	record, known := d.upstreams[entry.ID]
	if known && Revision(entry.Revision) <= record.revision {
		return
	}
	next := &upstreamRecord{listed: *entry, revision: Revision(entry.Revision), endpoint: endpoint}
	if !known && Revision(entry.Revision) <= d.through {
		next.removedAt = now // the changes up to through have removed it
	}
	if left := entry.ColdTime.Value(); left > 0 {
		next.coldUntil = now.Add(left)
	}
	d.upstreams[entry.ID] = next
	d.serial++
}

func (d *Directory) remove(now hickorymodel.Instant, id hickoryid.UpstreamID, revision Revision) {
	record, known := d.upstreams[id]
	if !known {
		// An older entry may still arrive from another balancer.
		d.upstreams[id] = &upstreamRecord{revision: revision, removedAt: now}
		return
	}
	if revision <= record.revision {
		return
	}
	record.revision = revision
	if record.removedAt != 0 {
		return
	}
	record.removedAt = now
	if d.mayHaveLapsed(now) {
		record.lapsesAt = d.storeBackAt.Add(lapseGrace)
	}
	d.serial++
}

// mayHaveLapsed reports whether a removal may stand for a list that lost the
// entry while the store was away.
func (d *Directory) mayHaveLapsed(now hickorymodel.Instant) bool {
	return d.storeBackAt != 0 && now.Before(d.storeBackAt.Add(lapseGrace))
}

func (d *Directory) setZone(now hickorymodel.Instant, mark *hickorymessage.ZoneMark) {
	record, known := d.zones[mark.Zone]
	if known && mark.Revision <= record.mark.Revision {
		return
	}
	if !known && mark.Excluded && Revision(mark.Revision) <= d.through {
		return // the changes up to through have ended it
	}
	next := &zoneRecord{mark: *mark}
	if known {
		next.returnedAt = record.returnedAt
		if record.mark.Excluded && !mark.Excluded {
			next.returnedAt = now
		}
	}
	d.zones[mark.Zone] = next
	d.serial++
}

// removeUnnamed removes what a listing does not name.
func (d *Directory) removeUnnamed(now hickorymodel.Instant, batch *Batch) {
	named := map[hickoryid.UpstreamID]bool{}
	marked := map[hickoryid.ZoneName]bool{}
	for i := range batch.Changes {
		change := &batch.Changes[i]
		if change.Upstream != nil {
			named[change.Upstream.ID] = true
		}
		if change.Zone != nil {
			marked[change.Zone.Zone] = true
		}
	}
	for id := range d.upstreams {
		if !named[id] {
			d.remove(now, id, batch.Through)
		}
	}
	for zone, record := range d.zones {
		if !marked[zone] && record.mark.Excluded {
			d.setZone(now, &hickorymessage.ZoneMark{Zone: zone, Revision: int(batch.Through)})
		}
	}
}
