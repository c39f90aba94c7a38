package hickoryfabric

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickoryring"
)

const (
	// listTimeout bounds a listing; a store that answers 60 times as slowly as
	// usual needs about a second for its pages.
	listTimeout = 2 * time.Second
	// watchWait is how long the store holds a watch without changes. A
	// connection that has gone silent blinds a balancer for that time and
	// watchSlack at most, which must stay below the time to apply a change.
	watchWait  = 3 * time.Second
	watchSlack = 700 * time.Millisecond
	// answerTime is the longest time that a healthy store takes for an answer.
	answerTime = 300 * time.Millisecond
	// batchPause lets changes gather between two watches, since each call is paid
	// for. It adds to the time in which a change takes effect.
	batchPause = 800 * time.Millisecond
	// confirmPause is the shortest pause that a wish for confirmation leaves; it
	// bounds the calls while open flows are lost.
	confirmPause = 100 * time.Millisecond
	// confirmWait is how long the store holds a watch that is sent for
	// confirmation alone: the store's shortest.
	confirmWait = time.Millisecond
	// retryBase and retryLimit bound the pause after a failed call, which
	// doubles with each further one.
	retryBase  = 200 * time.Millisecond
	retryLimit = 800 * time.Millisecond
)

// follower reads the store: one listing, then watches.
type follower struct {
	store  Store
	random *rand.Rand
	ring   *hickoryring.StoreRing
	// wakes asks for an answer of the store soon.
	wakes *hickoryring.WakeRing
	calls map[string]tally.Counter

	// listed is true while the next call is a watch after through.
	listed  bool
	through hickorydirectory.Revision
	// failures counts the failed calls since the last answer.
	failures int
	// hurried is true while the next watch is sent for confirmation alone.
	hurried bool

	clock *hickoryclock.Clock
	// answeredSince is when the last answered call was sent whose changes are in
	// force, watchingSince when the pending watch was sent; 0 for none. Other
	// duties read them.
	answeredSince atomic.Int64
	watchingSince atomic.Int64
}

func newFollower(store Store, random *rand.Rand, ring *hickoryring.StoreRing, wakes *hickoryring.WakeRing, clock *hickoryclock.Clock, scope tally.Scope) *follower {
	calls := map[string]tally.Counter{}
	for _, outcome := range []string{"answered", "failed", "historyGone"} {
		calls[outcome] = scope.Tagged(map[string]string{"outcome": outcome}).Counter("store_calls")
	}
	return &follower{store: store, random: random, ring: ring, wakes: wakes, clock: clock, calls: calls}
}

// run follows the store until the context ends.
func (f *follower) run(ctx context.Context) error {
	for {
		sent := f.clock.Now()
		batch, err := f.call(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !f.ring.Put(ctx, hickoryring.StoreAnswer{Batch: batch, Err: err, SentAt: sent}) {
			return ctx.Err()
		}
		if err := f.rest(ctx, f.next(batch, err), err == nil); err != nil {
			return err
		}
	}
}

func (f *follower) call(ctx context.Context) (*hickorydirectory.Batch, error) {
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return f.store.List(ctx)
	}
	wait := watchWait
	if f.hurried {
		wait = confirmWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	f.watchingSince.Store(int64(f.clock.Now()))
	defer f.watchingSince.Store(0)
	return f.store.Watch(ctx, f.through, wait)
}

// rest waits between two calls. A wish for confirmation shortens the pause after
// an answer: open flows that nobody holds wait for it. Pauses after failures keep
// their length.
func (f *follower) rest(ctx context.Context, wait time.Duration, answered bool) error {
	f.hurried = false
	if !answered || wait <= confirmPause {
		return pause(ctx, wait)
	}
	if err := pause(ctx, confirmPause); err != nil {
		return err
	}
	timer := time.NewTimer(wait - confirmPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.wakes.Items():
		f.hurried = true
	case <-timer.C:
	}
	return nil
}

// noteApplied notes that the changes of an answered call are in force.
func (f *follower) noteApplied(sentAt hickorymodel.Instant) {
	f.answeredSince.Store(int64(sentAt))
}

// confirmed returns the time up to which all published changes are known: a
// watch that is pending for longer than an answer takes has missed nothing.
func (f *follower) confirmed(now hickorymodel.Instant) hickorymodel.Instant {
	confirmed := hickorymodel.Instant(f.answeredSince.Load())
	watching := hickorymodel.Instant(f.watchingSince.Load())
	if watching != 0 && now.Sub(watching) >= answerTime {
		confirmed = max(confirmed, now.Add(-answerTime))
	}
	return confirmed
}

// next notes the outcome of a call and returns the pause before the next one.
func (f *follower) next(batch *hickorydirectory.Batch, err error) time.Duration {
	if err == nil {
		f.calls["answered"].Inc(1)
		f.failures = 0
		f.listed = true
		f.through = max(f.through, batch.Through)
		if len(batch.Changes)+len(batch.RejectedValues) == 0 {
			return 0
		}
		return batchPause
	}
	if f.store.HistoryGone(err) {
		f.calls["historyGone"].Inc(1)
		f.listed = false
		return 0
	}
	f.calls["failed"].Inc(1)
	wait := min(retryBase<<min(f.failures, 8), retryLimit)
	f.failures++
	return wait/2 + time.Duration(f.random.Int64N(int64(wait)))
}

// pause waits, or returns the error of the context.
func pause(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
