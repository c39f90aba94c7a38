package hickorydirectory

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// Digest returns a hash of the revisions of all records, and of what is not known of
// them. Two directories with the same digest hold the same state.
func (d *Directory) Digest() string {
	hash := xxhash.New()
	add := func(name string, revision int) {
		_, _ = hash.WriteString(name + " " + strconv.Itoa(revision) + "\n")
	}
	add("table", d.Version())
	if d.table != nil && (d.table.RoutesLeftOut || d.newestTableUnusable()) {
		add("routes left out", 0)
	}
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		record := d.upstreams[id]
		add(string(id), int(record.revision))
		if record.addressUnknown {
			add("address of "+string(id), 0)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(d.zones)) {
		add(string(zone), d.zones[zone].mark.Revision)
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

// Export returns the whole state for another balancer, or nil while the state is
// not complete.
func (d *Directory) Export(now hickorymodel.Instant) *hickorymessage.DirectoryState {
	state := d.exportRecords(now, 0)
	if state != nil {
		state.Table = d.markedTable()
		state.TableRevision = int(d.position.Table)
	}
	return state
}

// ExportChanges returns the upstreams and zones that another balancer lacks which is at a
// position. It returns nil if there is nothing to tell it. The configuration is
// exchanged on its own, since it can take much longer.
func (d *Directory) ExportChanges(now hickorymodel.Instant, from Position) *hickorymessage.DirectoryState {
	if !d.StateComplete() {
		return nil
	}
	tableNews := from.Table < d.position.Table && !d.TableDue(from)
	news := d.HasChanges(from) || from.Zones < d.position.Zones || tableNews
	if !news {
		return nil
	}
	since := from.Upstreams
	if since < d.forgottenThrough {
		since = 0
	}
	state := d.exportRecords(now, since)
	if tableNews {
		state.TableRevision = int(d.position.Table)
	}
	return state
}

// HasChanges reports whether the lists of upstreams and zones have changes after a
// position.
func (d *Directory) HasChanges(from Position) bool {
	return d.StateComplete() && (from.Upstreams < d.position.Upstreams || from.Zones < min(d.newestZoneMark(), d.position.Zones))
}

// newestZoneMark returns the revision of the newest mark of a zone.
func (d *Directory) newestZoneMark() Revision {
	newest := Revision(0)
	for _, record := range d.zones {
		newest = max(newest, Revision(record.mark.Revision))
	}
	return newest
}

// exportRecords returns the upstreams that are newer than a revision, and all zones.
func (d *Directory) exportRecords(now hickorymodel.Instant, since Revision) *hickorymessage.DirectoryState {
	if !d.StateComplete() {
		return nil
	}
	state := &hickorymessage.DirectoryState{
		Revision:      int(d.position.Upstreams),
		Since:         int(since),
		ZonesRevision: int(d.position.Zones),
		Upstreams:     []hickorymessage.ListedUpstream{},
		Removed:       []hickorymessage.RemovedUpstream{},
		Zones:         []hickorymessage.ZoneMark{},
	}
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		record := d.upstreams[id]
		if record.revision <= since && since > 0 {
			continue
		}
		if record.removedAt == 0 || now.Before(record.usableUntil) {
			entry := record.listed
			entry.ColdTime = hickoryid.NewDuration(record.coldUntil.Sub(now))
			state.Upstreams = append(state.Upstreams, entry)
		}
		if record.removedAt != 0 {
			expiry := hickoryid.NewDuration(record.usableUntil.Sub(now))
			state.Removed = append(state.Removed, hickorymessage.RemovedUpstream{ID: id, Revision: int(record.revision), ExpiryTime: expiry})
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(d.zones)) {
		state.Zones = append(state.Zones, d.zones[zone].mark)
	}
	return state
}

// Merge applies the state of another balancer, or its changes since a revision, and
// reports whether the view has changed.
func (d *Directory) Merge(now hickorymodel.Instant, state *hickorymessage.DirectoryState) bool {
	batch := &Batch{Scope: ScopeUpstreams, Through: Revision(state.Revision), Since: Revision(state.Since), Complete: state.Since == 0}
	zones := &Batch{Scope: ScopeZones, Through: Revision(state.ZonesRevision)}
	for i := range state.Upstreams {
		batch.Changes = append(batch.Changes, Change{Upstream: &state.Upstreams[i]})
	}
	for i := range state.Removed {
		batch.Changes = append(batch.Changes, Change{Removed: &state.Removed[i]})
	}
	for i := range state.Zones {
		zones.Changes = append(zones.Changes, Change{Zone: &state.Zones[i]})
	}
	before := d.changeCount
	if state.Table != nil {
		d.mergeTable(state.Table, Revision(state.TableRevision))
	}
	d.position.advance(ScopeTable, Revision(state.TableRevision))
	d.apply(now, batch)
	d.apply(now, zones)
	if batch.Complete && !d.hasList {
		d.hasList = true
		d.changeCount++
	}
	return d.changeCount != before
}
