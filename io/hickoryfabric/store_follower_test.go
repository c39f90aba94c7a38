package hickoryfabric

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
)

var (
	errHistoryGone = errors.New("gone")
	errFailed      = errors.New("failed")
)

func testFollower(store Store) *storeFollower {
	return testFollowerOf(hickorydirectory.ScopeUpstreams, store)
}

// testFollowerOf returns a follower of a part of the published state.
func testFollowerOf(part hickorydirectory.Scope, store Store) *storeFollower {
	store.HistoryGone = func(err error) bool { return errors.Is(err, errHistoryGone) }
	rings := balancerRings{storeAnswers: hickoryring.NewStoreRing(), confirmRequests: hickoryring.NewWakeRing()}
	return newStoreFollower(store, part, rand.New(rand.NewPCG(1, 1)), rings, hickoryclock.New(), tally.NoopScope, hickorylog.New(io.Discard, "balancer"))
}

// TestFollowerPauses guards against too many calls to the store: each call is
// billed, also a failed one and one that a frequent change of unrelated keys ends.
func TestFollowerPauses(t *testing.T) {
	is := is.New(t)
	f := testFollower(Store{})
	for range 20 {
		is.True(f.recordOutcome(nil, errFailed, 0) < 2*backoffBase) // callers wait for the first listing
	}
	is.Equal(f.recordOutcome(&hickorydirectory.Batch{Through: 4}, nil, 0), batchPause)       // a key of no meaning has changed
	is.Equal(f.recordOutcome(&hickorydirectory.Batch{Through: 4}, nil, 0), time.Duration(0)) // the store held the watch
	is.Equal(f.recordOutcome(&hickorydirectory.Batch{Through: 5, Changes: make([]hickorydirectory.Change, 1)}, nil, 0), batchPause)
	longest := time.Duration(0)
	for range 20 {
		wait := f.recordOutcome(nil, errFailed, 0)
		is.True(wait >= backoffBase/2)
		longest = max(longest, wait)
	}
	is.True(longest > backoffLimit/2)
	is.True(longest < 2*backoffLimit)
}

// TestFollowerLists guards against a watch before the first listing, a new listing
// after each failure, and no new listing after the store has discarded the history
// that a watch needs.
func TestFollowerLists(t *testing.T) {
	is := is.New(t)
	calls := ""
	f := testFollower(Store{
		List: func(context.Context, hickorydirectory.Scope, time.Duration) (*hickorydirectory.Batch, error) {
			calls += "L"
			return &hickorydirectory.Batch{Through: 7}, nil
		},
		Watch: func(_ context.Context, _ hickorydirectory.Scope, after hickorydirectory.Revision, _, _ time.Duration) (*hickorydirectory.Batch, error) {
			calls += "W"
			is.Equal(after, hickorydirectory.Revision(7))
			return nil, errFailed
		},
	})
	for range 3 {
		batch, err := f.callStore(t.Context())
		f.recordOutcome(batch, err, 0)
	}
	f.recordOutcome(nil, errHistoryGone, 0)
	_, _ = f.callStore(t.Context())
	is.Equal(calls, "LWWL")
}

// TestFollowerBoundsCalls guards against a call that never returns because the
// connection broke without an error.
func TestFollowerBoundsCalls(t *testing.T) {
	is := is.New(t)
	requireDeadline := func(ctx context.Context, limit time.Duration) {
		deadline, ok := ctx.Deadline()
		is.True(ok)
		is.True(time.Until(deadline) <= limit)
	}
	f := testFollower(Store{
		List: func(_ context.Context, _ hickorydirectory.Scope, timeout time.Duration) (*hickorydirectory.Batch, error) {
			is.Equal(timeout, pageSilence)
			return &hickorydirectory.Batch{}, nil
		},
		Watch: func(ctx context.Context, _ hickorydirectory.Scope, _ hickorydirectory.Revision, wait, silence time.Duration) (*hickorydirectory.Batch, error) {
			requireDeadline(ctx, readTimeout)
			is.Equal(wait, watchWait)
			is.Equal(silence, watchSilence)
			return &hickorydirectory.Batch{}, nil
		},
	})
	for range 2 {
		batch, err := f.callStore(t.Context())
		f.recordOutcome(batch, err, 0)
	}
}

// TestReaderConfirmsAfterWatch guards against a search that waits for a second watch of
// full length, because the confirmation was requested while the first was pending.
func TestReaderConfirmsAfterWatch(t *testing.T) {
	is := is.New(t)
	f := testFollower(Store{})
	f.reading.Store(true)
	f.confirmRequests.Put()
	is.NoErr(f.waitForNextCall(t.Context(), 0, true))
	is.True(f.confirming)
	is.NoErr(f.waitForNextCall(t.Context(), 0, true))
	is.True(!f.confirming) // one call for a request
}

// TestFollowerConfirmsOnDemand guards against lost flows whose search ends late: the
// search needs a confirmation by the store, which came only after the whole pause
// that follows a change.
func TestFollowerConfirmsOnDemand(t *testing.T) {
	is := is.New(t)
	f := testFollower(Store{})
	f.confirmRequests.Put()
	begun := time.Now()
	is.NoErr(f.waitForNextCall(t.Context(), time.Hour, true))
	is.True(f.confirming)
	is.True(time.Since(begun) >= minCallPause) // each call is billed
	waits := []time.Duration{}
	f.store.Watch = func(_ context.Context, _ hickorydirectory.Scope, _ hickorydirectory.Revision, wait, _ time.Duration) (*hickorydirectory.Batch, error) {
		waits = append(waits, wait)
		return &hickorydirectory.Batch{}, nil
	}
	f.listed = true
	_, err := f.callStore(t.Context())
	is.NoErr(err)
	is.NoErr(f.waitForNextCall(t.Context(), 0, true))
	_, err = f.callStore(t.Context())
	is.NoErr(err)
	is.Equal(waits, []time.Duration{confirmWatchWait, watchWait})
}

// TestFollowerKeepsPauseAfterFailure guards against requests for confirmation that
// shorten the pause after a failed call and so add load to a store that is down.
func TestFollowerKeepsPauseAfterFailure(t *testing.T) {
	is := is.New(t)
	f := testFollower(Store{})
	f.confirmRequests.Put()
	begun := time.Now()
	is.NoErr(f.waitForNextCall(t.Context(), 2*minCallPause, false))
	is.True(time.Since(begun) >= 2*minCallPause)
	is.True(!f.confirming)
}

// TestListingOfSlowStore guards against a listing that never succeeds because the store
// needs longer than pageSilence, and against one that waits long for a store that was
// silent when it was asked and answers again since.
func TestListingOfSlowStore(t *testing.T) {
	is := is.New(t)
	timeouts := []time.Duration{}
	f := testFollower(Store{List: func(_ context.Context, _ hickorydirectory.Scope, timeout time.Duration) (*hickorydirectory.Batch, error) {
		timeouts = append(timeouts, timeout)
		return nil, errFailed
	}})
	for range 5 {
		batch, err := f.callStore(t.Context())
		f.recordOutcome(batch, err, 0)
	}
	is.Equal(timeouts, []time.Duration{pageSilence, pageSilence, pageSilence, slowPageSilence, pageSilence})
}

// TestFollowersOfParts guards against a whole listing for each part at the start, against
// parts that begin before a first one is known, and against an answer for one part that
// counts as one for all.
func TestFollowersOfParts(t *testing.T) {
	is := is.New(t)
	listed := []hickorydirectory.Scope{}
	store := Store{List: func(_ context.Context, scope hickorydirectory.Scope, _ time.Duration) (*hickorydirectory.Batch, error) {
		listed = append(listed, scope)
		return &hickorydirectory.Batch{Through: 7}, nil
	}, Watch: func(context.Context, hickorydirectory.Scope, hickorydirectory.Revision, time.Duration, time.Duration) (*hickorydirectory.Batch, error) {
		return nil, errHistoryGone
	}}
	first, zones := testFollower(store), testFollowerOf(hickorydirectory.ScopeZones, store)
	for _, f := range []*storeFollower{first, zones} {
		f.setReading(true, hickorydirectory.Position{})
	}
	is.True(first.reading.Load())
	is.True(!zones.reading.Load())
	for range 3 {
		batch, err := first.callStore(t.Context())
		first.recordOutcome(batch, err, 0)
	}
	is.Equal(listed, []hickorydirectory.Scope{hickorydirectory.ScopeAll, hickorydirectory.ScopeUpstreams})
	is.Equal(first.called, hickorydirectory.ScopeUpstreams)
	zones.setReading(true, hickorydirectory.Position{Upstreams: 7, Zones: 7, Table: 7})
	is.True(zones.reading.Load())
}
