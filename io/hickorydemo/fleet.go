package hickorydemo

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"

	"github.com/pkg/errors"

	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
	"hickoryworks/schema/hickorysettings"
)

// fleet holds the stand-ins, balancers and agents of one run.
type fleet struct {
	options  Options
	logger   *hickorylog.Logger
	random   *rand.Rand
	network  *hickorystandin.Network
	platform *hickorystandin.Platform
	fabric   *hickorystandin.Fabric
	caller   *hickorystandin.Caller

	balancers []*demoBalancer
	hosts     []*host
	// excluded is the zone that is out of service, or empty.
	excluded hickoryid.ZoneName
	// ports are the ports of the service addresses in the published section.
	ports []uint16
	// closers close the parts in reverse order of their start.
	closers []func() error
}

func newFleet(options Options, logger *hickorylog.Logger) *fleet {
	return &fleet{
		options: options,
		logger:  logger,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		ports:   []uint16{servicePort},
	}
}

// source returns a source of random numbers for one part, seeded from the options.
func (f *fleet) source() *rand.Rand {
	return rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
}

// start starts the stand-ins, hosts and balancers and publishes the instances and
// the section.
func (f *fleet) start(ctx context.Context) error {
	if err := f.startStandins(ctx); err != nil {
		return err
	}
	for i := range f.options.Profile.Services {
		service := &f.options.Profile.Services[i]
		for number := range service.Hosts {
			if err := f.startHost(ctx, service, number, 0); err != nil {
				return errors.Wrapf(err, "start upstream %d of %s", number, service.Name)
			}
		}
	}
	for number := range f.options.Balancers {
		if err := f.startBalancer(ctx, number); err != nil {
			return errors.Wrapf(err, "start balancer %d", number)
		}
	}
	f.publishInstances()
	f.updateFabric()
	return f.publish()
}

// startStandins starts the network, the platform, the fabric and the callers.
func (f *fleet) startStandins(ctx context.Context) error {
	profile := &f.options.Profile
	f.network = hickorystandin.NewNetwork(hickorystandin.Link{Delay: profile.ZoneDelay}, f.logger, f.source())
	for _, zone := range profile.Zones {
		f.network.SetLink(hickorystandin.ClientZone, zone, hickorystandin.Link{Delay: profile.ClientDelay})
	}
	f.network.Start(ctx)
	f.closers = append(f.closers, f.network.Close)
	var err error
	if f.platform, err = hickorystandin.NewPlatform(); err != nil {
		return err
	}
	f.platform.SetInstanceLag(listLag)
	f.closers = append(f.closers, f.platform.Close)
	f.fabric, err = hickorystandin.NewFabric(f.logger, f.source(),
		hickorystandin.WithFabricCarrier(f.network.Carrier(hickorystandin.ClientZone)))
	if err != nil {
		return err
	}
	f.fabric.Start(ctx)
	f.closers = append(f.closers, f.fabric.Close)
	f.caller, err = f.startCaller(ctx, netip.AddrFrom4([4]byte{10, 9, 0, 1}))
	return err
}

// startCaller starts a caller whose flows have source addresses from first upwards.
func (f *fleet) startCaller(ctx context.Context, first netip.Addr) (*hickorystandin.Caller, error) {
	caller, err := hickorystandin.NewCaller(f.fabric.Front(), first, f.options.Interval, f.logger, f.source())
	if err != nil {
		return nil, err
	}
	caller.SetMaxAttempts(f.options.MaxAttempts)
	caller.Start(ctx)
	f.closers = append(f.closers, caller.Close)
	return caller, nil
}

func (f *fleet) platformSettings() hickorysettings.Platform {
	return hickorysettings.Platform{
		ConfigurationURL: f.platform.ConfigurationURL(),
		InstancesURL:     f.platform.InstancesURL(),
	}
}

// publishInstances publishes the list of all instances that have not stopped.
func (f *fleet) publishInstances() {
	region := f.options.Profile.Region
	var instances []hickoryplatform.Instance
	for _, b := range f.balancers {
		if !b.stopped {
			instances = append(instances, b.instance(region))
		}
	}
	for _, h := range f.hosts {
		instances = append(instances, h.instance(region))
	}
	f.platform.SetInstances(instances)
}

// publish publishes the section that describes the current state of the fleet.
func (f *fleet) publish() error {
	profile := &f.options.Profile
	section := hickorydocument.Section{Team: profile.Team}
	for _, zone := range profile.Zones {
		state := hickorydocument.ZoneStateInService
		if zone == f.excluded {
			state = hickorydocument.ZoneStateOutOfService
		}
		section.Zones = append(section.Zones, hickorydocument.Zone{Name: zone, Region: profile.Region, State: state})
	}
	for i := range profile.Services {
		section.Services = append(section.Services, f.serviceDocument(&profile.Services[i]))
	}
	content, err := json.Marshal(section)
	if err != nil {
		return errors.Wrap(err, "encode section")
	}
	f.platform.Publish("sections/"+string(profile.Team), string(content))
	return nil
}

func (f *fleet) serviceDocument(service *ServiceProfile) hickorydocument.Service {
	document := hickorydocument.Service{
		Name:           service.Name,
		Number:         service.Number,
		Slots:          service.Slots,
		Connections:    service.Connections,
		RampTime:       hickoryid.Duration(f.options.RampTime.String()),
		OpeningTimeout: "2s",
	}
	for _, port := range f.ports {
		document.Addresses = append(document.Addresses, hickorydocument.ServiceAddress{
			Endpoint: hickoryid.Endpoint(service.address(port).String()),
			Protocol: hickorydocument.ProtocolTcp,
		})
	}
	for _, h := range f.hosts {
		if h.service.Name == service.Name {
			document.Upstreams = append(document.Upstreams, h.document())
		}
	}
	return document
}

// close stops all parts and returns the first error.
func (f *fleet) close() error {
	var first error
	for _, b := range f.balancers {
		if err := b.stop(); err != nil && first == nil {
			first = errors.Wrapf(err, "close %s", b.id)
		}
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		if err := f.closers[i](); err != nil && first == nil {
			first = errors.Wrap(err, "close stand-in or agent")
		}
	}
	return first
}
