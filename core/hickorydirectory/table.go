package hickorydirectory

import "hickoryworks/schema/hickorymessage"

// setTable replaces the configuration by one with a higher version, or marks it if the
// same version comes with the mark that routes are left out. Versions never go back.
func (d *Directory) setTable(change *Change) {
	wasUnusable := d.newestTableUnusable()
	d.tableReadAt = max(d.tableReadAt, change.TableRevision)
	if wasUnusable != d.newestTableUnusable() {
		d.changeCount++
	}
	switch {
	case change.Table.Version > d.Version():
		d.table = change.Table
		d.history.add(change.Table)
	case change.Table.Version == d.Version() && d.marks(change):
		marked := *d.table // the other one may lack routes that this one has
		marked.RoutesLeftOut = true
		d.table = &marked
	default:
		return
	}
	d.changeCount++
}

// marks reports whether the table of a change has the mark that routes are left out,
// which the one in force lacks.
func (d *Directory) marks(change *Change) bool {
	return d.table != nil && change.Table.RoutesLeftOut && !d.table.RoutesLeftOut
}

// mergeTable applies the configuration of another balancer that knows all changes up to
// a revision.
func (d *Directory) mergeTable(table *hickorymessage.RouteTable, through Revision) {
	change := Change{Table: table}
	if d.marks(&change) && table.Version == d.Version() {
		d.tableMarkedAt = through
	}
	if table.Version > d.Version() {
		d.tableMarkedAt = 0
		if !table.RoutesLeftOut && through > d.tableUnusableAt {
			change.TableRevision = through // the other balancer can use what this one could not
		}
	}
	d.setTable(&change)
}

// markTableUnusable records that a configuration can't be used as a whole. The one in
// force stays, but an address without a route may be one of the routes that follow it.
func (d *Directory) markTableUnusable(revision Revision) {
	if revision < d.tableReadAt || revision <= d.tableUnusableAt {
		return
	}
	d.tableUnusableAt = revision
	d.changeCount++
}

// newestTableUnusable reports whether the newest configuration known can't be used.
func (d *Directory) newestTableUnusable() bool {
	return d.tableUnusableAt != 0 && d.tableUnusableAt >= d.tableReadAt
}

// TableDue reports whether a balancer at a position lacks the configuration of this one, or
// the mark that it leaves out routes.
func (d *Directory) TableDue(from Position) bool {
	if !d.StateComplete() {
		return false
	}
	markedAt := d.tableMarkedAt
	if d.newestTableUnusable() {
		markedAt = max(markedAt, d.tableUnusableAt)
	}
	return d.Version() > from.Version || markedAt > from.Table
}

// markedTable returns the configuration, with the mark that it leaves out routes if the
// newest one can't be used.
func (d *Directory) markedTable() *hickorymessage.RouteTable {
	if !d.newestTableUnusable() || d.table.RoutesLeftOut {
		return d.table
	}
	marked := *d.table
	marked.RoutesLeftOut = true
	return &marked
}
