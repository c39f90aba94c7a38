package hickorydirectory_test

import (
	"fmt"
	"testing"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// targetDirectory returns a directory of the target's size: 14,000 upstreams and
// 2,600 routes.
func targetDirectory() *hickorydirectory.Directory {
	batch := &hickorydirectory.Batch{Through: 20000, Complete: true}
	routes := hickorymessage.RouteTable{Version: 1, IdleTimeout: "15s"}
	for i := range 2600 {
		name := hickoryid.ServiceName(fmt.Sprint("s-", i))
		routes.Routes = append(routes.Routes, hickorymessage.Route{
			Name: fmt.Sprint("r-", i), Address: hickoryid.Endpoint(fmt.Sprintf("198.18.%d.%d:443", i/250, i%250)),
			Targets: []hickorymessage.RouteTarget{{Service: name, Weight: 1}},
		})
		routes.Services = append(routes.Services, hickorymessage.RoutedService{Name: name, RampTime: "2s"})
	}
	batch.Changes = append(batch.Changes, hickorydirectory.Change{Table: &routes})
	for i := range 14000 {
		batch.Changes = append(batch.Changes, hickorydirectory.Change{Upstream: &hickorymessage.ListedUpstream{
			ID: hickoryid.UpstreamID(fmt.Sprint("u-", i)), Revision: 1 + i, Service: hickoryid.ServiceName(fmt.Sprint("s-", i%2600)),
			Zone: "a", Endpoint: hickoryid.Endpoint(fmt.Sprintf("10.%d.%d.1:8000", i>>8, i&255)), Slots: 6, ColdTime: "0s",
		}})
	}
	d := hickorydirectory.New()
	d.Apply(start, batch)
	return d
}

// BenchmarkView measures the view that is made for one change, at the target's
// size.
func BenchmarkView(b *testing.B) {
	d := targetDirectory()
	for b.Loop() {
		d.View(start, wall)
	}
}

// BenchmarkDigest measures the digest that is made for one call between balancers,
// at the target's size.
func BenchmarkDigest(b *testing.B) {
	d := targetDirectory()
	for b.Loop() {
		d.Digest()
	}
}

// BenchmarkTableUpdate measures what a version that changes one route costs a balancer that
// sends it to others, and one that gets it, with the view that it makes of it.
func BenchmarkTableUpdate(b *testing.B) {
	for _, count := range []int{40, 1440, 2840} {
		routes := []int{}
		for number := range count {
			routes = append(routes, number)
		}
		reader, follower := hickorydirectory.New(), hickorydirectory.New()
		reader.Apply(start, listing(1, hickorydirectory.Change{Table: numberedTable(1, routes, nil)}))
		follower.Merge(start, reader.Export(start))
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				version := reader.Version() + 1
				b.StopTimer()
				table := numberedTable(version, routes, map[int]int{version % count: version})
				b.StartTimer()
				reader.Apply(start, tableOnly(hickorydirectory.Revision(version), table))
				if _, err := follower.MergeTable(reader.ExportTable(follower.Position()), hickorydirectory.Revision(version)); err != nil {
					b.Fatal(err)
				}
				follower.View(start, wall)
			}
		})
	}
}
