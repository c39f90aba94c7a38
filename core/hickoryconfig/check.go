package hickoryconfig

import (
	"fmt"
	"net/netip"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
)

// PlatformTeam owns the section that assigns address pools.
const PlatformTeam hickoryid.TeamName = "platform"

// Check returns all problems of a section that the schema can't express. The
// result depends on the arguments alone, so every instance accepts the same versions.
func Check(team hickoryid.TeamName, section hickorydocument.Section) []Problem {
	c := checker{
		zones:     map[hickoryid.ZoneName]string{},
		names:     map[hickoryid.ServiceName]string{},
		numbers:   map[hickoryid.ServiceNumber]string{},
		upstreams: map[hickoryid.UpstreamID]string{},
		endpoints: map[hickorymodel.Endpoint]string{},
		addresses: map[hickorymodel.ServiceAddress]string{},
	}
	if section.Team != team {
		c.add("team", "%q differs from the team %q of the key", section.Team, team)
	}
	c.checkZones(section.Zones)
	c.checkPools(team, section.AddressPools)
	for i, service := range section.Services {
		c.checkService(fmt.Sprintf("services[%d]", i), service)
	}
	return c.found
}

// checker holds the path of the first use of each value that must be unique.
type checker struct {
	problems
	zones     map[hickoryid.ZoneName]string
	names     map[hickoryid.ServiceName]string
	numbers   map[hickoryid.ServiceNumber]string
	upstreams map[hickoryid.UpstreamID]string
	endpoints map[hickorymodel.Endpoint]string
	addresses map[hickorymodel.ServiceAddress]string
}

func (c *checker) checkZones(zones []hickorydocument.Zone) {
	for i, zone := range zones {
		path := fmt.Sprintf("zones[%d].name", i)
		if first, taken := c.zones[zone.Name]; taken {
			c.add(path, "zone %q is already listed at %s", zone.Name, first)
			continue
		}
		c.zones[zone.Name] = path
	}
}

func (c *checker) checkPools(team hickoryid.TeamName, pools []hickorydocument.AddressPool) {
	if len(pools) > 0 && team != PlatformTeam {
		c.add("addressPools", "only the section of team %q assigns address pools", PlatformTeam)
	}
	for i, pool := range pools {
		for j, prefix := range pool.Prefixes {
			if _, err := netip.ParsePrefix(string(prefix)); err != nil {
				c.add(fmt.Sprintf("addressPools[%d].prefixes[%d]", i, j), "%q is not an IP prefix", prefix)
			}
		}
	}
}

func (c *checker) checkService(path string, service hickorydocument.Service) {
	if first, taken := c.names[service.Name]; taken {
		c.add(path+".name", "service name %q is already used at %s", service.Name, first)
	} else {
		c.names[service.Name] = path + ".name"
	}
	if first, taken := c.numbers[service.Number]; taken {
		c.add(path+".number", "service number %d is already used at %s", service.Number, first)
	} else {
		c.numbers[service.Number] = path + ".number"
	}
	c.checkDuration(path+".rampTime", service.RampTime)
	c.checkDuration(path+".openingTimeout", service.OpeningTimeout)
	for i, address := range service.Addresses {
		c.checkAddress(fmt.Sprintf("%s.addresses[%d].endpoint", path, i), address)
	}
	for i, upstream := range service.Upstreams {
		c.checkUpstream(fmt.Sprintf("%s.upstreams[%d]", path, i), upstream)
	}
}

func (c *checker) checkDuration(path string, duration hickoryid.Duration) {
	value, err := time.ParseDuration(string(duration))
	if err != nil || value <= 0 {
		c.add(path, "%q is not a duration above zero", duration)
	}
}

func (c *checker) checkAddress(path string, item hickorydocument.ServiceAddress) {
	address, err := parseServiceAddress(item)
	if err != nil {
		c.add(path, "%q is not an IP address with a port", item.Endpoint)
		return
	}
	if address.Socket.Port == 0 {
		c.add(path, "address %q has no port", item.Endpoint)
	}
	if first, taken := c.addresses[address]; taken {
		c.add(path, "address %s is already used at %s", item.Endpoint, first)
		return
	}
	c.addresses[address] = path
}

func (c *checker) checkUpstream(path string, upstream hickorydocument.Upstream) {
	if first, taken := c.upstreams[upstream.ID]; taken {
		c.add(path+".id", "upstream %q is already listed at %s", upstream.ID, first)
	} else {
		c.upstreams[upstream.ID] = path + ".id"
	}
	if _, listed := c.zones[upstream.Zone]; !listed {
		c.add(path+".zone", "zone %q is not listed in zones", upstream.Zone)
	}
	endpoint, err := hickorymodel.ParseEndpoint(upstream.Endpoint)
	if err != nil || endpoint.Port == 0 {
		c.add(path+".endpoint", "%q is not an IPv4 address with a port", upstream.Endpoint)
		return
	}
	if first, taken := c.endpoints[endpoint]; taken {
		c.add(path+".endpoint", "endpoint %s is already used at %s", upstream.Endpoint, first)
		return
	}
	c.endpoints[endpoint] = path + ".endpoint"
}
