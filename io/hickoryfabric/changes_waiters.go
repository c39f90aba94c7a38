package hickoryfabric

import (
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickorymessage"
)

// maxChangesWaiters bounds the calls for changes that wait at the same time.
const maxChangesWaiters = 128

// changesWaiter is a call for changes that is held until there is one.
type changesWaiter struct {
	call  hickoryring.ChangesCall
	since hickorymodel.Instant
	until hickorymodel.Instant
}

// changesWaiters holds the calls of the balancers that follow this one. It is not safe
// for concurrent use.
type changesWaiters struct {
	directory *hickorydirectory.Directory
	source    *hickorydirectory.Source
	// waiting has at most maxChangesWaiters entries.
	waiting []changesWaiter
}

// add answers a call at once if there is something to answer, and holds it otherwise.
func (w *changesWaiters) add(now hickorymodel.Instant, call hickoryring.ChangesCall) {
	waiter := changesWaiter{call: call, since: now, until: now.Add(time.Duration(call.Request.WaitMillis) * time.Millisecond)}
	if len(w.waiting) >= maxChangesWaiters || w.due(now, &waiter) {
		w.answer(now, &waiter)
		return
	}
	w.waiting = append(w.waiting, waiter)
}

// answerDue answers the calls for which there is a change, or which have waited long
// enough.
func (w *changesWaiters) answerDue(now hickorymodel.Instant) {
	held := w.waiting[:0]
	for i := range w.waiting {
		if waiter := w.waiting[i]; w.due(now, &waiter) {
			w.answer(now, &waiter)
		} else {
			held = append(held, waiter)
		}
	}
	w.waiting = held
}

func (w *changesWaiters) due(now hickorymodel.Instant, waiter *changesWaiter) bool {
	request := waiter.call.Request
	_, current := w.source.Age(now)
	position := positionOf(request)
	return !current || !now.Before(waiter.until) || w.directory.HasChanges(position) || (!request.TablePending && w.directory.TableDue(position))
}

func (w *changesWaiters) answer(now hickorymodel.Instant, waiter *changesWaiter) {
	request := waiter.call.Request
	age, current := w.source.Age(now)
	waiter.call.Reply <- hickorymessage.ChangesReply{
		Current:    current,
		AgeMillis:  int(max(age, 0).Milliseconds()),
		HeldMillis: int(now.Sub(waiter.since).Milliseconds()),

		TableAgeMillis: int(max(w.source.TableAge(now), 0).Milliseconds()),
		TableDue:       w.directory.TableDue(positionOf(request)),
		State:          w.directory.ExportChanges(now, positionOf(request)),
	}
}

// positionOf returns the position of the balancer that has sent a request.
func positionOf(request *hickorymessage.ChangesRequest) hickorydirectory.Position {
	return hickorydirectory.Position{
		Upstreams: hickorydirectory.Revision(request.Revision), Zones: hickorydirectory.Revision(request.ZonesRevision),
		Table: hickorydirectory.Revision(request.TableRevision), Version: request.Version,
	}
}
