package hickoryconfig

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// ReadersPerZone is the number of balancers of a zone that watch the
	// configuration service all the time, called readers.
	ReadersPerZone = 3
	// WatchTime is how long the configuration service may hold the watch of a
	// reader. An answer proves that the service had nothing newer when the call
	// began, so a longer watch would use up FreshWindow. 33 readers make
	// 132 calls a second.
	WatchTime = 250 * time.Millisecond
	// A balancer that is no reader takes over, and reads, when no read has been
	// known for takeoverBaseDelay plus its rank times takeoverRankDelay.
	takeoverBaseDelay = 3 * time.Second
	takeoverRankDelay = 500 * time.Millisecond
	// takeoverTime is how long a balancer that took over continues to read, once
	// each takeoverReadInterval.
	takeoverTime         = 5 * time.Second
	takeoverReadInterval = time.Second
	// readInterval is the mean time between the reads of a balancer that is no
	// reader: 16,500 instances make 1,650 reads a second.
	readInterval = 10 * time.Second
	// readRetryDelay is the shortest time between a failed read and the next one.
	readRetryDelay = 500 * time.Millisecond
	// pendingLimit is the time after which a read counts as lost. It is longer than
	// any read takes to end with a result or an error.
	pendingLimit = 10 * time.Second
)

// ReadScheduler decides when a balancer reads the configuration service.
type ReadScheduler struct {
	random  *rand.Rand
	limiter *rate.Limiter
	// switchedOff holds the rules that a test has switched off.
	switchedOff Rule
	// takeoverFrom is a random time after the start. While no read is known, the
	// delay of a takeover counts from then. Without it, all processes of a fleet
	// that restarts would read in the same second.
	takeoverFrom hickorymodel.Instant
	// nextAt is the earliest time of the next read; takeoverEnd is the end of a
	// takeover, 0 when there is none.
	nextAt      hickorymodel.Instant
	takeoverEnd hickorymodel.Instant
	// startedAt is the time at which the newest read began.
	startedAt hickorymodel.Instant
	// pendingUntil is the time at which a read without result counts as lost; 0
	// while none is pending.
	pendingUntil hickorymodel.Instant
}

// NewReadScheduler returns the scheduler of a process that has just started.
func NewReadScheduler(random *rand.Rand) *ReadScheduler {
	return &ReadScheduler{random: random, limiter: rate.NewLimiter(rate.Every(readInterval), 1)}
}

// SwitchOff switches rules off. Tests use it to show that a check fails without
// the rule.
func (r *ReadScheduler) SwitchOff(rules Rule) {
	r.switchedOff = rules
}

// ReadState is what the decision to read depends on. Rank is the position of this
// instance in its zone; the first ReadersPerZone are readers.
type ReadState struct {
	Rank int
	// Newest is the start of the newest known read and Reader the instance that
	// made it.
	Newest hickorymodel.Instant
	Reader hickoryid.InstanceID
	Self   hickoryid.InstanceID
}

// Next reports whether to read now, and how long the configuration service may
// hold the call.
func (r *ReadScheduler) Next(now hickorymodel.Instant, state ReadState) (time.Duration, bool) {
	if r.takeoverFrom == 0 {
		r.takeoverFrom = now.Add(time.Duration(r.random.Int64N(int64(readInterval))))
	}
	if now.Before(r.pendingUntil) || now.Before(r.nextAt) {
		return 0, false
	}
	if state.Rank < ReadersPerZone {
		r.beginRead(now)
		return WatchTime, true
	}
	if r.continuesTakeover(now, state) || r.startsTakeover(now, state) {
		r.beginRead(now)
		return 0, true
	}
	return 0, false
}

func (r *ReadScheduler) beginRead(now hickorymodel.Instant) {
	r.startedAt = now
	r.pendingUntil = now.Add(pendingLimit)
}

// continuesTakeover reports whether a takeover is still running. It is extended
// while the newest known read is one of this instance.
func (r *ReadScheduler) continuesTakeover(now hickorymodel.Instant, state ReadState) bool {
	if now.Before(r.takeoverEnd) {
		return true
	}
	if r.takeoverEnd != 0 && state.Reader == state.Self {
		r.takeoverEnd = now.Add(takeoverTime)
		return true
	}
	r.takeoverEnd = 0
	return false
}

// startsTakeover reports whether to read because the readers have stopped reading.
func (r *ReadScheduler) startsTakeover(now hickorymodel.Instant, state ReadState) bool {
	if r.switchedOff.has(RuleTakeover) {
		return false
	}
	noReadSince := max(state.Newest, r.takeoverFrom)
	takeoverDelay := takeoverBaseDelay + time.Duration(state.Rank)*takeoverRankDelay
	if r.switchedOff.has(RuleReadLimit) {
		return true
	}
	if now.Sub(noReadSince) <= takeoverDelay {
		return false
	}
	return r.limiter.AllowN(wallTime(now), 1)
}

// Done records the end of a read; ok is false when it failed.
func (r *ReadScheduler) Done(now hickorymodel.Instant, state ReadState, ok bool) {
	r.pendingUntil = 0
	switch {
	case ok && state.Rank < ReadersPerZone:
		// Limits the calls when the configuration service answers watches at once.
		r.nextAt = r.startedAt.Add(WatchTime)
	case ok:
		r.nextAt = now.Add(takeoverReadInterval)
		if r.takeoverEnd == 0 {
			r.takeoverEnd = now.Add(takeoverTime)
		}
	default:
		r.takeoverEnd = 0
		r.nextAt = now.Add(readRetryDelay + time.Duration(r.random.Int64N(int64(readRetryDelay))))
	}
}

// wallTime converts an instant for package rate, which only compares times.
func wallTime(now hickorymodel.Instant) time.Time {
	return time.Unix(0, int64(now))
}
