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

// Digest returns a hash of the revisions of all records. Two directories with the
// same digest hold the same state.
func (d *Directory) Digest() string {
	hash := xxhash.New()
	add := func(name string, revision int) {
		_, _ = hash.WriteString(name + " " + strconv.Itoa(revision) + "\n")
	}
	add("table", d.Version())
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		add(string(id), int(d.upstreams[id].revision))
	}
	for _, zone := range slices.Sorted(maps.Keys(d.zones)) {
		add(string(zone), d.zones[zone].mark.Revision)
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

// Export returns the whole state for another balancer, or nil while the state is
// not complete.
func (d *Directory) Export(now hickorymodel.Instant) *hickorymessage.DirectoryState {
	if !d.StateComplete() {
		return nil
	}
	state := &hickorymessage.DirectoryState{
		Revision:  int(d.through),
		Table:     d.table,
		Upstreams: []hickorymessage.ListedUpstream{},
		Removed:   []hickorymessage.RemovedUpstream{},
		Zones:     []hickorymessage.ZoneMark{},
	}
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		record := d.upstreams[id]
		if record.removedAt != 0 && !now.Before(record.usableUntil) {
			state.Removed = append(state.Removed, hickorymessage.RemovedUpstream{ID: id, Revision: int(record.revision)})
			continue
		}
		entry := record.listed
		entry.ColdTime = hickoryid.NewDuration(record.coldUntil.Sub(now))
		state.Upstreams = append(state.Upstreams, entry)
	}
	for _, zone := range slices.Sorted(maps.Keys(d.zones)) {
		state.Zones = append(state.Zones, d.zones[zone].mark)
	}
	return state
}

// Merge applies the state of another balancer and reports whether the view has
// changed.
func (d *Directory) Merge(now hickorymodel.Instant, state *hickorymessage.DirectoryState) bool {
	batch := &Batch{Through: Revision(state.Revision), Complete: true}
	if state.Table != nil {
		batch.Changes = append(batch.Changes, Change{Table: state.Table})
	}
	for i := range state.Upstreams {
		batch.Changes = append(batch.Changes, Change{Upstream: &state.Upstreams[i]})
	}
	for i := range state.Removed {
		batch.Changes = append(batch.Changes, Change{Removed: &state.Removed[i]})
	}
	for i := range state.Zones {
		batch.Changes = append(batch.Changes, Change{Zone: &state.Zones[i]})
	}
	return d.apply(now, batch)
}
