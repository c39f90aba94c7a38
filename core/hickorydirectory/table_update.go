package hickorydirectory

import (
	"slices"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// maxTables bounds the configurations that a balancer keeps in order to send others only
// what has changed. A balancer that is further behind gets the whole configuration.
const maxTables = 8

// tableHistory has the last configurations in the order of their versions.
type tableHistory struct {
	// tables has at most maxTables entries.
	tables []*hickorymessage.RouteTable
	// updates are those that have been made for the newest configuration, by the version
	// that they start from.
	updates map[int]*hickorymessage.TableUpdate
}

// add adds the newest configuration.
func (h *tableHistory) add(table *hickorymessage.RouteTable) {
	if len(h.tables) == maxTables {
		h.tables = slices.Delete(h.tables, 0, 1)
	}
	h.tables = append(h.tables, table)
	h.updates = map[int]*hickorymessage.TableUpdate{}
}

// find returns the configuration with a version, or nil.
func (h *tableHistory) find(version int) *hickorymessage.RouteTable {
	for _, table := range h.tables {
		if table.Version == version {
			return table
		}
	}
	return nil
}

// ExportTable returns what a balancer at a position lacks of the configuration, or nil if
// that is nothing. The result must not be changed; it is the same for all balancers that
// have the same version, until the configuration changes.
func (d *Directory) ExportTable(from Position) *hickorymessage.TableUpdate {
	if !d.TableDue(from) {
		return nil
	}
	marked := d.markedTable()
	if update := d.history.updates[from.Version]; update != nil && update.Table.RoutesLeftOut == marked.RoutesLeftOut {
		return update
	}
	update := newTableUpdate(d.history.find(from.Version), marked)
	if d.history.updates == nil {
		d.history.updates = map[int]*hickorymessage.TableUpdate{}
	}
	if len(d.history.updates) <= maxTables {
		d.history.updates[from.Version] = update
	}
	return update
}

// MergeTable applies what another balancer has sent of its configuration, which is complete
// up to a revision, and reports whether the view has changed. It fails when the update
// starts from another version than the one in force.
func (d *Directory) MergeTable(update *hickorymessage.TableUpdate, through Revision) (bool, error) {
	before := d.changeCount
	table := &update.Table
	if update.Base != 0 && table.Version != d.Version() {
		base := d.history.find(update.Base)
		if base == nil {
			return false, errors.Errorf("configuration %d as an update of %d, which is not known", table.Version, update.Base)
		}
		table = joinTable(base, update)
	}
	d.mergeTable(table, through)
	d.position.advance(ScopeTable, through)
	return d.changeCount != before, nil
}

// newTableUpdate returns what has changed from one configuration to another. Without a
// configuration to start from, or if the routes are in another order, it has all routes.
func newTableUpdate(base, table *hickorymessage.RouteTable) *hickorymessage.TableUpdate {
	whole := &hickorymessage.TableUpdate{Table: *table, Removed: []string{}}
	if base == nil {
		return whole
	}
	former := map[string]*hickorymessage.Route{}
	for i := range base.Routes {
		former[base.Routes[i].Name] = &base.Routes[i]
	}
	if len(former) < len(base.Routes) {
		return whole // names that occur twice tell no routes apart
	}
	update := &hickorymessage.TableUpdate{Base: base.Version, Table: *table, Removed: []string{}}
	update.Table.Routes = []hickorymessage.Route{}
	for i := range table.Routes {
		route := &table.Routes[i]
		if old := former[route.Name]; old == nil || !sameRoute(old, termsOf(base, old), route, termsOf(table, route)) {
			update.Table.Routes = append(update.Table.Routes, *route)
		}
		delete(former, route.Name)
	}
	for i := range base.Routes {
		if name := base.Routes[i].Name; former[name] != nil {
			update.Removed = append(update.Removed, name)
		}
	}
	if !sameOrder(joinTable(base, update).Routes, table.Routes) {
		return whole
	}
	return update
}

// joinTable returns the configuration that an update makes of the one that it starts from.
// Routes keep their order; new ones follow the others.
func joinTable(base *hickorymessage.RouteTable, update *hickorymessage.TableUpdate) *hickorymessage.RouteTable {
	table := update.Table
	changed := map[string]*hickorymessage.Route{}
	for i := range update.Table.Routes {
		changed[update.Table.Routes[i].Name] = &update.Table.Routes[i]
	}
	removed := map[string]bool{}
	for _, name := range update.Removed {
		removed[name] = true
	}
	positions := map[hickorymessage.RouteTerms]int{}
	for i, terms := range table.Terms {
		positions[terms] = i + 1
	}
	table.Routes = make([]hickorymessage.Route, 0, len(base.Routes)+len(changed))
	for i := range base.Routes {
		route := base.Routes[i]
		if removed[route.Name] {
			continue
		}
		if next := changed[route.Name]; next != nil {
			route = *next
			delete(changed, route.Name)
		} else {
			route.Terms = positions[termsOf(base, &route)]
		}
		table.Routes = append(table.Routes, route)
	}
	for i := range update.Table.Routes {
		if route := &update.Table.Routes[i]; changed[route.Name] != nil {
			table.Routes = append(table.Routes, *route)
			delete(changed, route.Name)
		}
	}
	return &table
}

// termsOf returns the terms of a route of a table.
func termsOf(table *hickorymessage.RouteTable, route *hickorymessage.Route) hickorymessage.RouteTerms {
	if route.Terms < 1 || route.Terms > len(table.Terms) {
		return hickorymessage.RouteTerms{}
	}
	return table.Terms[route.Terms-1]
}

// sameRoute reports whether two routes, whose terms are given, are equal.
func sameRoute(a *hickorymessage.Route, aTerms hickorymessage.RouteTerms, b *hickorymessage.Route, bTerms hickorymessage.RouteTerms) bool {
	return a.Address == b.Address && a.Priority == b.Priority && aTerms == bTerms && slices.Equal(a.Targets, b.Targets)
}

// sameOrder reports whether two lists have routes with the same names in the same order.
func sameOrder(a, b []hickorymessage.Route) bool {
	return slices.EqualFunc(a, b, func(a, b hickorymessage.Route) bool { return a.Name == b.Name })
}

// viewRoutes are the routes of a view. They are made once for each configuration, since
// there may be thousands of them.
type viewRoutes struct {
	// table is the configuration that the routes are of.
	table  *hickorymessage.RouteTable
	routes map[hickorymodel.SocketAddress]*Route
	// leftOut is true if a route of the table could not be used.
	leftOut bool
}

// routesOfView returns the routes of the configuration in force for a view.
func (d *Directory) routesOfView() *viewRoutes {
	if d.routes.table == d.table {
		return &d.routes
	}
	view := View{Routes: make(map[hickorymodel.SocketAddress]*Route, len(d.table.Routes))}
	for i := range d.table.Routes {
		view.addRoute(&d.table.Routes[i], d.table.Terms)
	}
	view.markUrgent()
	d.routes = viewRoutes{table: d.table, routes: view.Routes, leftOut: view.RoutesLeftOut}
	return &d.routes
}
