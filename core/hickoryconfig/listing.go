package hickoryconfig

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

// Identity is the id and the location of this instance.
type Identity struct {
	Instance hickoryid.InstanceID
	Zone     hickoryid.ZoneName
	Region   hickoryid.RegionName
}

// Peer is another instance of the list; Control is the endpoint of its control
// socket.
type Peer struct {
	ID      hickoryid.InstanceID
	Zone    hickoryid.ZoneName
	Region  hickoryid.RegionName
	Control hickoryid.Endpoint
}

// Listing holds the parts of one instance list that an instance uses.
type Listing struct {
	// known is false until a list has been read.
	known bool
	// listed is true when this instance is in the list.
	listed bool
	// balancers are the other live balancers, ordered by id.
	balancers []Peer
	// members are all live balancers of the region of this instance, ordered by id.
	members []hickoryid.InstanceID
	// membersHash is equal in instances whose members are equal.
	membersHash string
	// rank is the position of this instance among the balancers of its zone, in the
	// order of readerWeight. The first ReadersPerZone are readers.
	rank int
	// agents has the agents by their data endpoints.
	agents map[hickoryid.Endpoint]Peer
	// states has the upstreams that the list shows as leaving.
	states States
}

// NewListing returns the parts of a list that the instance self uses.
func NewListing(self Identity, list hickoryplatform.Instances) Listing {
	l := Listing{known: true, agents: map[hickoryid.Endpoint]Peer{}, states: States{}}
	for _, instance := range list.Instances {
		l.add(self, instance)
	}
	slices.SortFunc(l.balancers, func(a, b Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.Sort(l.members)
	hash := xxhash.New()
	for _, id := range l.members {
		_, _ = hash.WriteString(string(id) + "\n")
	}
	l.membersHash = fmt.Sprintf("%016x", hash.Sum64())
	l.rank = l.rankOf(self)
	return l
}

func (l *Listing) add(self Identity, instance hickoryplatform.Instance) {
	peer := Peer{ID: instance.ID, Zone: instance.Zone, Region: instance.Region, Control: instance.ControlEndpoint}
	live := instance.State == hickoryplatform.InstanceStateLive
	if instance.Role == hickoryplatform.RoleAgent {
		l.agents[instance.DataEndpoint] = peer
		if instance.Upstream != nil && !live {
			l.states[*instance.Upstream] = hickorymodel.UpstreamLeaving
		}
		l.listed = l.listed || instance.ID == self.Instance
		return
	}
	if live && instance.Region == self.Region {
		l.members = append(l.members, instance.ID)
	}
	if instance.ID == self.Instance {
		l.listed = true
		return
	}
	if live {
		l.balancers = append(l.balancers, peer)
	}
}

// rankOf counts the balancers of the zone that come before this instance.
func (l *Listing) rankOf(self Identity) int {
	own := readerWeight(self.Zone, self.Instance)
	rank := 0
	for _, peer := range l.balancers {
		if peer.Zone == self.Zone && readerWeight(peer.Zone, peer.ID) > own {
			rank++
		}
	}
	return rank
}

// readerWeight is the rendezvous hash by which the readers of a zone are chosen.
func readerWeight(zone hickoryid.ZoneName, id hickoryid.InstanceID) uint64 {
	data := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(string(zone)))
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64String(string(id)))
	return xxhash.Sum64(data)
}

// findBalancer returns a balancer by id.
func (l *Listing) findBalancer(id hickoryid.InstanceID) (Peer, bool) {
	index, found := slices.BinarySearchFunc(l.balancers, id, func(peer Peer, id hickoryid.InstanceID) int {
		return strings.Compare(string(peer.ID), string(id))
	})
	if !found {
		return Peer{}, false
	}
	return l.balancers[index], true
}

// nearest returns the balancers of the zone of self; without any, those of its
// region; without any, all.
func (l *Listing) nearest(self Identity) []Peer {
	var zone, region []Peer
	for _, peer := range l.balancers {
		if peer.Zone == self.Zone {
			zone = append(zone, peer)
		}
		if peer.Region == self.Region {
			region = append(region, peer)
		}
	}
	switch {
	case len(zone) > 0:
		return zone
	case len(region) > 0:
		return region
	default:
		return l.balancers
	}
}
