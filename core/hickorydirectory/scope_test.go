package hickorydirectory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// partOf returns the changes of one part of the published state from revision 5 to 9.
func partOf(scope hickorydirectory.Scope, all ...hickorydirectory.Change) *hickorydirectory.Batch {
	return &hickorydirectory.Batch{Scope: scope, Since: 5, Through: 9, Changes: all}
}

// TestPartsAdvanceAlone guards against an upstream that leaves, or a zone that goes out of
// service, and is not in force because another part of the published state is known up to
// a higher revision, or not yet as far.
func TestPartsAdvanceAlone(t *testing.T) {
	upstreams, zones := hickorydirectory.ScopeUpstreams, hickorydirectory.ScopeZones
	cases := []struct {
		name    string
		batches []*hickorydirectory.Batch
		want    ids
	}{
		{"zone after later changes of upstreams", []*hickorydirectory.Batch{partOf(upstreams), partOf(zones, zone(7, true))}, ids{}},
		{"upstream after later changes of zones", []*hickorydirectory.Batch{partOf(zones), partOf(upstreams, upstream(2, 7, false, "0s"))}, ids{"u-1", "u-2"}},
		{"upstream that leaves before the configuration is known", []*hickorydirectory.Batch{partOf(upstreams, upstream(1, 8, true, "0s"))}, ids{}},
		{"listing of upstreams keeps zones", []*hickorydirectory.Batch{
			partOf(zones, zone(7, true)),
			{Scope: upstreams, Complete: true, Through: 12, Changes: []hickorydirectory.Change{upstream(1, 3, false, "0s")}},
		}, ids{}},
		{"listing of the configuration keeps upstreams", []*hickorydirectory.Batch{
			{Scope: hickorydirectory.ScopeTable, Complete: true, Through: 12, Changes: []hickorydirectory.Change{table(8)}},
		}, ids{"u-1"}},
		{"listing of zones returns one", []*hickorydirectory.Batch{partOf(zones, zone(7, true)), {Scope: zones, Complete: true, Through: 12}}, ids{"u-1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reader, follower := hickorydirectory.New(), hickorydirectory.New()
			reader.Apply(start, listing(5, table(7), upstream(1, 3, false, "0s")))
			follower.Merge(start, reader.Export(start))
			for _, batch := range c.batches {
				reader.Apply(start, batch)
				if state := reader.ExportChanges(start, follower.Position()); state != nil {
					follower.Merge(start, state)
				}
				is.True(!reader.HasChanges(follower.Position())) // or it would be told again and again
			}
			is.Equal(accepting(reader.View(start, wall)), c.want)
			is.Equal(accepting(follower.View(start, wall)), c.want)
		})
	}
}

// TestTableReads guards against a reader that asks for each version of a configuration
// while more are published than it can read, and against one that reads the newest version
// again and again while none is published.
func TestTableReads(t *testing.T) {
	is := is.New(t)
	reads := &hickorydirectory.TableReads{}
	version := func(revision hickorydirectory.Revision, complete bool, superseded int) *hickorydirectory.Batch {
		return &hickorydirectory.Batch{Complete: complete, Superseded: superseded, Changes: []hickorydirectory.Change{{TableRevision: revision}}}
	}
	is.True(reads.RecordAnswer(version(3, false, 0)))
	is.True(!reads.NewestOnly()) // one version at a time
	is.True(reads.RecordAnswer(version(9, false, 2)))
	is.True(reads.NewestOnly())
	is.True(reads.RecordAnswer(version(12, true, 0)))
	is.True(reads.NewestOnly()) // more may have come meanwhile
	is.True(!reads.RecordAnswer(version(12, true, 0)))
	is.True(!reads.NewestOnly())
	reads.RecordFailure()
	is.True(reads.NewestOnly())
	is.Equal(reads.Pause(100*time.Millisecond, 500*time.Millisecond), 500*time.Millisecond)
	is.Equal(reads.Pause(800*time.Millisecond, 500*time.Millisecond), 800*time.Millisecond)
	is.Equal(reads.Pause(time.Minute, 500*time.Millisecond), time.Second)
}

// TestOldTableIsReadAgain guards against a balancer that trusts the one that it follows for
// a configuration which that one has announced, but which it has not been able to get.
func TestOldTableIsReadAgain(t *testing.T) {
	is := is.New(t)
	f := newSourceFleet(1, 2)
	f.run()
	for _, self := range f.order {
		source := f.sources[self]
		if source.Reading(f.now, true) {
			continue
		}
		peer, due := source.Next(f.now)
		is.True(due)
		at := func(after time.Duration) hickorymodel.Instant { return f.now.Add(after) }
		source.RecordAnswer(at(2*time.Second), peer, true, at(2*time.Second), 0)
		is.True(!source.Reading(at(3*time.Second), true))
		source.RecordAnswer(at(4*time.Second), peer, true, at(4*time.Second), 0)
		is.True(source.Reading(at(4500*time.Millisecond), true))
		_, current := source.Age(at(4500 * time.Millisecond))
		is.True(!current)
		source.RecordTable(at(3 * time.Second))
		is.True(!source.Reading(at(4500*time.Millisecond), true))
	}
}
