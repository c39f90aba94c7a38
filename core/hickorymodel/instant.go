package hickorymodel

import "time"

// Instant is a time on the monotonic clock of one process, counted from an
// arbitrary origin. Instants of different processes can't be compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(i - earlier)
}

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool {
	return i < other
}
