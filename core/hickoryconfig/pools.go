package hickoryconfig

import (
	"net/netip"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// pools holds the address prefixes that are assigned to each team. While the
// section of the platform team assigns none, all teams may use all addresses.
type pools struct {
	assigned bool
	prefixes map[hickoryid.TeamName][]netip.Prefix
}

func newPools(accepted map[hickoryid.TeamName]Accepted) pools {
	p := pools{prefixes: map[hickoryid.TeamName][]netip.Prefix{}}
	for _, pool := range accepted[PlatformTeam].Section.AddressPools {
		p.assigned = true
		for _, text := range pool.Prefixes {
			if prefix, err := netip.ParsePrefix(string(text)); err == nil {
				p.prefixes[pool.Team] = append(p.prefixes[pool.Team], prefix)
			}
		}
	}
	return p
}

func (p *pools) allows(team hickoryid.TeamName, address hickorymodel.ServiceAddress) bool {
	if !p.assigned {
		return true
	}
	ip := address.Socket.AddrPort().Addr()
	for _, prefix := range p.prefixes[team] {
		if prefix.Contains(ip) {
			return true
		}
	}
	return false
}
