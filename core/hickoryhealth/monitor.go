package hickoryhealth

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// minExclusion is the length of the first exclusion; each further one lasts twice as
	// long, up to maxExclusion.
	minExclusion = time.Second
	maxExclusion = 8 * time.Second
	// forgetTime is how long an upstream must be in good standing before its earlier
	// exclusions no longer prolong the next one.
	forgetTime = 20 * time.Second
	// probationScore is the highest score with which a probation begins. One failure
	// among the first seven outcomes then ends it, and 21 successes without a failure
	// end it well.
	probationScore = scoreLimit - 0.1
	// lateProbationScore is the score below which the second half of a probation begins.
	lateProbationScore = scoreLimit / 2
)

// Standing says how far an upstream gets new flows.
type Standing uint8

// Standings of upstreams.
const (
	// Good is the standing of an upstream that gets its full share of new flows.
	Good Standing = iota
	// Excluded is the standing of a failing upstream, which gets none.
	Excluded
	// Probation and LateProbation are the standings of an upstream whose exclusion has
	// ended, and which gets a small and then a larger part of its share.
	Probation
	LateProbation
)

// Change describes a change of the standing.
type Change struct {
	Standing Standing
	// Failures is the number of failed outcomes since the upstream was last free of
	// suspicion, or since its probation began.
	Failures int
	// Round is the number of the exclusion, since the upstream was last in good standing
	// for long; 0 for none.
	Round int
	// Excluded is the time that an exclusion that has ended took.
	Excluded time.Duration
}

// Monitor is the health of one upstream. The zero Monitor is in good standing.
type Monitor struct {
	standing Standing
	// requests and openings are the scores of requests and of first packets. They are
	// apart because upstreams that fail one of them may serve the other.
	requests score
	openings score
	// since is when the standing began, or when the upstream was last silent if that was
	// later.
	since hickorymodel.Instant
	// until is the end of an exclusion.
	until hickorymodel.Instant
	// round is as in Change.
	round int
	// failures is as in Change; failedAt is when the last failure was recorded.
	failures int
	failedAt hickorymodel.Instant
}

// Standing returns the standing after the last call of Advance.
func (m *Monitor) Standing() Standing {
	return m.standing
}

// RecordRequest records the outcome of a request.
func (m *Monitor) RecordRequest(now hickorymodel.Instant, failed bool) {
	m.record(now, &m.requests, failed)
}

// RecordOpening records whether the upstream has failed to answer a first packet.
func (m *Monitor) RecordOpening(now hickorymodel.Instant, failed bool) {
	m.record(now, &m.openings, failed)
}

func (m *Monitor) record(now hickorymodel.Instant, s *score, failed bool) {
	m.decay(now)
	s.record(failed)
	if failed {
		m.failures++
		m.failedAt = now
	}
}

// RecordReturn records that the upstream has come back after it had answered nothing
// for a time. That may happen once; an upstream that does so again within forgetTime is
// failing from then on.
func (m *Monitor) RecordReturn(now hickorymodel.Instant) {
	m.forget(now)
	m.since = now
	if m.round == 0 {
		m.round = 1
		return
	}
	m.requests = score{value: scoreLimit, at: now}
	if m.standing == Excluded {
		m.exclude(now)
	}
}

// Advance brings the standing up to date and reports whether it has changed.
func (m *Monitor) Advance(now hickorymodel.Instant) (Change, bool) {
	m.decay(now)
	m.forget(now)
	switch {
	case m.standing == Excluded:
		return m.endExclusion(now)
	case m.score() >= scoreLimit:
		m.exclude(now)
		return m.change(now, Excluded), true
	case m.score() == 0:
		return m.clear(now)
	case m.standing == Probation && m.score() < lateProbationScore:
		return m.change(now, LateProbation), true
	default:
		return Change{}, false
	}
}

// exclude begins an exclusion, or begins it anew.
func (m *Monitor) exclude(now hickorymodel.Instant) {
	length := minExclusion
	for range m.round {
		length = min(2*length, maxExclusion)
	}
	m.round++
	m.until = now.Add(length)
}

// endExclusion begins the probation once the exclusion is over. While requests of open
// flows still fail it prolongs the exclusion.
func (m *Monitor) endExclusion(now hickorymodel.Instant) (Change, bool) {
	if now.Before(m.until) {
		return Change{}, false
	}
	if m.score() >= lateProbationScore && now.Sub(m.failedAt) < minExclusion && m.failedAt > m.since {
		m.until = now.Add(minExclusion)
		return Change{}, false
	}
	m.requests.value = min(m.requests.value, probationScore)
	m.openings.value = min(m.openings.value, probationScore)
	m.requests.at, m.openings.at = now, now
	excluded := now.Sub(m.since)
	change := m.change(now, Probation)
	change.Excluded = excluded
	m.failures = 0
	return change, true
}

// clear ends all suspicion, and the probation if there is one.
func (m *Monitor) clear(now hickorymodel.Instant) (Change, bool) {
	m.failures = 0
	if m.standing == Good {
		return Change{}, false
	}
	return m.change(now, Good), true
}

func (m *Monitor) change(now hickorymodel.Instant, standing Standing) Change {
	m.standing = standing
	m.since = now
	return Change{Standing: standing, Failures: m.failures, Round: m.round}
}

func (m *Monitor) score() float64 {
	return max(m.requests.value, m.openings.value)
}

// decay lowers the scores by the age of their evidence, except in an exclusion, in which
// the upstream has few chances to show that it has recovered.
func (m *Monitor) decay(now hickorymodel.Instant) {
	if m.standing == Excluded {
		return
	}
	m.requests.decay(now)
	m.openings.decay(now)
}

// forget drops the exclusions from before a long time of good standing.
func (m *Monitor) forget(now hickorymodel.Instant) {
	if m.standing == Good && now.Sub(m.since) >= forgetTime {
		m.round = 0
	}
}
