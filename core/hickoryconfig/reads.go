package hickoryconfig

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// ReadersPerZone is the number of instances of a zone that watch the service.
	ReadersPerZone = 3
	// WatchTime is how long a watch of a reader may pend. An answer proves that
	// the service had nothing newer when the call began, so a longer watch would
	// use up the freshness window. 33 readers make 132 calls a second.
	WatchTime = 250 * time.Millisecond
	// takeoverBase and takeoverStep set when an instance reads although it is no
	// reader, by its rank.
	takeoverBase = 3 * time.Second
	takeoverStep = 500 * time.Millisecond
	// leaseTime is how long an instance that took over goes on reading, each leaseInterval.
	leaseTime     = 5 * time.Second
	leaseInterval = time.Second
	// readInterval is the mean time between the reads of an instance that is no
	// reader: 16,500 instances make 1,650 reads a second.
	readInterval = 10 * time.Second
	// retryTime is the shortest time between two reads of a reader when they fail.
	retryTime = 500 * time.Millisecond
	// pendingLimit is longer than any read takes to end with a result or an error.
	pendingLimit = 10 * time.Second
)

// ReadScheduler decides when an instance reads the configuration service.
type ReadScheduler struct {
	random  *rand.Rand
	limiter *rate.Limiter
	// without holds the rules that a test has switched off.
	without Rule
	// silentFrom is a random time after the start, from which an instance that
	// has heard of no read yet counts the silence of the readers. Without it, all
	// processes of a fleet that restarts would read in the same second.
	silentFrom hickorymodel.Instant
	nextAt     hickorymodel.Instant
	leaseEnd   hickorymodel.Instant
	// begunAt is the time of the newest read.
	begunAt hickorymodel.Instant
	// pendingUntil is the time at which a read without result counts as lost; 0
	// while none is pending.
	pendingUntil hickorymodel.Instant
}

// NewReadScheduler returns the reads of an instance.
func NewReadScheduler(random *rand.Rand) *ReadScheduler {
	return &ReadScheduler{random: random, limiter: rate.NewLimiter(rate.Every(readInterval), 1)}
}

// SwitchOff switches rules off; it is for tests of the checks.
func (r *ReadScheduler) SwitchOff(rules Rule) {
	r.without = rules
}

// ReadState is what the decision to read depends on.
type ReadState struct {
	Rank int
	// Newest is the time of the newest known read and Reader who made it.
	Newest hickorymodel.Instant
	Reader hickoryid.InstanceID
	Self   hickoryid.InstanceID
}

// Next reports whether to read now, and how long the service may hold the call.
func (r *ReadScheduler) Next(now hickorymodel.Instant, state ReadState) (time.Duration, bool) {
	if r.silentFrom == 0 {
		r.silentFrom = now.Add(time.Duration(r.random.Int64N(int64(readInterval))))
	}
	if now.Before(r.pendingUntil) || now.Before(r.nextAt) {
		return 0, false
	}
	if state.Rank < ReadersPerZone {
		r.begin(now)
		return WatchTime, true
	}
	if r.leased(now, state) || r.takesOver(now, state) {
		r.begin(now)
		return 0, true
	}
	return 0, false
}

func (r *ReadScheduler) begin(now hickorymodel.Instant) {
	r.begunAt = now
	r.pendingUntil = now.Add(pendingLimit)
}

func (r *ReadScheduler) leased(now hickorymodel.Instant, state ReadState) bool {
	if now.Before(r.leaseEnd) {
		return true
	}
	if r.leaseEnd != 0 && state.Reader == state.Self {
		r.leaseEnd = now.Add(leaseTime)
		return true
	}
	r.leaseEnd = 0
	return false
}

func (r *ReadScheduler) takesOver(now hickorymodel.Instant, state ReadState) bool {
	if r.without.has(RuleTakeover) {
		return false
	}
	silentSince := max(state.Newest, r.silentFrom)
	patience := takeoverBase + time.Duration(state.Rank)*takeoverStep
	if r.without.has(RuleReadLimit) {
		return true
	}
	if now.Sub(silentSince) <= patience {
		return false
	}
	return r.limiter.AllowN(wallTime(now), 1)
}

// Done notes that a read ended.
func (r *ReadScheduler) Done(now hickorymodel.Instant, state ReadState, ok bool) {
	r.pendingUntil = 0
	switch {
	case ok && state.Rank < ReadersPerZone:
		// A service that does not hold watches must not be called all the time.
		r.nextAt = r.begunAt.Add(WatchTime)
	case ok:
		r.nextAt = now.Add(leaseInterval)
		if r.leaseEnd == 0 {
			r.leaseEnd = now.Add(leaseTime)
		}
	default:
		r.leaseEnd = 0
		r.nextAt = now.Add(retryTime + time.Duration(r.random.Int64N(int64(retryTime))))
	}
}

// wallTime converts an instant for package rate, which only compares times.
func wallTime(now hickorymodel.Instant) time.Time {
	return time.Unix(0, int64(now))
}
