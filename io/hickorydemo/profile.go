package hickorydemo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickoryid"
)

// Profile holds the zones, delays and services of one platform.
type Profile struct {
	Name   string
	Team   hickoryid.TeamName
	Region hickoryid.RegionName
	Zones  []hickoryid.ZoneName
	// ZoneDelay and ClientDelay are the one-way delays between two zones and between
	// clients and a zone.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	Services    []ServiceProfile
}

// ServiceProfile holds the number of hosts of one service and their capacity.
type ServiceProfile struct {
	Name        hickoryid.ServiceName
	Number      hickoryid.ServiceNumber
	Hosts       int
	Slots       hickoryid.Slots
	Connections hickoryid.Connections
}

const (
	servicePort = 443
	// probePort is the port of the address that the configuration change adds.
	probePort = 8443
)

// Pagebound returns the profile of the current platform of Pagebound Circles.
func Pagebound() Profile {
	return Profile{
		Name:        "pagebound",
		Team:        "pagebound",
		Region:      "tt-north",
		Zones:       zones("tt-north", 4),
		ZoneDelay:   4 * time.Millisecond,
		ClientDelay: 3 * time.Millisecond,
		Services: []ServiceProfile{
			{Name: "clubroom", Number: 1, Hosts: 7, Slots: 6, Connections: 2000},
			{Name: "packetdesk", Number: 2, Hosts: 4, Slots: 6, Connections: 2000},
		},
	}
}

// Arboleda returns the profile of the current platform of Loncheras Arboleda e
// Hijos.
func Arboleda() Profile {
	return Profile{
		Name:        "arboleda",
		Team:        "arboleda",
		Region:      "antioquia",
		Zones:       zones("antioquia", 3),
		ZoneDelay:   3 * time.Millisecond,
		ClientDelay: time.Millisecond,
		Services: []ServiceProfile{
			{Name: "cocina-pedidos", Number: 1, Hosts: 7, Slots: 2, Connections: 2000},
			{Name: "hojas-guia", Number: 2, Hosts: 3, Slots: 2, Connections: 2000},
		},
	}
}

func zones(region string, count int) []hickoryid.ZoneName {
	var names []hickoryid.ZoneName
	for i := range count {
		names = append(names, hickoryid.ZoneName(fmt.Sprintf("%s-%c", region, 'a'+i)))
	}
	return names
}

// hosts returns the number of hosts of all services.
func (p *Profile) hosts() int {
	total := 0
	for _, service := range p.Services {
		total += service.Hosts
	}
	return total
}

func (s *ServiceProfile) address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(s.Number)}), port)
}

func (s *ServiceProfile) target(port uint16) hickorystandin.Target {
	return hickorystandin.Target{Service: s.Name, Address: s.address(port)}
}

// ProfileByName returns the profile with the name, or an error if there is none.
func ProfileByName(name string) (Profile, error) {
	for _, profile := range []Profile{Pagebound(), Arboleda()} {
		if profile.Name == name {
			return profile, nil
		}
	}
	return Profile{}, errors.Errorf("profile %q is neither pagebound nor arboleda", name)
}
