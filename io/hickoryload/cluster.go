package hickoryload

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryexperiment"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
	"hickoryworks/schema/hickorysettings"
)

const (
	loadZone    hickoryid.ZoneName    = "tt-north-a"
	loadRegion  hickoryid.RegionName  = "tt-north"
	loadService hickoryid.ServiceName = "clubroom"
	loadAddress hickoryid.Endpoint    = "10.1.0.1:443"
	// shortTime is the period in which short flows are opened. No run takes longer.
	shortTime hickoryid.Duration = "2m"
)

// cluster holds the settings of one run and the processes started with them.
type cluster struct {
	directory string
	size      hickoryexperiment.Size
	standin   hickorysettings.Standin
	section   hickorydocument.Section
	processes []*process
}

// newCluster allocates the ports of a cluster and writes the settings of all its
// processes into a directory.
func newCluster(directory, binaries string, size hickoryexperiment.Size, seed int) (*cluster, error) {
	c := &cluster{directory: directory, size: size}
	endpoints, err := freeEndpoints(4 + 2*size.Balancers + 3*size.Agents)
	if err != nil {
		return nil, err
	}
	nextEndpoint := func() hickoryid.Endpoint {
		endpoint := endpoints[0]
		endpoints = endpoints[1:]
		return endpoint
	}
	c.prepareSettings(nextEndpoint, seed)
	var errs []error
	for number := range size.Balancers {
		errs = append(errs, c.addBalancer(binaries, number, nextEndpoint))
	}
	for number := range size.Agents {
		errs = append(errs, c.addAgent(binaries, number, nextEndpoint))
	}
	errs = append(errs, c.addStandin(binaries))
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return c, nil
}

// prepareSettings sets the parts of the settings that do not depend on the number
// of balancers and agents.
func (c *cluster) prepareSettings(nextEndpoint func() hickoryid.Endpoint, seed int) {
	c.standin = hickorysettings.Standin{
		Instance:         "standin",
		Seed:             seed,
		PlatformEndpoint: nextEndpoint(),
		FrontEndpoint:    nextEndpoint(),
		BackEndpoint:     nextEndpoint(),
		ReportEndpoint:   nextEndpoint(),
		Balancers:        []hickoryid.Endpoint{},
		Instances:        []hickoryplatform.Instance{},
		Sections:         []hickorysettings.StandinSection{{Key: "sections/pagebound", File: "section.yaml"}},
		Callers: []hickorysettings.StandinCaller{{
			Service: loadService, Address: loadAddress, Source: "10.9.0.1",
			Flows: c.size.Flows, OpeningTime: "3s", Interval: c.size.Interval,
			ShortFlows: c.size.ShortFlows, ShortTime: shortTime,
		}},
	}
	c.section = hickorydocument.Section{
		Team:  "pagebound",
		Zones: []hickorydocument.Zone{{Name: loadZone, Region: loadRegion, State: hickorydocument.ZoneStateInService}},
		Services: []hickorydocument.Service{{
			Name: loadService, Number: 1, Slots: 64, Connections: 20_000, RampTime: "1s", OpeningTimeout: "2s",
			Addresses: []hickorydocument.ServiceAddress{{Endpoint: loadAddress, Protocol: hickorydocument.ProtocolTcp}},
		}},
	}
}

func (c *cluster) platform() hickorysettings.Platform {
	base := "http://" + string(c.standin.PlatformEndpoint)
	return hickorysettings.Platform{
		ConfigurationURL: hickoryid.URL(base + "/v1/values"),
		InstancesURL:     hickoryid.URL(base + "/v1/instances"),
	}
}

func (c *cluster) addBalancer(binaries string, number int, nextEndpoint func() hickoryid.Endpoint) error {
	settings := hickorysettings.Balancer{
		Instance: hickoryid.InstanceID(fmt.Sprintf("balancer-%d", number)),
		Zone:     loadZone, Region: loadRegion,
		DataEndpoint: nextEndpoint(), ControlEndpoint: nextEndpoint(),
		Platform: c.platform(),
	}
	c.standin.Balancers = append(c.standin.Balancers, settings.DataEndpoint)
	c.standin.Instances = append(c.standin.Instances, hickoryplatform.Instance{
		ID: settings.Instance, Role: hickoryplatform.RoleBalancer, Zone: loadZone, Region: loadRegion,
		State:        hickoryplatform.InstanceStateLive,
		DataEndpoint: settings.DataEndpoint, ControlEndpoint: settings.ControlEndpoint,
	})
	return c.addProcess(binaries, roleBalancer, settings.Instance, settings)
}

func (c *cluster) addAgent(binaries string, number int, nextEndpoint func() hickoryid.Endpoint) error {
	id := hickoryid.UpstreamID(fmt.Sprintf("%s-%d", loadService, number))
	settings := hickorysettings.Agent{
		Instance: hickoryid.InstanceID(fmt.Sprintf("agent-%d", number)),
		Zone:     loadZone, Region: loadRegion, Service: loadService, Upstream: id,
		DataEndpoint: nextEndpoint(), ControlEndpoint: nextEndpoint(), DeliveryEndpoint: nextEndpoint(),
		Delivery: hickorysettings.DeliveryGeneve,
		Platform: c.platform(),
	}
	service := &c.section.Services[0]
	service.Upstreams = append(service.Upstreams, hickorydocument.Upstream{ID: id, Zone: loadZone, Endpoint: settings.DataEndpoint})
	c.standin.Upstreams = append(c.standin.Upstreams, hickorysettings.StandinUpstream{
		ID: id, Service: loadService, Number: service.Number, Endpoint: settings.DeliveryEndpoint,
		Slots: service.Slots, Connections: service.Connections, WorkTime: "1ms",
	})
	c.standin.Instances = append(c.standin.Instances, hickoryplatform.Instance{
		ID: settings.Instance, Role: hickoryplatform.RoleAgent, Zone: loadZone, Region: loadRegion,
		State: hickoryplatform.InstanceStateLive, Upstream: &id,
		DataEndpoint: settings.DataEndpoint, ControlEndpoint: settings.ControlEndpoint,
	})
	return c.addProcess(binaries, roleAgent, settings.Instance, settings)
}

func (c *cluster) addStandin(binaries string) error {
	if err := c.writeFile("section.yaml", c.section); err != nil {
		return err
	}
	return c.addProcess(binaries, roleStandin, c.standin.Instance, c.standin)
}

// addProcess adds a process and writes its settings file.
func (c *cluster) addProcess(binaries string, role role, instance hickoryid.InstanceID, settings any) error {
	name := string(instance) + ".yaml"
	c.processes = append(c.processes, &process{
		role:     role,
		instance: instance,
		program:  filepath.Join(binaries, string(role)),
		settings: filepath.Join(c.directory, name),
		log:      filepath.Join(c.directory, string(instance)+".log"),
	})
	return c.writeFile(name, settings)
}

// writeFile encodes the content as JSON, which is valid YAML too.
func (c *cluster) writeFile(name string, content any) error {
	text, err := json.Marshal(content)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	return errors.Wrap(os.WriteFile(filepath.Join(c.directory, name), text, 0o600), "write settings")
}

// freeEndpoints returns loopback endpoints whose ports are free for TCP. They are
// free for UDP too, because no other program on the machine binds ports.
func freeEndpoints(count int) ([]hickoryid.Endpoint, error) {
	var endpoints []hickoryid.Endpoint
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen on a free port")
		}
		defer func() { _ = listener.Close() }()
		endpoints = append(endpoints, hickoryid.Endpoint(listener.Addr().String()))
	}
	return endpoints, nil
}
