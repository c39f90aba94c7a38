package hickorydirectory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// start is the time of the first event of each test.
const start = hickorymodel.Instant(time.Hour)

// wall is the time of day of each test in Unix milliseconds.
const wall = hickorymodel.WallTime(1_800_000_000_000)

func table(version int) hickorydirectory.Change {
	return hickorydirectory.Change{Table: &hickorymessage.RouteTable{
		Version: version, IdleTimeout: "15s",
		Routes: []hickorymessage.Route{{
			Name: "live", Address: "198.51.100.1:443",
			Targets: []hickorymessage.RouteTarget{{Service: "clubroom", Weight: 1}, {Service: "packetdesk", Weight: 0}},
		}},
		Services: []hickorymessage.RoutedService{{Name: "clubroom", RampTime: "2s", RampRate: 3}},
	}}
}

// upstream returns an entry; each id has an endpoint of its own.
func upstream(id int, revision int, leaving bool, cold hickoryid.Duration) hickorydirectory.Change {
	return hickorydirectory.Change{Upstream: &hickorymessage.ListedUpstream{
		ID: hickoryid.UpstreamID(fmt.Sprintf("u-%d", id)), Revision: revision, Service: "clubroom", Zone: "a",
		Endpoint: hickoryid.Endpoint(fmt.Sprintf("10.0.0.%d:8000", id)), Slots: 2, Leaving: leaving, ColdTime: cold,
	}}
}

func removed(id int, revision int) hickorydirectory.Change {
	return hickorydirectory.Change{Removed: &hickorymessage.RemovedUpstream{
		ID: hickoryid.UpstreamID(fmt.Sprintf("u-%d", id)), Revision: revision,
	}}
}

func zone(revision int, excluded bool) hickorydirectory.Change {
	return hickorydirectory.Change{Zone: &hickorymessage.ZoneMark{Zone: "a", Revision: revision, Excluded: excluded}}
}

func listing(through hickorydirectory.Revision, changes ...hickorydirectory.Change) *hickorydirectory.Batch {
	return &hickorydirectory.Batch{Through: through, Complete: true, Changes: changes}
}

func changes(through hickorydirectory.Revision, changes ...hickorydirectory.Change) *hickorydirectory.Batch {
	return &hickorydirectory.Batch{Through: through, Changes: changes}
}

// accepting returns the upstreams of a view that take new flows.
func accepting(view *hickorydirectory.View) []hickoryid.UpstreamID {
	ids := []hickoryid.UpstreamID{}
	for _, u := range view.Upstreams {
		if u.Accepting {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

type ids = []hickoryid.UpstreamID

// at returns the position of a balancer that has all changes up to a revision, and a
// version of the configuration.
func at(through hickorydirectory.Revision, version int) hickorydirectory.Position {
	return hickorydirectory.Position{Upstreams: through, Zones: through, Table: through, Version: version}
}

// TestVersionsNeverGoBack guards against a configuration that is replaced by an
// older one (guarantee P10), from a late answer of the store or from a balancer
// with an older state.
func TestVersionsNeverGoBack(t *testing.T) {
	is := is.New(t)
	d := hickorydirectory.New()
	is.True(d.Apply(start, listing(9, table(7))))
	is.True(!d.Apply(start, changes(10, table(6))))
	d.Merge(start, &hickorymessage.DirectoryState{Table: table(5).Table})
	is.Equal(d.Version(), 7)
	is.True(d.Apply(start, changes(11, table(8))))
	is.Equal(d.View(start, wall).Version, 8)
}

// TestRoutesOfView guards against new flows at a target of weight 0.
func TestRoutesOfView(t *testing.T) {
	is := is.New(t)
	d := hickorydirectory.New()
	d.Apply(start, listing(9, table(7)))
	for _, route := range d.View(start, wall).Routes {
		is.Equal(route.Targets, []hickorydirectory.Target{{Service: hickorydirectory.HashService("clubroom"), Weight: 1}})
		is.Equal(route.WeightSum, 1)
	}
}

// TestUnusableTable guards against flows to new routes that are refused while the newest
// configuration can't be used as a whole: the mark must reach the balancers that follow
// the reader, also those that already have the version in force, and end with the next
// configuration that can be used.
func TestUnusableTable(t *testing.T) {
	is := is.New(t)
	reader, follower := hickorydirectory.New(), hickorydirectory.New()
	tableAt := func(version int, revision hickorydirectory.Revision) *hickorydirectory.Batch {
		table := &hickorymessage.RouteTable{Version: version}
		return &hickorydirectory.Batch{Through: revision, Complete: true, Changes: []hickorydirectory.Change{{Table: table, TableRevision: revision}}}
	}
	follow := func() {
		state, update := reader.ExportChanges(start, follower.Position()), reader.ExportTable(follower.Position())
		is.True(state != nil)
		is.True(update != nil)
		follower.Merge(start, state)
		changed, err := follower.MergeTable(update, reader.Position().Table)
		is.NoErr(err)
		is.True(changed)
		is.Equal(reader.Digest(), follower.Digest())
	}
	follower.Merge(start, &hickorymessage.DirectoryState{}) // a complete, empty list
	reader.Apply(start, tableAt(7, 10))
	follow()
	is.Equal(follower.View(start, wall).RoutesLeftOut, false)
	unusable := &hickorydirectory.Batch{Since: 10, Through: 12, Changes: []hickorydirectory.Change{{UnusableTable: 12}}}
	is.True(reader.Apply(start, unusable))
	is.True(reader.View(start, wall).RoutesLeftOut)
	follow()
	is.True(follower.View(start, wall).RoutesLeftOut)
	is.Equal(follower.Version(), 7)
	reader.Apply(start, tableAt(9, 14))
	is.Equal(reader.Apply(start, unusable), false) // a late answer
	follow()
	is.Equal(reader.View(start, wall).RoutesLeftOut, false)
	is.Equal(follower.View(start, wall).RoutesLeftOut, false)
}

// TestMarkKeepsRoutes guards against a balancer that loses a route, because another one that
// can't use the route has sent it the same version of the configuration.
func TestMarkKeepsRoutes(t *testing.T) {
	is := is.New(t)
	d := hickorydirectory.New()
	d.Apply(start, &hickorydirectory.Batch{Through: 10, Complete: true, Changes: []hickorydirectory.Change{table(7)}})
	less := &hickorymessage.RouteTable{Version: 7, IdleTimeout: "15s", RoutesLeftOut: true}
	d.Merge(start, &hickorymessage.DirectoryState{Revision: 12, Table: less})
	is.Equal(len(d.View(start, wall).Routes), 1)
	is.True(d.View(start, wall).RoutesLeftOut)
}

// TestRoutesLeftOut guards against a view that seems to have all routes, although the
// reader of the store or this balancer could not use one.
func TestRoutesLeftOut(t *testing.T) {
	cases := []struct {
		name    string
		change  func(t *hickorymessage.RouteTable)
		leftOut bool
	}{
		{"all are used", func(*hickorymessage.RouteTable) {}, false},
		{"the reader has left one out", func(t *hickorymessage.RouteTable) { t.RoutesLeftOut = true }, true},
		{"an address can't be parsed", func(t *hickorymessage.RouteTable) { t.Routes[0].Address = "nowhere" }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			published := table(7)
			c.change(published.Table)
			d, follower := hickorydirectory.New(), hickorydirectory.New()
			d.Apply(start, listing(9, published))
			follower.Merge(start, d.Export(start))
			is.Equal(d.View(start, wall).RoutesLeftOut, c.leftOut)
			is.Equal(follower.View(start, wall).RoutesLeftOut, c.leftOut)
		})
	}
}

// TestUrgentRoutes guards against routes of higher priority that do not count as
// urgent, so that they would not get the room of a busy upstream first.
func TestUrgentRoutes(t *testing.T) {
	is := is.New(t)
	route := func(address string, priority int, services ...string) hickorymessage.Route {
		r := hickorymessage.Route{Name: address, Address: hickoryid.Endpoint(address), Priority: priority}
		for _, name := range services {
			r.Targets = append(r.Targets, hickorymessage.RouteTarget{Service: hickoryid.ServiceName(name), Weight: 1})
		}
		return r
	}
	d := hickorydirectory.New()
	d.Apply(start, listing(9, hickorydirectory.Change{Table: &hickorymessage.RouteTable{
		Version: 1, IdleTimeout: "15s",
		Routes: []hickorymessage.Route{
			route("198.51.100.1:1", 1, "clubroom"), route("198.51.100.1:2", 2, "clubroom", "packetdesk"), route("198.51.100.1:3", 2, "packetdesk"),
		},
	}}))
	urgent := map[string]bool{}
	for _, r := range d.View(start, wall).Routes {
		urgent[r.Name] = r.Urgent
	}
	is.Equal(urgent, map[string]bool{"198.51.100.1:1": true, "198.51.100.1:2": false, "198.51.100.1:3": false})
}

// TestUpstreamStates guards against new flows at upstreams that are leaving,
// removed or in an excluded zone (guarantee P8), after each kind of change and in
// each order of arrival.
func TestUpstreamStates(t *testing.T) {
	cases := []struct {
		name    string
		batches []*hickorydirectory.Batch
		want    ids
	}{
		{"listed", []*hickorydirectory.Batch{listing(5, upstream(1, 3, false, "0s"))}, ids{"u-1"}},
		{"leaving", []*hickorydirectory.Batch{listing(5, upstream(1, 3, false, "0s")), changes(6, upstream(1, 6, true, "0s"))}, ids{}},
		{"older answer arrives late", []*hickorydirectory.Batch{changes(6, upstream(1, 6, true, "0s")), changes(5, upstream(1, 3, false, "0s"))}, ids{}},
		{"removed", []*hickorydirectory.Batch{listing(5, upstream(1, 3, false, "0s")), changes(6, removed(1, 6))}, ids{}},
		{"late removal of an older entry", []*hickorydirectory.Batch{listing(9, upstream(1, 9, false, "0s")), changes(9, removed(1, 6))}, ids{"u-1"}},
		{"not named by a listing", []*hickorydirectory.Batch{listing(5, upstream(1, 3, false, "0s")), listing(7)}, ids{}},
		{"newer than a listing", []*hickorydirectory.Batch{changes(9, upstream(1, 9, false, "0s")), listing(7)}, ids{"u-1"}},
		{"listed again after a removal", []*hickorydirectory.Batch{listing(5, upstream(1, 3, false, "0s")), changes(7, removed(1, 6), upstream(1, 7, false, "1s"))}, ids{"u-1"}},
		{"zone out of service", []*hickorydirectory.Batch{listing(5, upstream(1, 3, false, "0s")), changes(6, zone(6, true))}, ids{}},
		{"zone back by a change", []*hickorydirectory.Batch{listing(6, upstream(1, 3, false, "0s"), zone(6, true)), changes(7, zone(7, false))}, ids{"u-1"}},
		{"zone back by a listing", []*hickorydirectory.Batch{listing(6, upstream(1, 3, false, "0s"), zone(6, true)), listing(8, upstream(1, 3, false, "0s"))}, ids{"u-1"}},
		{"older entry after a listing without it", []*hickorydirectory.Batch{listing(9), changes(9, upstream(1, 3, false, "0s"))}, ids{}},
		{"older entry after its removal", []*hickorydirectory.Batch{changes(6, removed(1, 6)), changes(6, upstream(1, 3, false, "0s"))}, ids{}},
		{"older zone mark after a listing without it", []*hickorydirectory.Batch{listing(9, upstream(1, 3, false, "0s")), changes(9, zone(6, true))}, ids{"u-1"}},
		{"zone mark arrives late", []*hickorydirectory.Batch{listing(6, upstream(1, 3, false, "0s")), changes(8, zone(8, true)), changes(8, zone(7, false))}, ids{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := hickorydirectory.New()
			for _, batch := range c.batches {
				d.Apply(start, batch)
			}
			is.Equal(accepting(d.View(start, wall)), c.want)
		})
	}
}

// TestNewestEntryOfEndpoint guards against an upstream that is mistaken for its
// predecessor at the endpoint, whose entry has not expired yet: a cold upstream
// then counted as warm, and agents that had just started could not rule out flows
// after a power failure.
func TestNewestEntryOfEndpoint(t *testing.T) {
	entry := func(id hickoryid.UpstreamID, revision, startedAt int) hickorydirectory.Change {
		change := upstream(1, revision, false, "0s")
		change.Upstream.ID, change.Upstream.StartedAt = id, startedAt
		return change
	}
	cases := []struct {
		name    string
		changes []hickorydirectory.Change
		want    ids
	}{
		{"by start", []hickorydirectory.Change{entry("u-a", 3, 2000), entry("u-b", 9, 1000)}, ids{"u-a"}},
		{"by start, in the other order", []hickorydirectory.Change{entry("u-b", 9, 1000), entry("u-a", 3, 2000)}, ids{"u-a"}},
		{"start in the future", []hickorydirectory.Change{entry("u-a", 3, 1000), entry("u-b", 9, int(wall.Add(2*time.Hour)))}, ids{"u-a"}},
		{"start by a clock that is 40 minutes ahead", []hickorydirectory.Change{entry("u-a", 3, 1000), entry("u-b", 9, int(wall.Add(40*time.Minute)))}, ids{"u-b"}},
		{"by revision", []hickorydirectory.Change{entry("u-a", 3, 0), entry("u-b", 9, 0)}, ids{"u-b"}},
		{"removed entry whose id sorts later", []hickorydirectory.Change{
			entry("z-removed", 3, 0), entry("u-b", 9, 0),
			{Removed: &hickorymessage.RemovedUpstream{ID: "z-removed", Revision: 12}},
		}, ids{"u-b"}},
		{"predecessor removed later", []hickorydirectory.Change{
			entry("u-a", 3, 1000), entry("u-b", 9, 2000),
			{Removed: &hickorymessage.RemovedUpstream{ID: "u-a", Revision: 12}},
		}, ids{"u-b"}},
		{"successor removed", []hickorydirectory.Change{
			entry("u-a", 3, 1000), entry("u-b", 9, 2000),
			{Removed: &hickorymessage.RemovedUpstream{ID: "u-b", Revision: 12}},
		}, ids{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := hickorydirectory.New()
			d.Apply(start, changes(12, c.changes...))
			is.Equal(accepting(d.View(start, wall)), c.want)
			is.Equal(len(d.View(start, wall).Upstreams), 1)
		})
	}
}

// TestOddEntryHidesNoUpstream guards against an upstream that gets no flows, and whose
// open flows are not found, because another writer has left an entry with its address.
func TestOddEntryHidesNoUpstream(t *testing.T) {
	odd := func(revision, startedAt int, endpoint hickoryid.Endpoint) hickorydirectory.Change {
		change := upstream(1, revision, false, "0s")
		change.Upstream.ID, change.Upstream.Service = "z-odd", "elsewhere"
		change.Upstream.StartedAt, change.Upstream.Endpoint = startedAt, endpoint
		return change
	}
	good := upstream(1, 3, false, "0s")
	good.Upstream.StartedAt = 1000
	cases := []struct {
		name    string
		changes []hickorydirectory.Change
	}{
		{"written later", []hickorydirectory.Change{good, odd(9, 1000, good.Upstream.Endpoint)}},
		{"with a later start", []hickorydirectory.Change{good, odd(9, 5000, good.Upstream.Endpoint)}},
		{"written earlier", []hickorydirectory.Change{odd(1, 5000, good.Upstream.Endpoint), good}},
		{"with another port", []hickorydirectory.Change{good, odd(9, 5000, "10.0.0.1:9")}},
		{"removed", []hickorydirectory.Change{
			good, odd(9, 5000, good.Upstream.Endpoint),
			{Removed: &hickorymessage.RemovedUpstream{ID: "z-odd", Revision: 12}},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := hickorydirectory.New()
			d.Apply(start, changes(12, append([]hickorydirectory.Change{table(1)}, c.changes...)...))
			view := d.View(start, wall)
			is.Equal(accepting(view), ids{"u-1"})
			is.Equal(len(view.Upstreams), 1)
			is.Equal(view.Upstreams[0].Service, hickorydirectory.HashService("clubroom"))
		})
	}
}

// TestUpstreamOfDroppedService guards against open flows that are not found at the
// upstreams of a service which a configuration has dropped after moving its routes.
func TestUpstreamOfDroppedService(t *testing.T) {
	is := is.New(t)
	d := hickorydirectory.New()
	former := upstream(1, 3, false, "0s")
	former.Upstream.Service = "dropped"
	d.Apply(start, changes(12, table(1), former))
	is.Equal(len(d.View(start, wall).Upstreams), 1)
}

// TestClockRemovesNoUpstream guards against open flows that are reset because the entry
// of a predecessor, whose clock was ahead, has been removed: as long as any entry has the
// address, an upstream may run there.
func TestClockRemovesNoUpstream(t *testing.T) {
	is := is.New(t)
	d := hickorydirectory.New()
	predecessor, successor := upstream(1, 3, false, "0s"), upstream(1, 9, false, "0s")
	predecessor.Upstream.StartedAt = 3400
	successor.Upstream.ID, successor.Upstream.StartedAt = "u-2", 2000
	d.Apply(start, changes(9, table(1), predecessor, successor))
	d.Apply(start, changes(12, removed(1, 12)))
	is.True(!d.View(start, wall).Upstreams[0].Removed)
	d.Apply(start, changes(15, removed(2, 15)))
	is.True(d.View(start, wall).Upstreams[0].Removed)
}

// TestUnreadableEntryIsNoRemoval guards against open flows that are reset because another
// writer has replaced the entry of a live upstream by bytes that can't be parsed, and
// against new flows at such an upstream.
func TestUnreadableEntryIsNoRemoval(t *testing.T) {
	unreadable := func(revision int) hickorydirectory.Change {
		return hickorydirectory.Change{Unreadable: &hickorymessage.RemovedUpstream{ID: "u-1", Revision: revision}}
	}
	cases := []struct {
		name      string
		batches   []*hickorydirectory.Batch
		accepting int
		removed   bool
	}{
		{"changed", []*hickorydirectory.Batch{changes(8, unreadable(8))}, 0, false},
		{"in a listing", []*hickorydirectory.Batch{listing(8, unreadable(8))}, 0, false},
		{"readable again", []*hickorydirectory.Batch{changes(8, unreadable(8)), changes(9, upstream(1, 9, false, "0s"))}, 1, false},
		{"older than the entry", []*hickorydirectory.Batch{changes(8, unreadable(2))}, 1, false},
		{"removed later", []*hickorydirectory.Batch{changes(8, unreadable(8)), changes(9, removed(1, 9))}, 0, true},
		{"written after its removal", []*hickorydirectory.Batch{changes(8, removed(1, 8)), changes(9, unreadable(9))}, 0, false},
		{"before its removal, which came first", []*hickorydirectory.Batch{changes(9, removed(1, 9)), changes(8, unreadable(8))}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, follower := hickorydirectory.New(), hickorydirectory.New()
			d.Apply(start, listing(5, table(1), upstream(1, 3, false, "0s")))
			follower.Merge(start, d.Export(start))
			for _, batch := range c.batches {
				d.Apply(start, batch)
			}
			follower.Merge(start, d.ExportChanges(start, at(5, 1)))
			for _, view := range []*hickorydirectory.View{d.View(start, wall), follower.View(start, wall)} {
				is.Equal(len(view.Upstreams), 1)
				is.Equal(len(accepting(view)), c.accepting)
				is.Equal(view.Upstreams[0].Removed, c.removed)
			}
		})
	}
}

// TestAddressOfUnreadableEntry guards against flows that are reset by a new balancer, whose
// first listing has an entry that can't be parsed: another balancer knows the address of
// the upstream, but has it with the same revision.
func TestAddressOfUnreadableEntry(t *testing.T) {
	is := is.New(t)
	unreadable := hickorydirectory.Change{Unreadable: &hickorymessage.RemovedUpstream{ID: "u-1", Revision: 8}}
	d, other := hickorydirectory.New(), hickorydirectory.New()
	other.Apply(start, listing(5, table(1), upstream(1, 3, false, "0s")))
	other.Apply(start, changes(8, unreadable))
	d.Apply(start, listing(8, table(1), unreadable))
	is.Equal(len(d.View(start, wall).Upstreams), 0)
	is.True(d.Digest() != other.Digest()) // so that the other balancer sends its state
	d.Merge(start, other.Export(start))
	is.Equal(d.Digest(), other.Digest())
	view := d.View(start, wall)
	is.Equal(len(view.Upstreams), 1)
	is.Equal(len(accepting(view)), 0)
	is.True(!view.Upstreams[0].Removed)
}

// TestOddEntryIsExchangedOnce guards against balancers that send each other their whole
// states again and again, because one has read an odd entry and the other has not.
func TestOddEntryIsExchangedOnce(t *testing.T) {
	is := is.New(t)
	odd := func(revision int) hickorydirectory.Change {
		return hickorydirectory.Change{Unreadable: &hickorymessage.RemovedUpstream{ID: "u-1", Revision: revision}}
	}
	reader, follower := hickorydirectory.New(), hickorydirectory.New()
	reader.Apply(start, listing(5, table(1)))
	follower.Merge(start, reader.Export(start))
	for revision := 8; revision < 10; revision++ {
		reader.Apply(start, changes(hickorydirectory.Revision(revision), odd(revision)))
		follower.Merge(start, reader.ExportChanges(start, at(5, 1)))
		if revision == 8 {
			reader.Merge(start, follower.Export(start))
		}
		is.Equal(reader.Digest(), follower.Digest())
	}
}

// TestLapsedEntries guards against a service that loses all upstreams at once
// because their entries expired while the store was not available, and against
// entries that are never removed.
func TestLapsedEntries(t *testing.T) {
	is := is.New(t)
	d := hickorydirectory.New()
	d.Apply(start, listing(5, upstream(1, 3, false, "0s"), upstream(2, 4, true, "0s")))
	d.StoreFailed()
	restored := start.Add(5 * time.Second)
	d.Apply(restored, changes(9, removed(1, 8), removed(2, 9)))
	is.Equal(accepting(d.View(restored, wall)), ids{"u-1"}) // u-2 was leaving
	is.True(!d.Tick(restored.Add(2400 * time.Millisecond)))
	is.True(d.Tick(restored.Add(2500 * time.Millisecond)))
	is.Equal(accepting(d.View(restored.Add(2500*time.Millisecond), wall)), ids{})
	is.Equal(len(d.View(restored, wall).Upstreams), 2) // it may still hold open flows
	d.Tick(restored.Add(76 * time.Second))
	is.Equal(len(d.View(restored, wall).Upstreams), 0)
}

// TestZoneReturnsCold guards against full load on cold upstreams (guarantee P3):
// when a zone returns to service, its upstreams may be cold before their entries
// say so.
func TestZoneReturnsCold(t *testing.T) {
	is := is.New(t)
	d := hickorydirectory.New()
	d.Apply(start, listing(6, table(1), upstream(1, 3, false, "0s"), zone(6, true)))
	d.Apply(start, changes(7, zone(7, false)))
	is.Equal(d.View(start, wall).Upstreams[0].ColdUntil, start.Add(3*time.Second))
	d.Apply(start, changes(8, upstream(1, 8, false, "0s"))) // the newer entry states that it is warm
	is.Equal(d.View(start, wall).Upstreams[0].ColdUntil, hickorymodel.Instant(0))
}

// TestMergeOfWholeState guards against a balancer that the store rejects and that
// gets no state from other balancers either.
func TestMergeOfWholeState(t *testing.T) {
	is := is.New(t)
	fullDirectory, emptyDirectory := hickorydirectory.New(), hickorydirectory.New()
	is.True(fullDirectory.Export(start) == nil) // an incomplete state must not be taken for a complete one
	fullDirectory.Apply(start, listing(9, table(3), upstream(1, 3, false, "1.5s"), upstream(2, 4, false, "0s"), zone(6, true)))
	fullDirectory.Apply(start, changes(10, removed(2, 10)))
	later := start.Add(time.Second)
	is.True(emptyDirectory.Merge(later, fullDirectory.Export(later)))
	is.True(emptyDirectory.StateComplete())
	is.Equal(emptyDirectory.Digest(), fullDirectory.Digest())
	is.Equal(emptyDirectory.View(later, wall).Upstreams[0].ColdUntil, later.Add(500*time.Millisecond))
	is.Equal(accepting(emptyDirectory.View(later, wall)), ids{}) // the zone is out of service
	is.True(!emptyDirectory.Merge(later, fullDirectory.Export(later)))
}

// TestOrderDoesNotMatter guards against two balancers with different states after
// the same changes in different orders.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []hickorydirectory.Change{}
		for revision := 1; revision <= 12; revision++ {
			id := rapid.IntRange(1, 3).Draw(t, "id")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				all = append(all, upstream(id, revision, rapid.Bool().Draw(t, "leaving"), "0s"))
			case 1:
				all = append(all, removed(id, revision))
			case 2:
				all = append(all, zone(revision, rapid.Bool().Draw(t, "excluded")))
			default:
				all = append(all, table(revision))
			}
		}
		want := replay(all)
		shuffled := append([]hickorydirectory.Change(nil), all...)
		source := rand.New(rand.NewPCG(uint64(rapid.IntRange(0, 1<<30).Draw(t, "seed")), 1))
		source.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if got := replay(shuffled); got != want {
			t.Fatalf("in order: %s, shuffled: %s", want, got)
		}
	})
}

// replay applies changes one by one and returns the version and the upstreams that
// take new flows.
func replay(all []hickorydirectory.Change) string {
	d := hickorydirectory.New()
	for _, change := range all {
		d.Apply(start, changes(0, change))
	}
	return fmt.Sprint(d.Version(), accepting(d.View(start, wall)))
}

// TestNewDirectorySettles guards against open flows that are reset by a balancer which
// has just started: it does not know upstreams whose entries expired while the store was
// not available, and which renew them within two seconds of its return.
func TestNewDirectorySettles(t *testing.T) {
	is := is.New(t)
	d := hickorydirectory.New()
	is.True(!d.Settled(start.Add(time.Hour)))
	is.True(d.View(start, wall).SettledAt > start.Add(time.Hour)) // the store has not answered
	d.Apply(start, listing(5, table(1)))
	is.True(!d.Settled(start.Add(2400 * time.Millisecond)))
	is.True(d.Settled(start.Add(2500 * time.Millisecond)))
	is.Equal(d.View(start, wall).SettledAt, start.Add(2500*time.Millisecond))
	d.Apply(start.Add(time.Minute), changes(6))
	is.True(d.Settled(start.Add(time.Minute))) // once only

	follower := hickorydirectory.New()
	follower.Merge(start, d.Export(start))
	is.True(!follower.Settled(start.Add(time.Hour))) // the other one may have just started as well
	is.True(follower.Settle(start))
	is.True(!follower.Settle(start))
	is.Equal(follower.View(start, wall).SettledAt, start)
}

// TestTermsOfRoutes guards against a route that gets the terms of another one, and against
// a position beyond the terms of the table, which a faulty message may have.
func TestTermsOfRoutes(t *testing.T) {
	is := is.New(t)
	d := hickorydirectory.New()
	addresses := []hickoryid.Endpoint{"198.51.100.1:443", "198.51.100.2:443", "198.51.100.3:443", "198.51.100.4:443"}
	published := &hickorymessage.RouteTable{Version: 7, Terms: []hickorymessage.RouteTerms{{TargetLatencyMillis: 250, TimeoutMillis: 3000}, {Idempotent: true}}}
	for i, address := range addresses {
		published.Routes = append(published.Routes, hickorymessage.Route{Name: string(address), Address: address, Terms: i})
	}
	d.Apply(start, &hickorydirectory.Batch{Through: 10, Complete: true, Changes: []hickorydirectory.Change{{Table: published}}})
	targets := map[string]time.Duration{}
	for _, route := range d.View(start, wall).Routes {
		targets[route.Name] = route.TargetLatency
		is.Equal(route.Idempotent, route.Name == string(addresses[2]))
	}
	is.Equal(targets, map[string]time.Duration{string(addresses[0]): 0, string(addresses[1]): 250 * time.Millisecond, string(addresses[2]): 0, string(addresses[3]): 0})
}
