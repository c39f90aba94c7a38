package hickoryrelay

import (
	"sync/atomic"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
)

// LeaseCell holds the current lease. The configuration duty stores it and the
// duties that forward packets read it concurrently. Both fields of a lease change
// together: with a new GrantedAt and an old Until, a process could forward
// packets after it was paused.
type LeaseCell struct {
	value atomic.Pointer[hickoryconfig.Lease]
}

// Store replaces the lease.
func (c *LeaseCell) Store(lease hickoryconfig.Lease) {
	c.value.Store(&lease)
}

// Allows reports whether packets may be forwarded now.
func (c *LeaseCell) Allows(now hickorymodel.Instant) bool {
	lease := c.value.Load()
	return lease != nil && lease.Allows(now)
}
