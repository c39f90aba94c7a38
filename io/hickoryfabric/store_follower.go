package hickoryfabric

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
)

const (
	// pageSilence bounds the time in which nothing of a page of a listing arrives: a store
	// that is 60 times slower than usual takes 240 ms. A store that was silent does not
	// answer the calls of that time any more, and callers wait for the first listing. Each
	// patientAttempt-th attempt waits for slowPageSilence, in case the store is slower
	// still.
	pageSilence     = 500 * time.Millisecond
	slowPageSilence = 2 * time.Second
	patientAttempt  = 4
	// watchWait is how long the store holds a watch without changes; watchSilence bounds
	// the time after that in which nothing arrives. When a connection breaks without an
	// error, this balancer and those that follow it miss changes for the sum of both
	// at most, which must stay below the time within which a change has to take
	// effect. Few balancers watch, so that the watch can be short.
	watchWait    = 500 * time.Millisecond
	watchSilence = 700 * time.Millisecond
	// readTimeout bounds a call whose answer keeps arriving, but too slowly to be of use:
	// the largest answer takes 7 s over 10 Mbit/s.
	readTimeout = 10 * time.Second
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

// storeFollower reads one part of the published state from the store: a listing, then
// watches for changes, while the directoryUpdater wants it to. Otherwise it only calls the
// store for a confirmation. Each outcome of a call goes to the directoryUpdater.
type storeFollower struct {
	store Store
	// scope is the part that is watched. The follower of the upstreams lists the whole
	// state at the start of the process; the others begin when that is known.
	scope        hickorydirectory.Scope
	tableReads   hickorydirectory.TableReads
	random       *rand.Rand
	storeAnswers *hickoryring.StoreRing
	// confirmRequests shortens the pause before the next call: the decide duty needs
	// confirmation that it has all upstreams. It is only used for their part.
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
	// called has the parts that the last call was for: all of them for the first listing.
	called hickorydirectory.Scope
	// confirming is true while the next watch is sent only for confirmation.
	confirming bool

	clock *hickoryclock.Clock
	// reading is true while the store is to be watched, and knownThrough is the
	// revision up to which the directory has all changes of the part. The directoryUpdater
	// writes both.
	reading      atomic.Bool
	knownThrough atomic.Int64
}

// newStoreFollower returns a follower of a part of the published state.
func newStoreFollower(store Store, part hickorydirectory.Scope, random *rand.Rand, rings balancerRings, clock *hickoryclock.Clock, scope tally.Scope, logger *hickorylog.Logger) *storeFollower {
	f := &storeFollower{
		store: store, scope: part, random: random, clock: clock, callCounters: newCallCounters(scope, part), logger: logger,
		storeAnswers: rings.storeAnswers, confirmRequests: hickoryring.NewWakeRing(), readRequests: hickoryring.NewWakeRing(),
	}
	if f.isFirst() {
		f.confirmRequests = rings.confirmRequests
	}
	return f
}

// isFirst reports whether the follower lists the whole state at the start, and confirms.
func (f *storeFollower) isFirst() bool {
	return f.scope == hickorydirectory.ScopeUpstreams
}

// lists reports whether the next call is a listing.
func (f *storeFollower) lists() bool {
	return !f.listed || f.tableReads.NewestOnly()
}

// run follows the store until the context ends.
func (f *storeFollower) run(ctx context.Context) error {
	if f.store.Connect != nil && f.isFirst() && !f.listed {
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
		if !f.storeAnswers.Put(ctx, hickoryring.StoreAnswer{Scope: f.called, Batch: batch, Err: err, SentAt: sent}) {
			return ctx.Err()
		}
		if err := f.waitForNextCall(ctx, f.recordOutcome(batch, err, f.clock.Now().Sub(sent)), err == nil); err != nil {
			return err
		}
	}
}

// setReading sets whether the store is to be watched, and up to which revisions all
// changes are known. Only the first follower reads before anything is known.
func (f *storeFollower) setReading(reading bool, known hickorydirectory.Position) {
	through := known.Of(f.scope)
	reading = reading && (f.isFirst() || through > 0)
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
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if known := hickorydirectory.Revision(f.knownThrough.Load()); known > f.through {
		f.through = known
		f.listed = true // by another balancer, or together with another part
	}
	f.called = f.scope
	if f.isFirst() && f.through == 0 {
		f.called = hickorydirectory.ScopeAll // nothing is known
	}
	if f.lists() {
		silence := pageSilence
		if (f.failures+1)%patientAttempt == 0 {
			silence = slowPageSilence
		}
		return f.store.List(ctx, f.called, silence)
	}
	wait := watchWait
	if f.confirming {
		wait = confirmWatchWait
	}
	return f.store.Watch(ctx, f.called, f.through, wait, watchSilence)
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

// recordOutcome records the outcome of a call that took some time, and returns the pause
// before the next one.
func (f *storeFollower) recordOutcome(batch *hickorydirectory.Batch, err error, took time.Duration) time.Duration {
	if err == nil {
		f.count("answered")
		f.failures = 0
		f.listed = true
		return f.recordAnswer(batch, took)
	}
	if f.store.HistoryGone(err) {
		f.count("historyGone")
		f.listed = false
		return 0
	}
	f.count("failed")
	if f.scope == hickorydirectory.ScopeTable {
		f.tableReads.RecordFailure()
	}
	wait := backoffBase
	if f.listed { // callers do not wait for the next answer
		wait = min(backoffBase<<min(f.failures, 8), backoffLimit)
	}
	f.failures++
	return wait/2 + time.Duration(f.random.Int64N(int64(wait)))
}

// recordAnswer records an answer and returns the pause before the next call.
func (f *storeFollower) recordAnswer(batch *hickorydirectory.Batch, took time.Duration) time.Duration {
	newer := batch.Through > f.through
	f.through = max(f.through, batch.Through)
	if f.scope == hickorydirectory.ScopeTable {
		if f.tableReads.RecordAnswer(batch) {
			return f.tableReads.Pause(took, batchPause)
		}
		newer = newer && !batch.Complete
	}
	if held := took >= watchWait && len(batch.Changes) == 0; !newer || held {
		return 0
	}
	return batchPause
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
