package hickoryhealth

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// failureWeight and successWeight are the logarithms of the likelihood ratio of one
	// outcome between an upstream that fails 0.3 of its requests and one that fails
	// 0.03: ln(0.3/0.03) and ln(0.97/0.7).
	failureWeight = 2.3026
	successWeight = 0.3264
	// scoreLimit is the score from which on an upstream is failing: three failures in a
	// row within 0.3 s, or four with at most seven successes between them. An upstream
	// that fails 0.02 of its requests reaches it once in about 35,000 requests (0.01: once
	// in 500,000), one that fails 0.45 after four failures on average.
	scoreLimit = 6.65
	// scoreLife is the time in which a score of scoreLimit falls to zero without
	// outcomes, so that rare failures do not add up.
	scoreLife = 10 * time.Second
)

// score is the cumulative sum of a sequential test (Page's CUSUM) of outcomes for an
// upstream that has begun to fail. It is between 0 and scoreLimit.
type score struct {
	value float64
	at    hickorymodel.Instant
}

func (s *score) record(failed bool) {
	if failed {
		s.value = min(s.value+failureWeight, scoreLimit)
		return
	}
	s.value = max(s.value-successWeight, 0)
}

// decay lowers the score by the age of its evidence.
func (s *score) decay(now hickorymodel.Instant) {
	age := now.Sub(s.at)
	s.at = now
	s.value = max(s.value-scoreLimit*age.Seconds()/scoreLife.Seconds(), 0)
}
