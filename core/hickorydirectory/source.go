package hickorydirectory

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// followLimit is the largest age of the knowledge that a balancer gets through
	// others before it reads the store itself. The reader's knowledge is up to a watch,
	// the pause between two watches and two answers of a slow store old, and each
	// balancer on the way adds a call.
	followLimit = 2500 * time.Millisecond
	// tableFollowLimit is the same for the configuration. With each version a slow balancer
	// needs more time for it than for the other parts, and to read it from the store would
	// take it far longer still.
	tableFollowLimit = 4 * time.Second
	// maxFollowers bounds the balancers that follow one other, so that its calls do
	// not grow with the fleet.
	maxFollowers = 8
	// rejectTime is how long a balancer is not followed after it has answered that its
	// own knowledge is not current.
	rejectTime = time.Second
	// FirstReadDelay is how long a balancer waits for the first state of another one
	// before it lists the store: some round trips. A listing takes a call for each
	// page.
	FirstReadDelay = 40 * time.Millisecond
	// ReachDelay is how long it waits for a connection to one: a round trip between the
	// zones of a region. After a common start few of the others run.
	ReachDelay = 15 * time.Millisecond
	// callLimit is the time after which a call without an outcome counts as failed. It
	// is longer than any call takes; the outcome may have met a full ring.
	callLimit = 2 * time.Second
	// parentInterval is the time between two choices of the balancer to follow.
	parentInterval = time.Second
)

// Source decides where a balancer gets published changes from: from another balancer,
// which it follows, or from the store. The balancers of a zone follow the one with the
// lowest rank, those with the lowest rank of their zones follow the lowest of all, and
// that one reads the store. A balancer only follows others with a lower rank than its
// own, so that none follows itself through others. Each decides by itself from what it
// hears: one that finds nobody to follow, or whose knowledge gets old, reads the store.
// It is not safe for concurrent use; one goroutine owns it.
type Source struct {
	self  hickoryid.Endpoint
	zone  hickoryid.ZoneName
	peers *Peers

	startedAt hickorymodel.Instant
	// askedInVain is true once a balancer that was asked for a first state has answered
	// without one, or has not answered.
	askedInVain bool
	// reached is true once a connection to another balancer exists.
	reached bool
	// parent is the balancer that this one follows; empty while there is none.
	parent   hickoryid.Endpoint
	chosenAt hickorymodel.Instant
	// calling is true while a call to the parent is pending, which was due at calledAt.
	calling  bool
	calledAt hickorymodel.Instant
	// rejectedUntil has the balancers whose knowledge was not current.
	rejectedUntil map[hickoryid.Endpoint]hickorymodel.Instant
	// followed and read are the times up to which all published changes are known through
	// the parent and by reading the store.
	followed knowledge
	read     knowledge
	// firstReadUntil is the first time up to which reading the store has given the whole
	// state; 0 before.
	firstReadUntil hickorymodel.Instant
	// storeLost is true from a failed call to the store until the next answer.
	storeLost bool
	stopping  bool
}

// NewSource returns the source of a balancer that starts now.
func NewSource(now hickorymodel.Instant, self hickoryid.Endpoint, zone hickoryid.ZoneName, peers *Peers) *Source {
	return &Source{self: self, zone: zone, peers: peers, startedAt: now, rejectedUntil: map[hickoryid.Endpoint]hickorymodel.Instant{}}
}

// Stop makes the balancer answer that it is not to be followed any more.
func (s *Source) Stop() {
	s.stopping = true
}

// Next returns the balancer to call for changes and true, unless a call is pending or
// there is nobody to follow.
func (s *Source) Next(now hickorymodel.Instant) (hickoryid.Endpoint, bool) {
	if s.calling && now.Sub(s.calledAt) < callLimit {
		return "", false
	}
	s.chooseParent(now)
	if s.parent == "" {
		return "", false
	}
	s.calling = true
	s.calledAt = now
	return s.parent, true
}

// knowledge has the time up to which all changes of each part of the published state are
// known; 0 for never.
type knowledge [scopeCount]hickorymodel.Instant

// record records that all changes of parts are known up to a time.
func (k *knowledge) record(scope Scope, until hickorymodel.Instant) {
	for i := range k {
		if scope.Contains(1 << i) {
			k[i] = max(k[i], until)
		}
	}
}

// until returns the time up to which all changes of some parts are known; 0 for never.
func (k *knowledge) until(parts Scope) hickorymodel.Instant {
	until := slices.Max(k[:])
	for i := range k {
		if parts.Contains(1 << i) {
			until = min(until, k[i])
		}
	}
	return until
}

// newest returns the later time of two for each part.
func (k knowledge) newest(other knowledge) knowledge {
	for i := range k {
		k[i] = max(k[i], other[i])
	}
	return k
}

// old reports whether what is known through others is too old.
func (k *knowledge) old(now hickorymodel.Instant) bool {
	return now.Sub(k.until(scopeRecords)) > followLimit || now.Sub(k.until(ScopeTable)) > tableFollowLimit
}

// RecordAnswer records the answer of the parent, which knew all changes of upstreams and
// zones published up to recordsUntil, and those of the configuration up to tableUntil;
// that is 0 if it has one that this balancer lacks, which comes by a call of its own. The
// parent is followed further if its knowledge is current.
func (s *Source) RecordAnswer(now hickorymodel.Instant, peer hickoryid.Endpoint, current bool, recordsUntil, tableUntil hickorymodel.Instant) {
	s.calling = false
	s.peers.RecordContact(now, peer, "")
	if !current {
		s.rejectedUntil[peer] = now.Add(rejectTime)
		s.parent = ""
		return
	}
	s.followed.record(scopeRecords, recordsUntil)
	s.followed.record(ScopeTable, tableUntil)
}

// RecordTable records that another balancer has sent its configuration, and knew all
// changes of it published up to a time when it did.
func (s *Source) RecordTable(until hickorymodel.Instant) {
	s.followed.record(ScopeTable, until)
}

// RecordFailure records that the parent has not answered.
func (s *Source) RecordFailure(now hickorymodel.Instant, peer hickoryid.Endpoint) {
	s.calling = false
	s.peers.RecordFailure(now, peer)
	s.parent = ""
}

// RecordRead records an answer of the store that contains all changes of parts of the
// state published up to a time. A call that the store has not answered yet proves
// nothing: the store may not have received it.
func (s *Source) RecordRead(parts Scope, until hickorymodel.Instant) {
	if parts.Contains(ScopeUpstreams) {
		s.storeLost = false
	}
	s.read.record(parts, until)
	if s.firstReadUntil == 0 {
		s.firstReadUntil = s.read.until(ScopeAll)
	}
}

// RecordStoreFailure records that a call to the store for a part of the state has failed.
// The list of upstreams is short, so that its calls alone tell whether the store answers;
// a failure of the others shows by the age of what is known.
func (s *Source) RecordStoreFailure(part Scope) {
	if part.Contains(ScopeUpstreams) {
		s.storeLost = true
	}
}

// RecordNoState records that a balancer that was asked for a first state had none, or
// did not answer. The next one would be asked later than FirstReadDelay, so that the
// store is read at once: after a common start no balancer has a state.
func (s *Source) RecordNoState() {
	s.askedInVain = true
}

// RecordReached records that a balancer runs that is asked for a first state. After
// ReachDelay the store is being read already.
func (s *Source) RecordReached(now hickorymodel.Instant) {
	s.reached = s.reached || now.Sub(s.startedAt) < ReachDelay
}

// FirstReadAt returns the time at which the balancer is to read the store itself if it
// has no state by then.
func (s *Source) FirstReadAt() hickorymodel.Instant {
	switch {
	case len(s.peers.seeds) == 0 || s.askedInVain:
		return s.startedAt
	case s.reached:
		return s.startedAt.Add(FirstReadDelay)
	default:
		return s.startedAt.Add(ReachDelay)
	}
}

// Reading reports whether the balancer is to read the store itself. StateComplete says
// whether it has a first state. If that came from another balancer, it may be old, and
// the store is read until the balancer that this one follows has answered.
func (s *Source) Reading(now hickorymodel.Instant, stateComplete bool) bool {
	if !stateComplete {
		return !now.Before(s.FirstReadAt())
	}
	s.chooseParent(now)
	known := s.followed
	known.record(ScopeAll, s.firstReadUntil)
	return s.parent == "" || known.until(ScopeAll) == 0 || known.old(now)
}

// Age returns the age of what the balancer knows of upstreams and zones, and whether it is
// current in all, so that others may follow it.
func (s *Source) Age(now hickorymodel.Instant) (time.Duration, bool) {
	known := s.followed.newest(s.read)
	age := now.Sub(known.until(scopeRecords))
	if reading := s.parent == "" || s.followed.old(now); reading && s.storeLost {
		return age, false
	}
	return age, known.until(ScopeAll) != 0 && !known.old(now) && !s.stopping
}

// TableAge returns the age of what the balancer knows of the configuration.
func (s *Source) TableAge(now hickorymodel.Instant) time.Duration {
	known := s.followed.newest(s.read)
	return now.Sub(known.until(ScopeTable))
}

// chooseParent chooses the balancer to follow again when there is none, or once in
// parentInterval.
func (s *Source) chooseParent(now hickorymodel.Instant) {
	if s.parent != "" && now.Sub(s.chosenAt) < parentInterval {
		return
	}
	s.chosenAt = now
	s.parent = ""
	for peer, until := range s.rejectedUntil {
		if !now.Before(until) {
			delete(s.rejectedUntil, peer)
		}
	}
	inZone, leaders := s.lowerRanked(now)
	lower := inZone
	if len(lower) == 0 {
		lower = leaders
	}
	if len(lower) > 0 {
		s.parent = lower[(len(lower)-1)/maxFollowers]
	}
}

// lowerRanked returns the balancers of the own zone with a lower rank than this one,
// and those of the lowest rank in each other zone, if lower than this one's, both in
// the order of their ranks.
func (s *Source) lowerRanked(now hickorymodel.Instant) (inZone, leaders []hickoryid.Endpoint) {
	own := rankOf(s.self)
	lowest := map[hickoryid.ZoneName]hickoryid.Endpoint{}
	for _, peer := range s.peers.availablePeers(now) {
		zone := s.peers.records[peer].zone
		if _, rejected := s.rejectedUntil[peer]; zone == "" || rejected || rankOf(peer) >= own {
			continue
		}
		if zone == s.zone {
			inZone = append(inZone, peer)
			continue
		}
		if other, known := lowest[zone]; !known || rankOf(peer) < rankOf(other) {
			lowest[zone] = peer
		}
	}
	for _, peer := range lowest {
		leaders = append(leaders, peer)
	}
	slices.SortFunc(inZone, compareRanks)
	slices.SortFunc(leaders, compareRanks)
	return inZone, leaders
}

// rankOf returns a balancer's position in an order that all balancers agree on.
func rankOf(peer hickoryid.Endpoint) uint64 {
	return xxhash.Sum64String(string(peer))
}

func compareRanks(a, b hickoryid.Endpoint) int {
	if rankOf(a) < rankOf(b) {
		return -1
	}
	return 1
}
