package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// healthInterval is half of the time over which outcomes of requests count.
	healthInterval = time.Second
	// minFailures is the number of failed requests that it takes to call an upstream
	// failing, since single ones have many causes.
	minFailures = 4
	// failingShare is the share of failed requests from which on an upstream is
	// failing; below half of it the upstream has recovered.
	failingShare = 0.25
	// lateTime is how long a request may be unanswered before it counts as failed.
	lateTime = time.Second
)

// outcomes counts requests.
type outcomes struct {
	served int
	failed int
}

// health judges an upstream by the outcomes of its requests, as its health check
// may be false either way.
type health struct {
	current  outcomes
	previous outcomes
	// turnedAt is when current began.
	turnedAt hickorymodel.Instant
	failing  bool
}

func (h *health) note(now hickorymodel.Instant, failed bool) {
	h.turn(now)
	if failed {
		h.current.failed++
	} else {
		h.current.served++
	}
}

// turn forgets outcomes that are too old.
func (h *health) turn(now hickorymodel.Instant) {
	age := now.Sub(h.turnedAt)
	if age < healthInterval {
		return
	}
	h.previous = h.current
	if age >= 2*healthInterval {
		h.previous = outcomes{}
	}
	h.current = outcomes{}
	h.turnedAt = now
}

// tick judges the upstream and reports whether the judgement has changed.
func (h *health) tick(now hickorymodel.Instant) bool {
	h.turn(now)
	failed := h.current.failed + h.previous.failed
	share := float64(failed) / float64(max(failed+h.current.served+h.previous.served, 1))
	was := h.failing
	if was {
		h.failing = failed > 0 && share >= failingShare/2
	} else {
		h.failing = failed >= minFailures && share >= failingShare
	}
	return h.failing != was
}

// followRequests counts requests that stay unanswered, and forgets those that may
// never be answered.
func (a *Agent) followRequests(now hickorymodel.Instant) {
	for _, f := range a.flows {
		if !f.busy {
			continue
		}
		waited := now.Sub(f.askedAt)
		if waited > lateTime && !f.late {
			f.late = true
			a.health.note(now, true)
		}
		if waited > requestLife {
			a.setBusy(f, false)
		}
	}
}

// noteBreak ends a flow that the upstream has broken off. One that it had closed
// before tells nothing of its health.
func (a *Agent) noteBreak(now hickorymodel.Instant, f *agentFlow) {
	if f.upstreamEnded {
		a.setBusy(f, false)
	}
	a.noteAnswer(now, f, true)
	f.upstreamEnded = true
}

// noteAnswer counts the outcome of the request of a flow, if there is one.
func (a *Agent) noteAnswer(now hickorymodel.Instant, f *agentFlow, failed bool) {
	if !f.busy {
		return
	}
	if !f.late {
		a.health.note(now, failed)
	}
	a.setBusy(f, false)
}
