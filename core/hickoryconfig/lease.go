package hickoryconfig

import "hickoryworks/core/hickorymodel"

// Lease is the permission to forward packets until a time. The duty that forwards
// packets checks it before each packet.
type Lease struct {
	// Until is the time up to which forwarding is allowed.
	Until hickorymodel.Instant
	// GrantedAt is the time at which the lease was granted. A lease is renewed every
	// TickInterval, so one that is older than PauseLimit shows that the process was
	// paused.
	GrantedAt hickorymodel.Instant
}

// Allows reports whether packets may be forwarded.
func (l Lease) Allows(now hickorymodel.Instant) bool {
	return now.Before(l.Until) && now.Sub(l.GrantedAt) <= PauseLimit
}

// Lease returns the lease of a balancer.
func (n *Node) Lease(now hickorymodel.Instant) Lease {
	lease := Lease{Until: n.FreshUntil(now), GrantedAt: now}
	if n.switchedOff.has(RulePause) {
		lease.GrantedAt = lease.Until
	}
	return lease
}

// Lease returns the lease of an agent for packets to other agents. Delivery to
// the agent's own upstream needs none.
func (f *Follower) Lease(now hickorymodel.Instant) Lease {
	return Lease{Until: f.FreshUntil(now), GrantedAt: now}
}
