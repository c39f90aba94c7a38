package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// openingTime is the time from the first packet of a flow until the caller has
	// sent its request.
	openingTime = 15 * time.Millisecond
	// starvationTime is the longest time for which requests on open flows may keep
	// an upstream from getting a new flow.
	starvationTime = 100 * time.Millisecond
	// requestLife is how long an unanswered request counts as load. An upstream
	// that has not begun to answer by then may never do so.
	requestLife = 3 * time.Second
)

// idle reports whether the unanswered requests are within the number of slots, so
// that the upstream has no reason to shed one.
func (a *Agent) idle() bool {
	return a.busy*requestsPerSlot <= a.maxRoom
}

// admitRoom reports whether a new flow may be opened in addition to the unanswered
// requests and the flows opened within openingTime, whose requests are still to
// come, and why not. Room is the limit of their sum; 0 stands for no limit.
func (a *Agent) admitRoom(now hickorymodel.Instant, room int) (Reason, bool) {
	if room == 0 || a.busy+a.gate.recentOpenings(now, openingTime) < room {
		return ReasonNone, true
	}
	if a.gate.recentOpenings(now, starvationTime) == 0 {
		return ReasonNone, true
	}
	if a.busy < room {
		return ReasonPaced, false
	}
	return ReasonBusy, false
}
