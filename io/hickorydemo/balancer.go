package hickorydemo

import (
	"context"
	"fmt"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorybalancer"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
	"hickoryworks/schema/hickorysettings"
)

// demoBalancer is one balancer of the demo with its state in the fabric and in the
// list of instances.
type demoBalancer struct {
	id       hickoryid.InstanceID
	zone     hickoryid.ZoneName
	balancer *hickorybalancer.Balancer
	// inRotation is true while the fabric sends packets to the balancer.
	inRotation bool
	state      hickoryplatform.InstanceState
	// stopped is true once the balancer was stopped or killed.
	stopped bool
}

func (f *fleet) startBalancer(ctx context.Context, number int) error {
	profile := &f.options.Profile
	b := &demoBalancer{
		id:         hickoryid.InstanceID(fmt.Sprintf("balancer-%d", number)),
		zone:       profile.Zones[number%len(profile.Zones)],
		inRotation: true,
		state:      hickoryplatform.InstanceStateLive,
	}
	var err error
	b.balancer, err = hickorybalancer.New(hickorysettings.Balancer{
		Instance:        b.id,
		Zone:            b.zone,
		Region:          profile.Region,
		DataEndpoint:    "127.0.0.1:0",
		ControlEndpoint: "127.0.0.1:0",
		Platform:        f.platformSettings(),
	}, f.logger, hickorybalancer.WithCarrier(f.network.Carrier(b.zone)))
	if err != nil {
		return err
	}
	f.network.AssignZone(b.balancer.Endpoint(), b.zone)
	f.balancers = append(f.balancers, b)
	return b.balancer.Start(ctx)
}

// stop closes the balancer. Further calls do nothing.
func (b *demoBalancer) stop() error {
	if b.stopped {
		return nil
	}
	b.stopped = true
	return b.balancer.Close()
}

// instance returns the entry of the balancer in the list of instances.
func (b *demoBalancer) instance(region hickoryid.RegionName) hickoryplatform.Instance {
	return hickoryplatform.Instance{
		ID:              b.id,
		Role:            hickoryplatform.RoleBalancer,
		Zone:            b.zone,
		Region:          region,
		State:           b.state,
		DataEndpoint:    b.balancer.Endpoint().ID(),
		ControlEndpoint: b.balancer.ControlEndpoint(),
	}
}

// updateFabric passes the balancers in rotation to the fabric.
func (f *fleet) updateFabric() {
	var endpoints []hickorymodel.Endpoint
	for _, b := range f.balancers {
		if b.inRotation {
			endpoints = append(endpoints, b.balancer.Endpoint())
		}
	}
	f.fabric.SetBalancers(endpoints)
}

// balancersInRotation returns the balancers that the fabric sends packets to.
func (f *fleet) balancersInRotation() []*demoBalancer {
	var balancersInRotation []*demoBalancer
	for _, b := range f.balancers {
		if b.inRotation {
			balancersInRotation = append(balancersInRotation, b)
		}
	}
	return balancersInRotation
}
