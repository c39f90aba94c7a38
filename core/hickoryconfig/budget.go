package hickoryconfig

import (
	"golang.org/x/time/rate"

	"hickoryworks/core/hickorymodel"
)

const (
	// BytesPerSecond limits the messages between a node and its peers, sent and
	// received together.
	BytesPerSecond = 13_000
	// burstBytes is 5 s of the budget, so that the rate limit of a node does not
	// delay a single change.
	burstBytes = 5 * BytesPerSecond
	// loadingBytesPerSecond replaces BytesPerSecond while a process that has just
	// started lacks sections: 2 MB of sections would take 150 s at the ordinary rate.
	loadingBytesPerSecond = 100_000

	// Estimated sizes of messages with their envelopes. The budget is charged with
	// them before the messages are encoded.
	exchangeBytes     = 600
	bucketBytes       = 900
	partOverheadBytes = 400
	pushOverheadBytes = 450
)

// budget limits the rate of bytes that a node sends and receives.
type budget struct {
	limiter *rate.Limiter
}

func newBudget() *budget {
	return &budget{limiter: rate.NewLimiter(BytesPerSecond, burstBytes)}
}

// setLoading selects the higher rate while the process lacks sections.
func (b *budget) setLoading(now hickorymodel.Instant, loading bool) {
	limit := rate.Limit(BytesPerSecond)
	if loading {
		limit = loadingBytesPerSecond
	}
	if b.limiter.Limit() != limit {
		b.limiter.SetLimitAt(wallTime(now), limit)
	}
}

// charge deducts the bytes of messages that can't be delayed; the budget may
// become negative.
func (b *budget) charge(now hickorymodel.Instant, bytes int) {
	b.limiter.ReserveN(wallTime(now), bytes)
}

// allow deducts the bytes of a message that can be delayed. It reports false, and
// deducts nothing, when fewer bytes are left.
func (b *budget) allow(now hickorymodel.Instant, bytes int) bool {
	return b.limiter.AllowN(wallTime(now), bytes)
}
