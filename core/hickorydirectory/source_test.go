package hickorydirectory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// sourceFleet is a fleet of sources that call each other without delay.
type sourceFleet struct {
	now     hickorymodel.Instant
	sources map[hickoryid.Endpoint]*hickorydirectory.Source
	peers   map[hickoryid.Endpoint]*hickorydirectory.Peers
	order   []hickoryid.Endpoint
	// silent are the balancers that do not answer; storeLost those that the store does
	// not answer.
	silent    map[hickoryid.Endpoint]bool
	storeLost map[hickoryid.Endpoint]bool
	// unanswered are the balancers whose calls the store does not answer, without an
	// error.
	unanswered map[hickoryid.Endpoint]bool
	// cut reports whether the path between two balancers is cut.
	cut func(from, to hickoryid.Endpoint) bool
	// reads counts the calls of the store in the last step.
	reads int
}

// newSourceFleet returns a fleet with some balancers in each zone that know each
// other.
func newSourceFleet(zones, perZone int) *sourceFleet {
	f := &sourceFleet{
		now: start, sources: map[hickoryid.Endpoint]*hickorydirectory.Source{}, peers: map[hickoryid.Endpoint]*hickorydirectory.Peers{},
		silent: map[hickoryid.Endpoint]bool{}, storeLost: map[hickoryid.Endpoint]bool{}, unanswered: map[hickoryid.Endpoint]bool{},
		cut: func(hickoryid.Endpoint, hickoryid.Endpoint) bool { return false },
	}
	members := []hickorymessage.Member{}
	for zone := range zones {
		for i := range perZone {
			members = append(members, hickorymessage.Member{
				Endpoint: hickoryid.Endpoint(fmt.Sprintf("10.%d.0.%d:8166", zone, i+1)), Zone: hickoryid.ZoneName(fmt.Sprintf("z%d", zone)),
			})
		}
	}
	for _, member := range members {
		peers := hickorydirectory.NewPeers(member.Endpoint, member.Zone, nil, rand.New(rand.NewPCG(1, 2)))
		peers.AddMembers(f.now, members)
		f.peers[member.Endpoint] = peers
		f.sources[member.Endpoint] = hickorydirectory.NewSource(f.now, member.Endpoint, member.Zone, peers)
		f.order = append(f.order, member.Endpoint)
	}
	return f
}

// stepTime is the time between two calls of a follower.
const stepTime = 250 * time.Millisecond

// step lets stepTime pass, in which each balancer that is to read does so, and each
// other one calls the balancer that it follows.
func (f *sourceFleet) step() {
	f.now = f.now.Add(stepTime)
	f.reads = 0
	for _, self := range f.order {
		source := f.sources[self]
		if f.silent[self] {
			continue
		}
		if source.Reading(f.now, true) {
			f.reads++
			switch {
			case f.storeLost[self]:
				source.RecordStoreFailure(hickorydirectory.ScopeAll)
			case !f.unanswered[self]:
				source.RecordRead(hickorydirectory.ScopeAll, f.now)
			}
		}
		parent, due := source.Next(f.now)
		if !due {
			continue
		}
		if f.silent[parent] || f.cut(self, parent) {
			source.RecordFailure(f.now, parent)
			continue
		}
		age, current := f.sources[parent].Age(f.now)
		source.RecordAnswer(f.now, parent, current, f.now.Add(-age), f.now.Add(-f.sources[parent].TableAge(f.now)))
	}
}

// run runs enough steps for the fleet to settle.
func (f *sourceFleet) run() {
	for range 20 {
		f.step()
	}
}

// oldest returns the highest age of the knowledge of the running balancers.
func (f *sourceFleet) oldest() time.Duration {
	oldest := time.Duration(0)
	for _, self := range f.order {
		if !f.silent[self] {
			age, _ := f.sources[self].Age(f.now)
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// readers returns the balancers that read the store.
func (f *sourceFleet) readers() []hickoryid.Endpoint {
	readers := []hickoryid.Endpoint{}
	for _, self := range f.order {
		if !f.silent[self] && f.sources[self].Reading(f.now, true) {
			readers = append(readers, self)
		}
	}
	return readers
}

// TestOneReader guards against calls of the store that grow with the fleet.
func TestOneReader(t *testing.T) {
	for _, perZone := range []int{1, 10, 100} {
		is := is.New(t)
		f := newSourceFleet(4, perZone)
		f.run()
		is.Equal(len(f.readers()), 1)
		is.True(f.oldest() <= time.Second)
	}
}

// TestReaderFails guards against balancers that learn of no change any more after the
// one that reads for them has failed, and against a fleet in which all read then.
func TestReaderFails(t *testing.T) {
	cases := []struct {
		name string
		fail func(f *sourceFleet, reader hickoryid.Endpoint)
	}{
		{"it is silent", func(f *sourceFleet, reader hickoryid.Endpoint) { f.silent[reader] = true }},
		{"the store does not answer it", func(f *sourceFleet, reader hickoryid.Endpoint) { f.storeLost[reader] = true }},
		{"it stops", func(f *sourceFleet, reader hickoryid.Endpoint) { f.sources[reader].Stop() }},
		{"others do not reach it", func(f *sourceFleet, reader hickoryid.Endpoint) {
			f.cut = func(from, to hickoryid.Endpoint) bool { return from == reader || to == reader }
		}},
		{"only others reach it, and get no answer", func(f *sourceFleet, reader hickoryid.Endpoint) {
			f.cut = func(_, to hickoryid.Endpoint) bool { return to == reader }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newSourceFleet(4, 5)
			f.run()
			c.fail(f, f.readers()[0])
			reads := 0
			for range 40 {
				f.step()
				reads += f.reads
				is.True(f.oldest() <= 2750*time.Millisecond || f.storeLost[f.readers()[0]])
			}
			is.True(reads <= 4*40) // a few readers at a time: one of 20 at best
		})
	}
}

// TestPartitionedZone guards against a zone that is cut off from the others, reaches
// the store, and learns of no change.
func TestPartitionedZone(t *testing.T) {
	is := is.New(t)
	f := newSourceFleet(3, 4)
	f.run()
	f.cut = func(from, to hickoryid.Endpoint) bool { return (from[:5] == "10.1.") != (to[:5] == "10.1.") }
	f.run()
	is.True(f.oldest() <= time.Second)
	is.True(len(f.readers()) <= 2)
}

// TestSilentStore guards against balancers that follow others which do not know that
// the store no longer answers them: on a day with half of the balancers cut off from
// the store a leaving upstream got new flows for more than 3 s.
func TestSilentStore(t *testing.T) {
	is := is.New(t)
	f := newSourceFleet(3, 4)
	f.run()
	for i, self := range f.order {
		f.unanswered[self] = i%2 == 0 || self == f.readers()[0]
	}
	for range 40 {
		f.step()
		for _, self := range f.order {
			age, _ := f.sources[self].Age(f.now)
			is.True(f.unanswered[self] || age <= 2750*time.Millisecond)
		}
	}
}

// TestKnowledgeGetsOld guards against a balancer that trusts another one whose own
// knowledge is old.
func TestKnowledgeGetsOld(t *testing.T) {
	is := is.New(t)
	peers := hickorydirectory.NewPeers("10.0.0.1:1", "a", nil, rand.New(rand.NewPCG(1, 2)))
	for i := range 64 {
		peers.AddMembers(start, []hickorymessage.Member{{Endpoint: hickoryid.Endpoint(fmt.Sprintf("10.0.1.%d:1", i)), Zone: "a"}})
	}
	source := hickorydirectory.NewSource(start, "10.0.0.1:1", "a", peers)
	peer, due := source.Next(start)
	is.True(due)
	source.RecordAnswer(start, peer, true, start.Add(-2*time.Second), start.Add(-2*time.Second))
	is.True(!source.Reading(start.Add(300*time.Millisecond), true))
	later := start.Add(2600 * time.Millisecond)
	is.True(source.Reading(later, true))
	_, current := source.Age(later)
	is.True(!current) // the chain must not pass on what is too old
}

// TestCallWithoutOutcome guards against a balancer that reads the store for ever,
// because the outcome of one call was lost.
func TestCallWithoutOutcome(t *testing.T) {
	is := is.New(t)
	f := newSourceFleet(1, 2)
	f.run()
	for _, source := range f.sources {
		if source.Reading(f.now, true) {
			continue
		}
		_, due := source.Next(f.now)
		is.True(due)
		_, due = source.Next(f.now.Add(time.Second))
		is.True(!due)
		_, due = source.Next(f.now.Add(2 * time.Second))
		is.True(due)
	}
}

// TestStoppingIsNotFollowed guards against balancers that follow one which is about to
// end, and miss changes until they notice its end.
func TestStoppingIsNotFollowed(t *testing.T) {
	is := is.New(t)
	f := newSourceFleet(1, 2)
	f.run()
	reader := f.sources[f.readers()[0]]
	reader.Stop()
	_, current := reader.Age(f.now)
	is.True(!current)
	f.step()
	is.Equal(len(f.readers()), 2)
}

// TestForgottenPeers guards against balancers that have ended and stay in the lists of
// the others because these send them to each other.
func TestForgottenPeers(t *testing.T) {
	is := is.New(t)
	f := newSourceFleet(1, 3)
	gone := f.order[0]
	for range 100 {
		f.now = f.now.Add(time.Second)
		for _, from := range f.order[1:] {
			for _, to := range f.order[1:] {
				f.peers[to].AddMembers(f.now, f.peers[from].Members(f.now))
			}
		}
	}
	for _, member := range f.peers[f.order[1]].Members(f.now) {
		is.True(member.Endpoint != gone)
	}
}

// TestChangesSince guards against followers that miss a change, or get the whole state
// with each one.
func TestChangesSince(t *testing.T) {
	is := is.New(t)
	reader, follower := hickorydirectory.New(), hickorydirectory.New()
	reader.Apply(start, listing(9, table(3), upstream(1, 3, false, "0s"), upstream(2, 4, false, "0s"), zone(6, true)))
	follower.Merge(start, reader.Export(start))
	is.True(reader.ExportChanges(start, follower.Position()) == nil)
	reader.Apply(start, changes(13, removed(1, 11), upstream(3, 12, false, "0s"), zone(13, false)))
	state := reader.ExportChanges(start, follower.Position())
	is.Equal(len(state.Upstreams)+len(state.Removed)+len(state.Zones), 3)
	is.True(state.Table == nil)
	is.True(follower.Merge(start, state))
	is.Equal(follower.Digest(), reader.Digest())
	is.Equal(follower.Through(), hickorydirectory.Revision(13))
	is.Equal(accepting(follower.View(start, wall)), accepting(reader.View(start, wall)))
}

// TestChangesAfterGap guards against a follower that counts changes as known which it
// has never received.
func TestChangesAfterGap(t *testing.T) {
	is := is.New(t)
	reader, follower := hickorydirectory.New(), hickorydirectory.New()
	follower.Apply(start, listing(5, table(3)))
	reader.Apply(start, listing(9, table(3), upstream(1, 3, false, "0s")))
	reader.Apply(start, changes(12, upstream(2, 12, false, "0s")))
	follower.Merge(start, reader.ExportChanges(start, at(9, 3)))
	is.Equal(follower.Through(), hickorydirectory.Revision(5))
}

// TestChangesAfterRetention guards against a follower that keeps an upstream whose
// removal the reader has forgotten.
func TestChangesAfterRetention(t *testing.T) {
	is := is.New(t)
	reader, follower := hickorydirectory.New(), hickorydirectory.New()
	reader.Apply(start, listing(9, table(3), upstream(1, 3, false, "0s")))
	follower.Merge(start, reader.Export(start))
	reader.Apply(start, changes(10, removed(1, 10)))
	later := start.Add(76 * time.Second)
	reader.Tick(later)
	reader.Apply(later, changes(11, upstream(2, 11, false, "0s")))
	follower.Merge(later, reader.ExportChanges(later, follower.Position()))
	is.Equal(accepting(follower.View(later, wall)), ids{"u-2"})
}

// TestExpiredEntryAtFollower guards against an upstream that has left and stays in use
// at the followers, because the reader sent its entry while it might only have expired
// during an outage of the store.
func TestExpiredEntryAtFollower(t *testing.T) {
	is := is.New(t)
	reader, follower := hickorydirectory.New(), hickorydirectory.New()
	reader.Apply(start, listing(5, table(3), upstream(1, 3, false, "0s")))
	follower.Merge(start, reader.Export(start))
	reader.StoreFailed()
	reader.Apply(start, changes(9, removed(1, 8)))
	follower.Merge(start, reader.ExportChanges(start, follower.Position()))
	late := hickorydirectory.New()
	late.Merge(start, reader.Export(start))
	for _, d := range []*hickorydirectory.Directory{follower, late} {
		is.Equal(accepting(d.View(start, wall)), ids{"u-1"})
		end := start.Add(2600 * time.Millisecond)
		d.Tick(end)
		is.Equal(accepting(d.View(end, wall)), ids{})
	}
}

// TestFirstState guards against a balancer that lists the store although another one
// sends it the state, and against one that waits for others in vain.
func TestFirstState(t *testing.T) {
	is := is.New(t)
	begun := hickorymodel.Instant(time.Millisecond) // clocks start with the process
	random := rand.New(rand.NewPCG(1, 2))
	alone := hickorydirectory.NewPeers("10.0.0.1:1", "a", []hickoryid.Endpoint{"10.0.0.1:1"}, random)
	is.True(hickorydirectory.NewSource(begun, "10.0.0.1:1", "a", alone).Reading(begun, false))
	peers := hickorydirectory.NewPeers("10.0.0.1:1", "a", []hickoryid.Endpoint{"10.0.0.2:1"}, random)
	source := hickorydirectory.NewSource(begun, "10.0.0.1:1", "a", peers)
	is.True(!source.Reading(begun, false))
	is.True(source.Reading(begun.Add(hickorydirectory.FirstReadDelay), false))
	source.RecordNoState() // the first one that was asked has just started too
	is.True(source.Reading(begun, false))
	peers.AddMembers(begun, []hickorymessage.Member{{Endpoint: "10.0.0.2:1", Zone: "a"}, {Endpoint: "10.0.0.3:1", Zone: "a"}, {Endpoint: "10.0.0.4:1", Zone: "a"}})
	is.True(source.Reading(begun, true)) // the state of another balancer may be old
	peer, due := source.Next(begun)
	is.True(due)
	source.RecordAnswer(begun, peer, true, begun, begun)
	is.True(!source.Reading(begun, true))
}
