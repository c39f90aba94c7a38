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
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryevent"
)

const (
	// pageTimeout bounds each page of a listing: a store that is 60 times slower than
	// usual takes 240 ms. A store that was silent does not answer the calls of that
	// time any more, and callers wait for the first listing. Each patientAttempt-th
	// attempt waits for slowPageTimeout, in case the store is slower still.
	pageTimeout     = 500 * time.Millisecond
	slowPageTimeout = 2 * time.Second
	patientAttempt  = 4
	// watchWait is how long the store holds a watch without changes; watchSlack is
	// added to it for the timeout of the call. When a connection breaks without an
	// error, this balancer and those that follow it miss changes for the sum of both
	// at most, which must stay below the time within which a change has to take
	// effect. Few balancers watch, so that the watch can be short.
	watchWait  = 500 * time.Millisecond
	watchSlack = 700 * time.Millisecond
	// maxAnswerTime is the longest time that a healthy store takes to answer.
	maxAnswerTime = 300 * time.Millisecond
	// batchPause is the pause after an answer with changes, also of keys that
	// hickoryworks does not use, so that one watch reads several changes: each call to
	// the store is billed. It adds to the time until a change takes effect.
	batchPause = 500 * time.Millisecond
	// minCallPause is the shortest pause after an answer when a confirmation is
	// requested. It limits the rate of calls while open flows are lost.
	minCallPause = 100 * time.Millisecond
	// confirmWatchWait is how long the store holds a watch that is sent only to
	// confirm that there are no further changes: the shortest wait that the store
	// accepts.
	confirmWatchWait = time.Millisecond
	// backoffBase is the pause after a failed call; after the first listing it doubles
	// with each further failure up to backoffLimit. Both are multiplied by a random factor from 0.5
	// to 1.5.
	backoffBase  = 200 * time.Millisecond
	backoffLimit = 800 * time.Millisecond
)

// storeFollower reads the published state from the store: one listing, then watches
// for changes, while the directoryUpdater wants it to. Otherwise it only calls the
// store for a confirmation. Each outcome of a call goes to the directoryUpdater.
type storeFollower struct {
	store        Store
	random       *rand.Rand
	storeAnswers *hickoryring.StoreRing
	// confirmRequests shortens the pause before the next call: the decide duty needs
	// confirmation that it has all published changes.
	confirmRequests *hickoryring.WakeRing
	// readRequests ends the wait while reading is false.
	readRequests *hickoryring.WakeRing
	callCounters map[storeCall]tally.Counter
	logger       *hickorylog.Logger

	// listed is true after a listing. The next call is then a watch for changes after
	// the revision through.
	listed  bool
	through hickorydirectory.Revision
	// failures counts the failed calls since the last answer.
	failures int
	// confirming is true while the next watch is sent only for confirmation.
	confirming bool

	clock *hickoryclock.Clock
	// reading is true while the store is to be watched, and knownThrough is the
	// revision up to which the directory has all changes. The directoryUpdater writes
	// both.
	reading      atomic.Bool
	knownThrough atomic.Int64
}

// storeCall is what the metrics tell apart of calls to the store.
type storeCall struct {
	kind, outcome string
}

// Kinds of calls to the store: a listing counts as one, whatever its pages.
const (
	kindListing      = "listing"
	kindWatch        = "watch"
	kindConfirmation = "confirmation"
)

// kind returns the kind of the call that callStore sends next.
func (f *storeFollower) kind() string {
	switch {
	case !f.listed:
		return kindListing
	case f.confirming:
		return kindConfirmation
	default:
		return kindWatch
	}
}

func (f *storeFollower) count(outcome string) {
	f.callCounters[storeCall{f.kind(), outcome}].Inc(1)
}

func newStoreFollower(store Store, random *rand.Rand, rings balancerRings, clock *hickoryclock.Clock, scope tally.Scope, logger *hickorylog.Logger) *storeFollower {
	callCounters := map[storeCall]tally.Counter{}
	for _, kind := range []string{kindListing, kindWatch, kindConfirmation} {
		for _, outcome := range []string{"answered", "failed", "historyGone"} {
			callCounters[storeCall{kind, outcome}] = scope.Tagged(map[string]string{"kind": kind, "outcome": outcome}).Counter("store_calls")
		}
	}
	return &storeFollower{
		store: store, random: random, clock: clock, callCounters: callCounters, logger: logger,
		storeAnswers: rings.storeAnswers, confirmRequests: rings.confirmRequests, readRequests: rings.readRequests,
	}
}

// run follows the store until the context ends.
func (f *storeFollower) run(ctx context.Context) error {
	if f.store.Connect != nil && !f.listed {
		f.store.Connect(ctx)
	}
	for {
		if err := f.waitUntilNeeded(ctx); err != nil {
			return err
		}
		sent := f.clock.Now()
		batch, err := f.callStore(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			f.logFailure(sent, err)
		}
		if !f.storeAnswers.Put(ctx, hickoryring.StoreAnswer{Batch: batch, Err: err, SentAt: sent}) {
			return ctx.Err()
		}
		if err := f.waitForNextCall(ctx, f.recordOutcome(batch, err), err == nil); err != nil {
			return err
		}
	}
}

// logFailure logs a failed call that was sent at a time.
func (f *storeFollower) logFailure(sent hickorymodel.Instant, err error) {
	f.logger.Log(hickoryevent.StoreCallFailed, hickorylog.Fields{
		"kind": f.kind(), "after": int(f.through), "elapsedMillis": int(f.clock.Now().Sub(sent).Milliseconds()), "error": err.Error(),
	})
}

// setReading sets whether the store is to be watched, and the revision up to which all
// changes are known.
func (f *storeFollower) setReading(reading bool, through hickorydirectory.Revision) {
	f.knownThrough.Store(int64(through))
	if f.reading.Swap(reading) != reading && reading {
		f.readRequests.Put()
	}
}

// waitUntilNeeded waits until the store is to be watched, or is to be called once for a
// confirmation.
func (f *storeFollower) waitUntilNeeded(ctx context.Context) error {
	for !f.confirming && !f.reading.Load() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.readRequests.Items():
		case <-f.confirmRequests.Items():
			f.confirming = true
		}
	}
	return nil
}

// callStore sends one listing or watch.
func (f *storeFollower) callStore(ctx context.Context) (*hickorydirectory.Batch, error) {
	if known := hickorydirectory.Revision(f.knownThrough.Load()); known > f.through {
		f.through = known
		f.listed = true // by another balancer
	}
	if !f.listed {
		timeout := pageTimeout
		if (f.failures+1)%patientAttempt == 0 {
			timeout = slowPageTimeout
		}
		return f.store.List(ctx, timeout)
	}
	wait := watchWait
	if f.confirming {
		wait = confirmWatchWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return f.store.Watch(ctx, f.through, wait)
}

// waitForNextCall waits between two calls. A request for confirmation shortens the
// pause after an answer, since searches for flows that no upstream holds end only
// after it. Pauses after failures keep their length.
func (f *storeFollower) waitForNextCall(ctx context.Context, wait time.Duration, answered bool) error {
	f.confirming = false
	if !f.reading.Load() {
		wait = max(wait, minCallPause)
	}
	if err := sleep(ctx, min(wait, minCallPause)); err != nil {
		return err
	}
	if !answered {
		return sleep(ctx, wait-minCallPause)
	}
	if wait <= minCallPause {
		f.confirming = f.takeConfirmRequest()
		return nil
	}
	timer := time.NewTimer(wait - minCallPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.confirmRequests.Items():
		f.confirming = true
	case <-timer.C:
	}
	return nil
}

// takeConfirmRequest reports whether a confirmation was requested, without waiting.
func (f *storeFollower) takeConfirmRequest() bool {
	select {
	case <-f.confirmRequests.Items():
		return true
	default:
		return false
	}
}

// recordOutcome records the outcome of a call and returns the pause before the next
// one.
func (f *storeFollower) recordOutcome(batch *hickorydirectory.Batch, err error) time.Duration {
	if err == nil {
		f.count("answered")
		f.failures = 0
		f.listed = true
		if batch.Through <= f.through {
			return 0 // the store has held the watch
		}
		f.through = batch.Through
		return batchPause
	}
	if f.store.HistoryGone(err) {
		f.count("historyGone")
		f.listed = false
		return 0
	}
	f.count("failed")
	wait := backoffBase
	if f.listed { // callers do not wait for the next answer
		wait = min(backoffBase<<min(f.failures, 8), backoffLimit)
	}
	f.failures++
	return wait/2 + time.Duration(f.random.Int64N(int64(wait)))
}

// sleep waits for the given time. It returns the error of the context if that ends
// first.
func sleep(ctx context.Context, wait time.Duration) error {
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
