package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// openingTime is how long it takes a caller to send the request of a new flow.
	openingTime = 15 * time.Millisecond
	// starvationTime is the longest time without a new flow while the requests of
	// open flows keep an upstream busy.
	starvationTime = 100 * time.Millisecond
	// requestLife is how long an unanswered request counts as work. An upstream
	// that has not begun to answer by then may never do so.
	requestLife = 3 * time.Second
)

// idle reports whether the upstream has a slot for each unanswered request, so that
// it has no reason to shed one.
func (a *Agent) idle() bool {
	return a.busy*requestsPerSlot <= a.room
}

// hasRoom reports whether a new flow may be opened beside the unanswered
// requests, of which there may be room; 0 stands for no limit.
func (a *Agent) hasRoom(now hickorymodel.Instant, room int) bool {
	if room == 0 || a.busy+a.gate.opened(now, openingTime) < room {
		return true
	}
	return a.gate.opened(now, starvationTime) == 0
}
