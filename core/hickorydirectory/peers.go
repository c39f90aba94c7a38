package hickorydirectory

import (
	"math/rand/v2"
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// incompleteCallInterval is the time between two calls to other balancers while
	// the own state is not complete.
	incompleteCallInterval = 100 * time.Millisecond
	// urgentCallInterval is the time between two calls while the store does not answer.
	urgentCallInterval = 400 * time.Millisecond
	// earlyCallInterval is the time between two calls during earlyTime, in which a
	// fleet that has started together learns its members.
	earlyCallInterval = time.Second
	earlyTime         = 10 * time.Second
	// normalCallInterval is the time between two calls otherwise. These calls keep
	// the list of balancers up to date.
	normalCallInterval = 5 * time.Second
	// peerTimeout is how long a balancer stays in the list without contact.
	peerTimeout = time.Minute
	// maxPeers bounds the balancers in the list, not counting seeds.
	maxPeers = 512
	// maxMembers bounds the balancers that one message names.
	maxMembers = 64
)

// CallReason is why a balancer calls others now. It decides how often.
type CallReason uint8

// Reasons of calls.
const (
	// CallRoutine keeps the list of balancers up to date.
	CallRoutine CallReason = iota
	// CallStoreLost asks for changes while the store does not answer.
	CallStoreLost
	// CallIncomplete asks for a first state.
	CallIncomplete
)

// peerRecord is what is known of another balancer.
type peerRecord struct {
	// zone is empty for a balancer of an older version.
	zone hickoryid.ZoneName
	// contactAt is the latest time at which the balancer is known to have run.
	contactAt hickorymodel.Instant
	// failedAt is when a call to it last failed; 0 for never.
	failedAt hickorymodel.Instant
}

// Peers decides which other balancer to request the state from, and when. It is not
// safe for concurrent use; one goroutine owns it.
type Peers struct {
	self   hickoryid.Endpoint
	zone   hickoryid.ZoneName
	random *rand.Rand
	// seeds may be called at any time, also without contact. They do not contain self.
	seeds []hickoryid.Endpoint
	// records has at most maxPeers entries.
	records     map[hickoryid.Endpoint]peerRecord
	firstCallAt hickorymodel.Instant
	lastCallAt  hickorymodel.Instant
}

// NewPeers returns the list of other balancers of self. It starts with the seeds.
func NewPeers(self hickoryid.Endpoint, zone hickoryid.ZoneName, seeds []hickoryid.Endpoint, random *rand.Rand) *Peers {
	p := &Peers{self: self, zone: zone, random: random, records: map[hickoryid.Endpoint]peerRecord{}}
	p.SetSeeds(seeds)
	return p
}

// SetSeeds replaces the seeds; self is left out.
func (p *Peers) SetSeeds(seeds []hickoryid.Endpoint) {
	p.seeds = slices.DeleteFunc(slices.Clone(seeds), func(seed hickoryid.Endpoint) bool { return seed == p.self })
}

// RecordContact records that a balancer has called or answered. The zone is empty if
// it is not known.
func (p *Peers) RecordContact(now hickorymodel.Instant, peer hickoryid.Endpoint, zone hickoryid.ZoneName) {
	p.record(peer, zone, now)
}

// AddMembers adds what another balancer has sent as its list.
func (p *Peers) AddMembers(now hickorymodel.Instant, members []hickorymessage.Member) {
	for _, member := range members {
		age := time.Duration(member.AgeMillis) * time.Millisecond
		if age < peerTimeout {
			p.record(member.Endpoint, member.Zone, now.Add(-age))
		}
	}
}

func (p *Peers) record(peer hickoryid.Endpoint, zone hickoryid.ZoneName, contactAt hickorymodel.Instant) {
	record, known := p.records[peer]
	if peer == p.self || (!known && len(p.records) >= maxPeers) {
		return
	}
	record.contactAt = max(record.contactAt, contactAt)
	if zone != "" {
		record.zone = zone
	}
	p.records[peer] = record
}

// RecordFailure records that a balancer has not answered. It is not called again
// before it is known to have run since, unless it is a seed.
func (p *Peers) RecordFailure(now hickorymodel.Instant, peer hickoryid.Endpoint) {
	if record, known := p.records[peer]; known {
		record.failedAt = now
		p.records[peer] = record
	}
}

// available reports whether a balancer has run lately and answered the last call.
func (p *Peers) available(now hickorymodel.Instant, peer hickoryid.Endpoint) bool {
	record, known := p.records[peer]
	return known && now.Sub(record.contactAt) <= peerTimeout && (record.failedAt == 0 || record.contactAt > record.failedAt)
}

// Members returns this balancer and a random selection of the others, for another
// balancer.
func (p *Peers) Members(now hickorymodel.Instant) []hickorymessage.Member {
	members := []hickorymessage.Member{{Endpoint: p.self, Zone: p.zone}}
	others := p.availablePeers(now)
	p.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, peer := range others {
		record := p.records[peer]
		if record.zone == "" || len(members) == maxMembers {
			continue
		}
		members = append(members, hickorymessage.Member{Endpoint: peer, Zone: record.zone, AgeMillis: int(now.Sub(record.contactAt).Milliseconds())})
	}
	return members
}

// availablePeers returns the available balancers in the order of their endpoints.
func (p *Peers) availablePeers(now hickorymodel.Instant) []hickoryid.Endpoint {
	list := make([]hickoryid.Endpoint, 0, len(p.records))
	for peer := range p.records {
		if p.available(now, peer) {
			list = append(list, peer)
		}
	}
	slices.Sort(list)
	return list
}

// Next returns the balancer to call now and true if a call is due.
func (p *Peers) Next(now hickorymodel.Instant, reason CallReason) (hickoryid.Endpoint, bool) {
	if p.lastCallAt != 0 && now.Sub(p.lastCallAt) < p.callInterval(now, reason) {
		return "", false
	}
	for peer, record := range p.records {
		if now.Sub(record.contactAt) > peerTimeout {
			delete(p.records, peer)
		}
	}
	peers := p.availablePeers(now)
	for _, seed := range p.seeds {
		if !slices.Contains(peers, seed) {
			peers = append(peers, seed)
		}
	}
	if len(peers) == 0 {
		return "", false
	}
	p.lastCallAt = now
	if p.firstCallAt == 0 {
		p.firstCallAt = now
	}
	return peers[p.random.IntN(len(peers))], true
}

// callInterval returns the time between two calls for a reason.
func (p *Peers) callInterval(now hickorymodel.Instant, reason CallReason) time.Duration {
	switch {
	case reason == CallIncomplete:
		return incompleteCallInterval
	case reason == CallStoreLost:
		return urgentCallInterval
	case p.firstCallAt != 0 && now.Sub(p.firstCallAt) < earlyTime:
		return earlyCallInterval
	default:
		return normalCallInterval
	}
}
