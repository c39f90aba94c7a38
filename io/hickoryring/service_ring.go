package hickoryring

import (
	"hickoryworks/core/hickorymodel"
)

// Services is the complete set of services in force: those of the configuration
// that a balancer or an agent applies at present.
type Services []hickorymodel.Service

// ServiceRing carries sets of services to the decide duty. A newer set replaces an
// older one, so the capacity is one and Put never blocks.
type ServiceRing struct {
	items chan Services
}

// NewServiceRing returns an empty ring.
func NewServiceRing() *ServiceRing {
	return &ServiceRing{items: make(chan Services, 1)}
}

// Items returns the channel to receive from.
func (r *ServiceRing) Items() <-chan Services {
	return r.items
}

// Put replaces the set in the ring. Only one goroutine may call it.
func (r *ServiceRing) Put(services Services) {
	select {
	case <-r.items:
	default:
	}
	r.items <- services
}
