package hickoryfabric

import (
	"fmt"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// maxRouteName is the largest length of a route's name in bytes, as in
// schema/discovery.schema.json.
const maxRouteName = 256

// columnsOf returns an update in the form in which it is sent.
func columnsOf(update *hickorymessage.TableUpdate) *hickorymessage.TableColumns {
	table := &update.Table
	columns := &hickorymessage.TableColumns{
		Base: update.Base, Version: table.Version, IdleTimeout: table.IdleTimeout, RoutesLeftOut: table.RoutesLeftOut,
		Services: table.Services, AllTerms: table.Terms, Removed: update.Removed,
		Names: []string{}, Addresses: []hickoryid.Endpoint{}, Priorities: []int{}, Terms: []int{}, Targets: []int{},
	}
	positions := map[string]int{}
	for i := range table.Routes {
		route := &table.Routes[i]
		key := fmt.Sprint(route.Targets)
		if positions[key] == 0 {
			columns.AllTargets = append(columns.AllTargets, route.Targets)
			positions[key] = len(columns.AllTargets)
		}
		columns.Names = append(columns.Names, route.Name)
		columns.Addresses = append(columns.Addresses, route.Address)
		columns.Priorities = append(columns.Priorities, route.Priority)
		columns.Terms = append(columns.Terms, route.Terms)
		columns.Targets = append(columns.Targets, positions[key])
	}
	return columns
}

// updateOf returns the update that received columns stand for.
func updateOf(columns *hickorymessage.TableColumns) (*hickorymessage.TableUpdate, error) {
	count := len(columns.Names)
	if len(columns.Addresses) != count || len(columns.Priorities) != count || len(columns.Terms) != count || len(columns.Targets) != count {
		return nil, errors.Errorf("configuration %d with columns of different lengths", columns.Version)
	}
	update := &hickorymessage.TableUpdate{Base: columns.Base, Removed: columns.Removed, Table: hickorymessage.RouteTable{
		Version: columns.Version, IdleTimeout: columns.IdleTimeout, RoutesLeftOut: columns.RoutesLeftOut,
		Services: columns.Services, Terms: columns.AllTerms, Routes: make([]hickorymessage.Route, count),
	}}
	for i := range count {
		terms, targets := columns.Terms[i], columns.Targets[i]
		if terms < 0 || terms > len(columns.AllTerms) || targets < 1 || targets > len(columns.AllTargets) {
			return nil, errors.Errorf("configuration %d with a position out of range at route %d", columns.Version, i)
		}
		if len(columns.Names[i]) > maxRouteName {
			return nil, errors.Errorf("configuration %d with a name of %d bytes at route %d", columns.Version, len(columns.Names[i]), i)
		}
		update.Table.Routes[i] = hickorymessage.Route{
			Name: columns.Names[i], Address: columns.Addresses[i], Priority: columns.Priorities[i],
			Terms: terms, Targets: columns.AllTargets[targets-1],
		}
	}
	return update, nil
}
