package hickoryconfig

import (
	"net/netip"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
)

// States holds the states of upstreams that come from outside the document. An
// upstream without an entry is accepting.
type States map[hickoryid.UpstreamID]hickorymodel.UpstreamState

// RefusalReason says why a section does not get a service or an address.
type RefusalReason uint8

// Reasons of refusals.
const (
	// RefusedOutsidePools: the address is in none of the team's pools.
	RefusedOutsidePools RefusalReason = iota
	// RefusedAddressTaken: a team whose name sorts earlier has the address.
	RefusedAddressTaken
	// RefusedNameTaken: a team whose name sorts earlier has a service of this name.
	RefusedNameTaken
	// RefusedNumberTaken: a team whose name sorts earlier has a service of this number.
	RefusedNumberTaken
)

// String returns the text of the reason in log lines.
func (r RefusalReason) String() string {
	switch r {
	case RefusedOutsidePools:
		return "address outside the team's pools"
	case RefusedAddressTaken:
		return "address belongs to another team"
	case RefusedNameTaken:
		return "service name belongs to another team"
	default:
		return "service number belongs to another team"
	}
}

// Refusal is a service or an address that a section asks for and does not get.
type Refusal struct {
	RefusalReason RefusalReason
	Team          hickoryid.TeamName
	Service       hickoryid.ServiceName
	// Address is unset when a whole service is refused.
	Address hickorymodel.ServiceAddress
	// Owner is the team that has the address, the name or the number; it is empty
	// for RefusedOutsidePools.
	Owner hickoryid.TeamName
}

// Resolve builds the services of all accepted sections, and returns what sections
// ask for and do not get. The result depends on the arguments alone, not on the
// order in which the sections arrived.
func Resolve(accepted map[hickoryid.TeamName]Accepted, states States) ([]hickorymodel.Service, []Refusal) {
	r := resolver{
		states:         states,
		pools:          newPools(accepted),
		owners:         map[hickorymodel.ServiceAddress]hickoryid.TeamName{},
		names:          map[hickoryid.ServiceName]hickoryid.TeamName{},
		serviceNumbers: map[hickoryid.ServiceNumber]hickoryid.TeamName{},
	}
	for _, team := range sortedTeams(accepted) {
		r.addSection(accepted[team])
	}
	return r.services, r.refused
}

func sortedTeams(accepted map[hickoryid.TeamName]Accepted) []hickoryid.TeamName {
	teams := make([]hickoryid.TeamName, 0, len(accepted))
	for team := range accepted {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	return teams
}

// resolver collects services in the order of the teams' names, so that an address,
// name or number that two teams use belongs to the one whose name sorts first.
type resolver struct {
	states         States
	pools          pools
	owners         map[hickorymodel.ServiceAddress]hickoryid.TeamName
	names          map[hickoryid.ServiceName]hickoryid.TeamName
	serviceNumbers map[hickoryid.ServiceNumber]hickoryid.TeamName
	services       []hickorymodel.Service
	refused        []Refusal
}

func (r *resolver) addSection(accepted Accepted) {
	zones := accepted.outOfService()
	for _, service := range accepted.Section.Services {
		r.addService(accepted, service, zones)
	}
}

func (r *resolver) addService(accepted Accepted, service hickorydocument.Service, excluded []hickoryid.ZoneName) {
	team := accepted.Section.Team
	if owner, taken := r.names[service.Name]; taken {
		r.refuse(Refusal{RefusalReason: RefusedNameTaken, Team: team, Service: service.Name, Owner: owner})
		return
	}
	if owner, taken := r.serviceNumbers[service.Number]; taken {
		r.refuse(Refusal{RefusalReason: RefusedNumberTaken, Team: team, Service: service.Name, Owner: owner})
		return
	}
	addresses := r.assignAddresses(team, service)
	if len(addresses) == 0 {
		return
	}
	r.names[service.Name] = team
	r.serviceNumbers[service.Number] = team
	r.services = append(r.services, hickorymodel.Service{
		Name:           service.Name,
		Team:           team,
		Number:         service.Number,
		Generation:     hickorymodel.Generation(accepted.Version),
		Addresses:      addresses,
		Upstreams:      r.upstreams(service, excluded),
		ExcludedZones:  excluded,
		Slots:          service.Slots,
		Connections:    service.Connections,
		RampTime:       service.RampTime.Value(),
		OpeningTimeout: service.OpeningTimeout.Value(),
	})
}

func (r *resolver) assignAddresses(team hickoryid.TeamName, service hickorydocument.Service) []hickorymodel.ServiceAddress {
	var granted []hickorymodel.ServiceAddress
	for _, item := range service.Addresses {
		address, err := parseServiceAddress(item)
		if err != nil {
			continue
		}
		if !r.pools.allows(team, address) {
			r.refuse(Refusal{RefusalReason: RefusedOutsidePools, Team: team, Service: service.Name, Address: address})
			continue
		}
		if owner, taken := r.owners[address]; taken {
			r.refuse(Refusal{RefusalReason: RefusedAddressTaken, Team: team, Service: service.Name, Address: address, Owner: owner})
			continue
		}
		r.owners[address] = team
		granted = append(granted, address)
	}
	return granted
}

func (r *resolver) refuse(refusal Refusal) {
	r.refused = append(r.refused, refusal)
}

func (r *resolver) upstreams(service hickorydocument.Service, excluded []hickoryid.ZoneName) []hickorymodel.Upstream {
	upstreams := make([]hickorymodel.Upstream, 0, len(service.Upstreams))
	for _, item := range service.Upstreams {
		endpoint, err := hickorymodel.ParseEndpoint(item.Endpoint)
		if err != nil {
			continue
		}
		state := r.states[item.ID]
		if slices.Contains(excluded, item.Zone) {
			state = hickorymodel.UpstreamExcluded
		}
		upstreams = append(upstreams, hickorymodel.Upstream{
			ID:       item.ID,
			Zone:     item.Zone,
			Endpoint: endpoint,
			State:    state,
		})
	}
	sort.Slice(upstreams, func(i, j int) bool {
		return strings.Compare(string(upstreams[i].ID), string(upstreams[j].ID)) < 0
	})
	return upstreams
}

func outOfServiceZones(section hickorydocument.Section) []hickoryid.ZoneName {
	var zones []hickoryid.ZoneName
	for _, zone := range section.Zones {
		if zone.State == hickorydocument.ZoneStateOutOfService {
			zones = append(zones, zone.Name)
		}
	}
	return zones
}

func parseServiceAddress(item hickorydocument.ServiceAddress) (hickorymodel.ServiceAddress, error) {
	address, err := netip.ParseAddrPort(string(item.Endpoint))
	if err != nil {
		return hickorymodel.ServiceAddress{}, errors.Wrapf(err, "parse service address %q", item.Endpoint)
	}
	protocol := hickorymodel.ProtocolTCP
	if item.Protocol == hickorydocument.ProtocolUdp {
		protocol = hickorymodel.ProtocolUDP
	}
	return hickorymodel.ServiceAddress{Socket: hickorymodel.NewSocketAddress(address), Protocol: protocol}, nil
}
