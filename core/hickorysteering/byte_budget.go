package hickorysteering

import "hickoryworks/core/hickorymodel"

const (
	// searchRate bounds the bytes per second of packets that searches send to
	// agents which may not own the flow. The slowest links carry 1,250,000.
	searchRate = 200_000
	// searchBurst is the capacity of the token bucket in bytes.
	searchBurst = 100_000
)

// byteBudget is a token bucket that limits bytes per second.
type byteBudget struct {
	// credit is the number of bytes that may be sent now, at most searchBurst.
	credit   float64
	filledAt hickorymodel.Instant
}

// spend takes bytes from the bucket and reports whether it had enough.
func (b *byteBudget) spend(now hickorymodel.Instant, bytes int) bool {
	refill := now.Sub(b.filledAt).Seconds() * searchRate
	b.credit = min(b.credit+refill, searchBurst)
	b.filledAt = now
	if b.credit < float64(bytes) {
		return false
	}
	b.credit -= float64(bytes)
	return true
}
