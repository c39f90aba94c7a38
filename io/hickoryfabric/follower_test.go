package hickoryfabric

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickoryring"
)

var (
	errGone   = errors.New("gone")
	errFailed = errors.New("failed")
)

func testFollower(store Store) *follower {
	store.HistoryGone = func(err error) bool { return errors.Is(err, errGone) }
	return newFollower(store, rand.New(rand.NewPCG(1, 1)), hickoryring.NewStoreRing(), hickoryring.NewWakeRing(), hickoryclock.New(), tally.NoopScope)
}

// TestFollowerPauses guards the number of calls: each one is paid for, also
// those that fail.
func TestFollowerPauses(t *testing.T) {
	is := is.New(t)
	f := testFollower(Store{})
	is.Equal(f.next(&hickorydirectory.Batch{Through: 4}, nil), time.Duration(0)) // a watch that ran out waited already
	is.Equal(f.next(&hickorydirectory.Batch{Through: 5, Changes: make([]hickorydirectory.Change, 1)}, nil), batchPause)
	longest := time.Duration(0)
	for range 20 {
		wait := f.next(nil, errFailed)
		is.True(wait >= retryBase/2)
		longest = max(longest, wait)
	}
	is.True(longest > retryLimit/2)
	is.True(longest < 2*retryLimit)
}

// TestFollowerLists guards against a follower that watches before it has listed,
// that lists again after each failure, or that does not after its history is gone.
func TestFollowerLists(t *testing.T) {
	is := is.New(t)
	calls := ""
	f := testFollower(Store{
		List: func(context.Context) (*hickorydirectory.Batch, error) {
			calls += "L"
			return &hickorydirectory.Batch{Through: 7}, nil
		},
		Watch: func(_ context.Context, after hickorydirectory.Revision, _ time.Duration) (*hickorydirectory.Batch, error) {
			calls += "W"
			is.Equal(after, hickorydirectory.Revision(7))
			return nil, errFailed
		},
	})
	for range 3 {
		batch, err := f.call(t.Context())
		f.next(batch, err)
	}
	f.next(nil, errGone)
	_, _ = f.call(t.Context())
	is.Equal(calls, "LWWL")
}

// TestFollowerBoundsCalls guards against a connection that has gone silent.
func TestFollowerBoundsCalls(t *testing.T) {
	is := is.New(t)
	bounded := func(ctx context.Context, limit time.Duration) {
		deadline, ok := ctx.Deadline()
		is.True(ok)
		is.True(time.Until(deadline) <= limit)
	}
	f := testFollower(Store{
		List: func(ctx context.Context) (*hickorydirectory.Batch, error) {
			bounded(ctx, listTimeout)
			return &hickorydirectory.Batch{}, nil
		},
		Watch: func(ctx context.Context, _ hickorydirectory.Revision, wait time.Duration) (*hickorydirectory.Batch, error) {
			bounded(ctx, wait+watchSlack)
			return &hickorydirectory.Batch{}, nil
		},
	})
	for range 2 {
		batch, err := f.call(t.Context())
		f.next(batch, err)
	}
}

// TestConfirmed guards against a balancer that takes its knowledge for complete
// between two calls, or while a watch may be about to be answered.
func TestConfirmed(t *testing.T) {
	cases := []struct {
		name              string
		answered, watched hickorymodel.Instant
		want              hickorymodel.Instant
	}{
		{"never", 0, 0, 0},
		{"pause after an answer", 5, 0, 5},
		{"watch has just begun", 5, hickorymodel.Instant(9900 * time.Millisecond), 5},
		{"watch has been pending", 5, hickorymodel.Instant(9 * time.Second), hickorymodel.Instant(9700 * time.Millisecond)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := testFollower(Store{})
			f.answeredSince.Store(int64(c.answered))
			f.watchingSince.Store(int64(c.watched))
			is.Equal(f.confirmed(hickorymodel.Instant(10*time.Second)), c.want)
		})
	}
}

// TestFollowerConfirmsOnDemand guards against open flows that wait for the end of
// the pause after a change before their loss is certain.
func TestFollowerConfirmsOnDemand(t *testing.T) {
	is := is.New(t)
	f := testFollower(Store{})
	f.wakes.Put()
	begun := time.Now()
	is.NoErr(f.rest(t.Context(), time.Hour, true))
	is.True(f.hurried)
	is.True(time.Since(begun) >= confirmPause) // each call is paid for
	waits := []time.Duration{}
	f.store.Watch = func(_ context.Context, _ hickorydirectory.Revision, wait time.Duration) (*hickorydirectory.Batch, error) {
		waits = append(waits, wait)
		return &hickorydirectory.Batch{}, nil
	}
	f.listed = true
	_, err := f.call(t.Context())
	is.NoErr(err)
	is.NoErr(f.rest(t.Context(), 0, true))
	_, err = f.call(t.Context())
	is.NoErr(err)
	is.Equal(waits, []time.Duration{confirmWait, watchWait})
}

// TestFollowerKeepsPauseAfterFailure guards a store that is down against calls for
// confirmation.
func TestFollowerKeepsPauseAfterFailure(t *testing.T) {
	is := is.New(t)
	f := testFollower(Store{})
	f.wakes.Put()
	begun := time.Now()
	is.NoErr(f.rest(t.Context(), 2*confirmPause, false))
	is.True(time.Since(begun) >= 2*confirmPause)
	is.True(!f.hurried)
}
