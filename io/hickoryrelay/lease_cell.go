package hickoryrelay

import (
	"sync/atomic"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
)

// LeaseCell passes the lease from the configuration duty to the duties that
// forward packets. Both parts of a lease change together: a new GrantedAt with
// an old Until would let a process that was paused forward.
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
