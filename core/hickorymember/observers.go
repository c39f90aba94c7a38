package hickorymember

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// observersPerHost is the number of balancers that probe one host. Each agent
// then answers 3 probes a second, however many balancers there are.
const observersPerHost = 3

// Balancer is one entry of the instance list.
type Balancer struct {
	ID       hickoryid.InstanceID
	Zone     hickoryid.ZoneName
	Region   hickoryid.RegionName
	Endpoint hickoryid.Endpoint
}

// member is a balancer with the hash of its id.
type member struct {
	balancer Balancer
	hash     uint64
}

// roster is the list of balancers, indexed for the choice of observers.
type roster struct {
	byZone   map[hickoryid.ZoneName][]member
	byRegion map[hickoryid.RegionName][]member
	listed   map[hickoryid.InstanceID]struct{}
}

func newRoster(balancers []Balancer) roster {
	r := roster{
		byZone:   map[hickoryid.ZoneName][]member{},
		byRegion: map[hickoryid.RegionName][]member{},
		listed:   map[hickoryid.InstanceID]struct{}{},
	}
	for _, b := range balancers {
		m := member{balancer: b, hash: xxhash.Sum64String(string(b.ID))}
		r.byZone[b.Zone] = append(r.byZone[b.Zone], m)
		r.byRegion[b.Region] = append(r.byRegion[b.Region], m)
		r.listed[b.ID] = struct{}{}
	}
	return r
}

// observers returns the balancers that probe an upstream. Balancers of its zone
// come first; if they are too few, others of the same region are added. A zone
// without any listed balancer is not observed, because its region is not known.
// Balancers of other zones that are out of service are left out, because the
// agents' answers would be packets into those zones.
func (r *roster) observers(upstream *hickorymodel.Upstream, excluded []hickoryid.ZoneName) []Balancer {
	zone := r.byZone[upstream.Zone]
	if len(zone) == 0 {
		return nil
	}
	chosen := highestScored(zone, upstream.ID, observersPerHost)
	if len(chosen) == observersPerHost {
		return chosen
	}
	var others []member
	for _, m := range r.byRegion[zone[0].balancer.Region] {
		if m.balancer.Zone != upstream.Zone && !slices.Contains(excluded, m.balancer.Zone) {
			others = append(others, m)
		}
	}
	return append(chosen, highestScored(others, upstream.ID, observersPerHost-len(chosen))...)
}

// hasEnoughObservers reports whether a zone has enough balancers to observe its
// hosts without balancers of other zones.
func (r *roster) hasEnoughObservers(zone hickoryid.ZoneName) bool {
	return len(r.byZone[zone]) >= observersPerHost
}

// scoredBalancer is a balancer with its rendezvous hash for one upstream.
type scoredBalancer struct {
	balancer Balancer
	score    uint64
}

// highestScored returns the count balancers with the highest rendezvous hashes
// for an upstream. When a balancer leaves, only the hosts that it observed get
// another observer.
func highestScored(members []member, upstream hickoryid.UpstreamID, count int) []Balancer {
	best := make([]scoredBalancer, 0, count+1)
	var data [16]byte
	binary.BigEndian.PutUint64(data[8:], xxhash.Sum64String(string(upstream)))
	for i := range members {
		binary.BigEndian.PutUint64(data[:8], members[i].hash)
		entry := scoredBalancer{balancer: members[i].balancer, score: xxhash.Sum64(data[:])}
		if len(best) == count && entry.score < best[count-1].score {
			continue
		}
		insertAt, _ := slices.BinarySearchFunc(best, entry, compareScored)
		best = slices.Insert(best, insertAt, entry)
		best = best[:min(len(best), count)]
	}
	chosen := make([]Balancer, 0, len(best))
	for _, entry := range best {
		chosen = append(chosen, entry.balancer)
	}
	return chosen
}

func compareScored(a, b scoredBalancer) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.balancer.ID, b.balancer.ID)
}
