package hickorydirectory_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// numberedTable returns a configuration with routes whose numbers are given; route i goes
// to the service of the version in which it last changed.
func numberedTable(version int, routes []int, changedIn map[int]int) *hickorymessage.RouteTable {
	table := &hickorymessage.RouteTable{Version: version, IdleTimeout: "15s", Routes: []hickorymessage.Route{}, Services: []hickorymessage.RoutedService{}}
	for _, number := range routes {
		table.Terms = append(table.Terms, hickorymessage.RouteTerms{TimeoutMillis: 1000 + changedIn[number]%3, TargetLatencyMillis: 1 + number})
		table.Routes = append(table.Routes, hickorymessage.Route{
			Name: fmt.Sprint("r-", number), Address: hickoryid.Endpoint(fmt.Sprintf("198.18.%d.%d:443", number/250, number%250)), Terms: len(table.Terms),
			Targets: []hickorymessage.RouteTarget{{Service: hickoryid.ServiceName(fmt.Sprint("s-", changedIn[number])), Weight: 1}},
		})
	}
	return table
}

func tableOnly(revision hickorydirectory.Revision, table *hickorymessage.RouteTable) *hickorydirectory.Batch {
	return &hickorydirectory.Batch{
		Scope: hickorydirectory.ScopeTable, Through: revision,
		Changes: []hickorydirectory.Change{{Table: table, TableRevision: revision}},
	}
}

// TestUpdatesGiveTheSameTable guards against a follower that has other routes, or other
// terms of a route, than the balancer that it follows, because it got only what has
// changed.
func TestUpdatesGiveTheSameTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := hickorydirectory.New(), hickorydirectory.New()
		reader.Apply(start, listing(1, hickorydirectory.Change{Table: numberedTable(1, []int{0, 1, 2}, nil)}))
		follower.Merge(start, reader.Export(start))
		changedIn := map[int]int{}
		for version := 2; version < 14; version++ {
			routes := rapid.SliceOfNDistinct(rapid.IntRange(0, 8), 0, 9, rapid.ID[int]).Draw(t, "routes")
			if len(routes) > 0 {
				changedIn[routes[0]] = version
			}
			reader.Apply(start, tableOnly(hickorydirectory.Revision(version), numberedTable(version, routes, changedIn)))
			if rapid.Bool().Draw(t, "missed") {
				continue
			}
			_, err := follower.MergeTable(reader.ExportTable(follower.Position()), reader.Position().Table)
			if err != nil {
				t.Fatal(err)
			}
			want, got := reader.View(start, wall).Routes, follower.View(start, wall).Routes
			if fmt.Sprint(len(got)) != fmt.Sprint(len(want)) {
				t.Fatalf("version %d: %d routes instead of %d", version, len(got), len(want))
			}
			for address, route := range want {
				if fmt.Sprint(*got[address]) != fmt.Sprint(*route) {
					t.Fatalf("version %d: %v instead of %v", version, *got[address], *route)
				}
			}
		}
	})
}

// TestUpdateIsSmall guards against thousands of routes that are sent to each follower
// with each version, although one route has changed.
func TestUpdateIsSmall(t *testing.T) {
	is := is.New(t)
	routes := []int{}
	for number := range 2840 {
		routes = append(routes, number)
	}
	reader, follower := hickorydirectory.New(), hickorydirectory.New()
	reader.Apply(start, listing(1, hickorydirectory.Change{Table: numberedTable(1, routes, nil)}))
	follower.Merge(start, reader.Export(start))
	reader.Apply(start, tableOnly(2, numberedTable(2, routes[1:], map[int]int{7: 2})))
	update := reader.ExportTable(follower.Position())
	is.Equal(len(update.Table.Routes), 1)
	is.Equal(update.Removed, []string{"r-0"})
	is.True(reader.ExportTable(follower.Position()) == update) // made once for all followers
	_, err := follower.MergeTable(update, 2)
	is.NoErr(err)
	is.Equal(len(follower.View(start, wall).Routes), 2839)
	is.True(reader.ExportTable(follower.Position()) == nil)
}

// TestUpdateOfUnknownVersion guards against a configuration without the routes of a version
// that the follower does not have, and against a follower that stays behind because the
// other balancer no longer has the version to start from.
func TestUpdateOfUnknownVersion(t *testing.T) {
	is := is.New(t)
	reader, follower, stranger := hickorydirectory.New(), hickorydirectory.New(), hickorydirectory.New()
	reader.Apply(start, listing(1, hickorydirectory.Change{Table: numberedTable(1, []int{0, 1}, nil)}))
	follower.Merge(start, reader.Export(start))
	stranger.Apply(start, listing(1, hickorydirectory.Change{Table: numberedTable(0, nil, nil)}))
	reader.Apply(start, tableOnly(2, numberedTable(2, []int{0, 1, 2}, nil)))
	_, err := stranger.MergeTable(reader.ExportTable(follower.Position()), 2)
	is.True(err != nil)
	is.Equal(stranger.Version(), 0)
	for version := 3; version < 20; version++ { // more than the reader keeps
		reader.Apply(start, tableOnly(hickorydirectory.Revision(version), numberedTable(version, []int{0, 1, version}, nil)))
	}
	update := reader.ExportTable(follower.Position())
	is.Equal(update.Base, 0)
	_, err = follower.MergeTable(update, 19)
	is.NoErr(err)
	is.Equal(len(follower.View(start, wall).Routes), 3)
}
