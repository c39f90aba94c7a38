package hickoryfabric

import (
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorylog"
	"hickoryworks/schema/hickoryevent"
)

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
	case f.lists():
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

// newCallCounters returns the counters of the calls for a part of the published state.
func newCallCounters(scope tally.Scope, part hickorydirectory.Scope) map[storeCall]tally.Counter {
	callCounters := map[storeCall]tally.Counter{}
	scope = scope.Tagged(map[string]string{"part": part.String()})
	for _, kind := range []string{kindListing, kindWatch, kindConfirmation} {
		for _, outcome := range []string{"answered", "failed", "historyGone"} {
			callCounters[storeCall{kind, outcome}] = scope.Tagged(map[string]string{"kind": kind, "outcome": outcome}).Counter("store_calls")
		}
	}
	return callCounters
}

// logFailure logs a failed call that was sent at a time.
func (f *storeFollower) logFailure(sent hickorymodel.Instant, err error) {
	f.logger.Log(hickoryevent.StoreCallFailed, hickorylog.Fields{
		"kind": f.kind(), "part": f.scope.String(), "after": int(f.through), "elapsedMillis": int(f.clock.Now().Sub(sent).Milliseconds()), "error": err.Error(),
	})
}
