package hickoryfabric

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// version returns a version of the configuration as an answer of the store.
func version(number int) *hickorydirectory.Batch {
	batch := listing()
	batch.Changes = batch.Changes[:1]
	batch.Changes[0].Table.Version = number
	batch.Complete, batch.Scope, batch.Since, batch.Through = false, hickorydirectory.ScopeTable, 1, hickorydirectory.Revision(number)
	return batch
}

// followed makes the balancer follow a peer whose answer to a call for changes arrives.
func (f *confirmationFixture) followed(reply hickorymessage.ChangesReply) {
	f.updater.handleChangesCall(hickoryring.ChangesCall{Peer: "10.0.0.9:7000", Answer: &reply})
}

// TestChangesDoNotWaitForTable guards against an upstream that leaves, or a zone that goes
// out of service, and is not in force while a configuration of thousands of routes is on
// its way; and against a second call for that configuration meanwhile.
func TestChangesDoNotWaitForTable(t *testing.T) {
	f := newConfirmationFixture(t)
	f.answer(listing())
	f.followed(hickorymessage.ChangesReply{Current: true, TableDue: true})
	f.is.Equal(len(f.updater.tableFetches.Items()), 1)
	<-f.updater.tableFetches.Items()
	leaving := upstreamAt("u-1", 3, "10.0.0.1:8000")
	leaving.Leaving = true
	f.followed(hickorymessage.ChangesReply{Current: true, TableDue: true, State: &hickorymessage.DirectoryState{
		Revision: 3, Since: 1, Upstreams: []hickorymessage.ListedUpstream{*leaving},
	}})
	f.is.Equal(len(f.updater.tableFetches.Items()), 0)
	f.takeUpdate(t)
	f.is.True(f.updater.directory.View(f.updater.clock.Now(), 0).Upstreams[0].Leaving)
}

// TestTableIsAskedForAgain guards against a configuration that is never asked for again
// after a call for it has failed, and against calls without a pause then.
func TestTableIsAskedForAgain(t *testing.T) {
	f := newConfirmationFixture(t)
	f.answer(listing())
	due := hickorymessage.ChangesReply{Current: true, TableDue: true}
	f.followed(due)
	<-f.updater.tableFetches.Items()
	f.updater.handleTableCall(hickoryring.TableCall{Peer: "10.0.0.9:7000"})
	begun := time.Now()
	for len(f.updater.tableFetches.Items()) == 0 {
		f.followed(due)
	}
	f.is.True(time.Since(begun) >= tableRetryPause)
}

// TestLostOutcomeOfTableCall guards against a balancer that asks for no configuration any
// more, because the outcome of one call for it met a full ring.
func TestLostOutcomeOfTableCall(t *testing.T) {
	f := newConfirmationFixture(t)
	f.answer(listing())
	f.followed(hickorymessage.ChangesReply{Current: true, TableDue: true})
	f.is.True(f.updater.tablePull.pending)
	f.is.True(f.updater.tablePull.retryAt > f.updater.clock.Now().Add(tableTimeout)) // a call may take that long
	f.updater.tablePull.retryAt = f.updater.clock.Now()
	f.updater.expireTablePull()
	f.is.True(!f.updater.tablePull.pending)
}

// TestUnfitUpdateIsReplaced guards against a balancer that asks for the same update of a
// configuration for ever, although it lacks the version that the update starts from.
func TestUnfitUpdateIsReplaced(t *testing.T) {
	f := newConfirmationFixture(t)
	f.answer(listing())
	due := hickorymessage.ChangesReply{Current: true, TableDue: true}
	f.followed(due)
	<-f.updater.tableFetches.Items()
	update := &hickorymessage.TableUpdate{Base: 4, Table: *version(6).Changes[0].Table}
	f.updater.handleTableCall(hickoryring.TableCall{Peer: "10.0.0.9:7000", Answer: &hickoryring.TableAnswer{Update: update}})
	f.is.Equal(f.updater.directory.Version(), 1)
	f.followed(due)
	fetch := <-f.updater.tableFetches.Items()
	f.is.Equal(fetch.Request.Version, 0) // for all routes
	update.Base = 0
	f.updater.handleTableCall(hickoryring.TableCall{Peer: "10.0.0.9:7000", Answer: &hickoryring.TableAnswer{Update: update}})
	f.is.Equal(f.updater.directory.Version(), 6)
}

// TestWaitingCallsAndTables guards against a follower that is told of a configuration only
// after its call was held, and against answers without a pause while it receives one.
func TestWaitingCallsAndTables(t *testing.T) {
	f := newConfirmationFixture(t)
	f.answer(listing())
	replies := make(chan hickorymessage.ChangesReply, 2)
	request := hickorymessage.ChangesRequest{Sender: "10.0.0.9:7000", Zone: "a", Revision: 1, ZonesRevision: 1, TableRevision: 1, Version: 1, WaitMillis: 10000}
	pending := request
	pending.TablePending = true
	f.updater.handleChangesCall(hickoryring.ChangesCall{Request: &request, Reply: replies})
	f.updater.handleChangesCall(hickoryring.ChangesCall{Request: &pending, Reply: replies})
	f.answer(version(2))
	f.updater.follow()
	f.is.Equal(len(replies), 1)
	f.is.True((<-replies).TableDue)
}

// TestTableText guards against a configuration that is not the same after it was sent, and
// against a text of another process that takes all memory.
func TestTableText(t *testing.T) {
	is := is.New(t)
	update := &hickorymessage.TableUpdate{Base: 1, Table: *version(2).Changes[0].Table, Removed: []string{"gone"}}
	text, err := (&tableEncoder{}).encode(update)
	is.NoErr(err)
	decoded, err := decodeTable(text)
	is.NoErr(err)
	is.Equal(fmt.Sprint(decoded), fmt.Sprint(update))
	for _, spoil := range []func(c *hickorymessage.TableColumns){
		func(c *hickorymessage.TableColumns) { c.Names = append(c.Names, "more") },
		func(c *hickorymessage.TableColumns) { c.Targets[0] = 9 },
		func(c *hickorymessage.TableColumns) { c.Terms[0] = -1 },
		func(c *hickorymessage.TableColumns) { c.Names[0] = strings.Repeat("a", 257) },
	} {
		columns := columnsOf(update)
		spoil(columns)
		_, err := updateOf(columns)
		is.True(err != nil)
	}
	for _, odd := range []string{"!", "AAAA", text[:len(text)/2]} {
		_, err := decodeTable(odd)
		is.True(err != nil)
	}
}

// TestReaderTurnsToNewest guards against a reader that asks again and again for all versions
// since the last one that it knows, although they are more than it can read.
func TestReaderTurnsToNewest(t *testing.T) {
	is := is.New(t)
	calls := ""
	f := testFollowerOf(hickorydirectory.ScopeTable, Store{
		List: func(_ context.Context, scope hickorydirectory.Scope, _ time.Duration) (*hickorydirectory.Batch, error) {
			is.Equal(scope, hickorydirectory.ScopeTable)
			calls += "L"
			return &hickorydirectory.Batch{Complete: true, Through: 9, Changes: []hickorydirectory.Change{{TableRevision: 8}}}, nil
		},
		Watch: func(context.Context, hickorydirectory.Scope, hickorydirectory.Revision, time.Duration, time.Duration) (*hickorydirectory.Batch, error) {
			calls += "W"
			return nil, errFailed
		},
	})
	f.setReading(true, hickorydirectory.Position{Upstreams: 7, Zones: 7, Table: 7, Version: 1})
	pauses := []time.Duration{}
	for range 4 {
		batch, err := f.callStore(t.Context())
		pause := f.recordOutcome(batch, err, time.Second)
		if err == nil {
			pauses = append(pauses, pause)
		}
	}
	is.Equal(calls, "WLLW")
	is.Equal(pauses, []time.Duration{time.Second, 0}) // half of the time at most is spent on reading
}

// TestOneFirstTable guards against a slow balancer that decodes the configurations of
// several whole states at its start, and against one that takes a state without its
// upstreams for whole.
func TestOneFirstTable(t *testing.T) {
	is := is.New(t)
	receiver, f := &stateReceiver{}, &stateFetcher{}
	packed := func() *hickorymessage.StateReply {
		reply := &hickorymessage.StateReply{Settled: true, State: &hickorymessage.DirectoryState{Table: version(2).Changes[0].Table, TableRevision: 7}}
		is.NoErr(receiver.packTable(reply))
		is.True(reply.State.Table == nil)
		return reply
	}
	first, second := packed(), packed()
	completed := make(chan struct{})
	f.completed = completed
	is.NoErr(f.unpack(first))
	is.Equal(first.State.Table.Version, 2)
	close(completed)
	is.NoErr(f.unpack(second))
	is.True(second.State != nil)
	is.True(second.State.Table == nil)
	is.Equal(second.State.TableRevision, 0) // it does not have that configuration
}

// BenchmarkTableText measures what a whole configuration costs a balancer that receives it.
func BenchmarkTableText(b *testing.B) {
	for _, routes := range []int{40, 1440, 2840} {
		table := *version(2).Changes[0].Table
		route := table.Routes[0]
		table.Routes = nil
		for i := range routes {
			route.Name, route.Address = fmt.Sprint("route-", i), hickoryid.Endpoint(fmt.Sprintf("198.18.%d.%d:443", i/250, i%250))
			table.Routes = append(table.Routes, route)
		}
		text, err := encodeTable(&hickorymessage.TableUpdate{Table: table})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := decodeTable(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
