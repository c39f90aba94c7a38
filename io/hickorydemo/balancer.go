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

// balancerUnit is one balancer with its place in the fabric and the list.
type balancerUnit struct {
	id       hickoryid.InstanceID
	zone     hickoryid.ZoneName
	balancer *hickorybalancer.Balancer
	// sprayed is true while the fabric hands packets to it.
	sprayed bool
	state   hickoryplatform.InstanceState
	gone    bool
}

func (f *fleet) startBalancer(ctx context.Context, number int) error {
	profile := &f.options.Profile
	b := &balancerUnit{
		id:      hickoryid.InstanceID(fmt.Sprintf("balancer-%d", number)),
		zone:    profile.Zones[number%len(profile.Zones)],
		sprayed: true,
		state:   hickoryplatform.InstanceStateLive,
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

// stop closes a balancer once.
func (b *balancerUnit) stop() error {
	if b.gone {
		return nil
	}
	b.gone = true
	return b.balancer.Close()
}

func (b *balancerUnit) instance(region hickoryid.RegionName) hickoryplatform.Instance {
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

// spray tells the fabric which balancers to hand packets to.
func (f *fleet) spray() {
	var endpoints []hickorymodel.Endpoint
	for _, b := range f.balancers {
		if b.sprayed {
			endpoints = append(endpoints, b.balancer.Endpoint())
		}
	}
	f.fabric.SetBalancers(endpoints)
}

// running returns the balancers that the fabric hands packets to.
func (f *fleet) running() []*balancerUnit {
	var running []*balancerUnit
	for _, b := range f.balancers {
		if b.sprayed {
			running = append(running, b)
		}
	}
	return running
}
