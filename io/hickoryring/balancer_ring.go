package hickoryring

import (
	"hickoryworks/core/hickorymember"
)

// BalancerRing carries the balancers of the instance list. A newer list replaces
// an older one, so the capacity is one and Put never blocks.
type BalancerRing struct {
	items chan []hickorymember.Balancer
}

// NewBalancerRing returns an empty ring.
func NewBalancerRing() *BalancerRing {
	return &BalancerRing{items: make(chan []hickorymember.Balancer, 1)}
}

// Items returns the channel to receive from.
func (r *BalancerRing) Items() <-chan []hickorymember.Balancer {
	return r.items
}

// Put replaces the list in the ring. Only one goroutine may call it.
func (r *BalancerRing) Put(balancers []hickorymember.Balancer) {
	select {
	case <-r.items:
	default:
	}
	r.items <- balancers
}
