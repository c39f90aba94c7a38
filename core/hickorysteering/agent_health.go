package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// healthInterval is half of the period over which outcomes of requests are
	// counted.
	healthInterval = time.Second
	// minFailures is the number of failed requests from which on an upstream may
	// count as failing; single failures have many causes.
	minFailures = 4
	// failingShare is the share of failed requests from which on an upstream is
	// failing. It has recovered once the share is below half of that.
	failingShare = 0.25
	// answerTimeout is how long a request may be unanswered before it is counted as
	// failed.
	answerTimeout = time.Second
)

// outcomes counts requests by outcome.
type outcomes struct {
	served int
	failed int
}

// health decides from the outcomes of its requests whether an upstream is failing.
// The upstream's own health check may be wrong either way.
type health struct {
	current  outcomes
	previous outcomes
	// intervalStart is when current began.
	intervalStart hickorymodel.Instant
	failing       bool
}

func (h *health) recordResult(now hickorymodel.Instant, failed bool) {
	h.rotate(now)
	if failed {
		h.current.failed++
	} else {
		h.current.served++
	}
}

// rotate discards outcomes that are older than two intervals.
func (h *health) rotate(now hickorymodel.Instant) {
	age := now.Sub(h.intervalStart)
	if age < healthInterval {
		return
	}
	h.previous = h.current
	if age >= 2*healthInterval {
		h.previous = outcomes{}
	}
	h.current = outcomes{}
	h.intervalStart = now
}

// detectChange updates failing from the recent outcomes and reports whether it has
// changed.
func (h *health) detectChange(now hickorymodel.Instant) bool {
	h.rotate(now)
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

// expireRequests counts requests that have been unanswered for answerTimeout as
// failed, and drops those older than requestLife, which may never be answered.
func (a *Agent) expireRequests(now hickorymodel.Instant) {
	for _, f := range a.flows {
		if !f.busy {
			continue
		}
		waited := now.Sub(f.requestedAt)
		if waited > answerTimeout && !f.countedLate {
			f.countedLate = true
			a.health.recordResult(now, true)
		}
		if waited > requestLife {
			a.setBusy(f, false)
		}
	}
}

// recordReset ends a flow that the upstream has reset, and counts its request as
// failed. If the upstream had closed the flow before, the reset is no evidence of
// failure.
func (a *Agent) recordReset(now hickorymodel.Instant, f *agentFlow) {
	if f.upstreamEnded {
		a.setBusy(f, false)
	}
	a.recordOutcome(now, f, true)
	f.upstreamEnded = true
	f.reset = true
}

// recordOutcome counts the outcome of the unanswered request of a flow, if there is
// one.
func (a *Agent) recordOutcome(now hickorymodel.Instant, f *agentFlow, failed bool) {
	if !f.busy {
		return
	}
	if !f.countedLate {
		a.health.recordResult(now, failed)
	}
	a.setBusy(f, false)
}
