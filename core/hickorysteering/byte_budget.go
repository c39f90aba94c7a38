package hickorysteering

import "hickoryworks/core/hickorymodel"

const (
	// searchShare is the share of the balancer's link that packets of searches may
	// take, which go to agents that may not own the flow. Links of small balancers are
	// slow, and so are their processors, which need as much time for the packets that
	// come back.
	searchShare = 0.16
	// minSearchRate and maxSearchRate bound the packets of searches in bytes per
	// second. The first applies to a link whose bandwidth is not known, too.
	minSearchRate = 200_000
	maxSearchRate = 1_000_000
	// searchBurst is the capacity of the token bucket in bytes.
	searchBurst = 100_000
	// bytesPerMegabit converts the bandwidth of links.
	bytesPerMegabit = 125_000
)

// searchRate returns the bytes per second of packets of searches on a link with a
// bandwidth in megabits per second, 0 for an unknown one.
func searchRate(linkMbps float64) float64 {
	return max(minSearchRate, min(maxSearchRate, searchShare*linkMbps*bytesPerMegabit))
}

// byteBudget is a token bucket that limits bytes per second.
type byteBudget struct {
	// rate is the bytes per second that are added to credit.
	rate float64
	// credit is the number of bytes that may be sent now, at most searchBurst.
	credit   float64
	filledAt hickorymodel.Instant
}

// spend takes bytes from the bucket and reports whether it had enough.
func (b *byteBudget) spend(now hickorymodel.Instant, bytes int) bool {
	refill := now.Sub(b.filledAt).Seconds() * b.rate
	b.credit = min(b.credit+refill, searchBurst)
	b.filledAt = now
	if b.credit < float64(bytes) {
		return false
	}
	b.credit -= float64(bytes)
	return true
}
