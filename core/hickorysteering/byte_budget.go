package hickorysteering

import "hickoryworks/core/hickorymodel"

const (
	// searchRate bounds the bytes a second of packets that are sent to agents in
	// the hope that they know a flow; the slowest links carry 1,250,000.
	searchRate = 200_000
	// searchBurst is the number of those bytes that may be saved up.
	searchBurst = 100_000
)

// byteBudget is a token bucket over time.
type byteBudget struct {
	// credit is at most searchBurst.
	credit   float64
	filledAt hickorymodel.Instant
}

// take spends bytes and reports whether there was credit for them.
func (b *byteBudget) take(now hickorymodel.Instant, bytes int) bool {
	earned := now.Sub(b.filledAt).Seconds() * searchRate
	b.credit = min(b.credit+earned, searchBurst)
	b.filledAt = now
	if b.credit < float64(bytes) {
		return false
	}
	b.credit -= float64(bytes)
	return true
}
