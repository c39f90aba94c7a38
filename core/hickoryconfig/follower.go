package hickoryconfig

import (
	"math/rand/v2"
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

const (
	// FollowInterval is the time between two requests of an agent to a balancer.
	FollowInterval = time.Second
	// followRetryDelay is the time to the next request while the last request has no
	// answer, the agent is not fresh or the content of the section is missing. If
	// agents waited for the timeout of a lost call instead, they would put the state
	// of a leaving upstream in force only 3.2 s after it was listed.
	followRetryDelay = 250 * time.Millisecond
	// followPeers is the number of balancers to which an agent sends requests. It is
	// small, so that an agent keeps few connections.
	followPeers = 3
	// balancersInterval is the time between two requests that ask for balancers of
	// the zone, half of the time between two replacements of a balancer in use.
	balancersInterval = 5 * peerReplaceInterval
)

// Follower keeps the configuration of one agent: the section with its service. It
// requests the section from balancers of its zone, which hold all sections, and
// never reads the configuration service. It is not safe for concurrent use.
// Actions are valid until the next call that returns some.
type Follower struct {
	self    Identity
	service hickoryid.ServiceName
	random  *rand.Rand

	store  *Store
	puller *puller
	budget *budget
	list   Listing
	// nearest holds the balancers from which peers are chosen: those of the
	// instance list, later those that replies of balancers name.
	nearest []Peer
	// marks are applied from replies of balancers only, so that their sequence
	// numbers are those of the fleet.
	marks *marks
	// peers are the balancers in use, at most followPeers.
	peers []Peer

	// team is the team whose section has the service; it is empty until a balancer
	// in service has answered.
	team hickoryid.TeamName
	// minVersions holds the version below which the section is not put in force.
	// refused has the addresses that the service does not get.
	minVersions map[hickoryid.TeamName]hickoryid.SectionVersion
	refused     []hickorymessage.RefusedAddress

	// lastTickAt is the time of the last call and resumedAt the end of the last
	// pause of the process. confirmedAt is the time at which the newest request
	// that a fresh balancer answered was sent.
	lastTickAt  hickorymodel.Instant
	resumedAt   hickorymodel.Instant
	confirmedAt hickorymodel.Instant
	// followAt is the time of the next request, replaceAt that of the next
	// replacement of a peer, askBalancersAt that of the next request for balancers.
	followAt       hickorymodel.Instant
	replaceAt      hickorymodel.Instant
	askBalancersAt hickorymodel.Instant
	// fresh is the state that was logged last; changed is true when the service
	// must be resolved again.
	fresh   bool
	changed bool
	actions []Action
}

// NewFollower returns the Follower of an agent that has just started.
func NewFollower(self Identity, service hickoryid.ServiceName, decode Decode, random *rand.Rand) *Follower {
	store := NewStore(decode)
	return &Follower{
		self:        self,
		service:     service,
		random:      random,
		store:       store,
		marks:       newMarks(&store.digest),
		puller:      newPuller(self.Instance),
		budget:      newBudget(),
		minVersions: map[hickoryid.TeamName]hickoryid.SectionVersion{},
	}
}

// SetInstances replaces the instance list.
func (f *Follower) SetInstances(now hickorymodel.Instant, list hickoryplatform.Instances) []Action {
	f.begin(now)
	f.list = NewListing(f.self, list)
	f.nearest = f.list.nearest(f.self)
	return f.actions
}

// Settled reports whether this agent is listed and the section of its service is
// known. Until then the instance list is read more often.
func (f *Follower) Settled() bool {
	return f.list.listed && f.team != ""
}

// Tick sends the requests that are due and applies changes. It is called every
// TickInterval.
func (f *Follower) Tick(now hickorymodel.Instant) []Action {
	f.begin(now)
	f.sendFollow(now)
	f.actions = append(f.actions, f.puller.nextCalls(now, f.budget)...)
	f.apply()
	f.logFreshness(now)
	return f.actions
}

// FreshUntil returns the time until which the agent may forward packets to other
// agents; 0 when it may not.
func (f *Follower) FreshUntil(_ hickorymodel.Instant) hickorymodel.Instant {
	if f.confirmedAt == 0 || f.confirmedAt < f.resumedAt {
		return 0
	}
	return f.confirmedAt.Add(FreshWindow)
}

// begin clears the actions and records the end of a pause. Each call that returns
// actions begins with it.
func (f *Follower) begin(now hickorymodel.Instant) {
	f.actions = f.actions[:0]
	if f.lastTickAt != 0 && now.Sub(f.lastTickAt) > PauseLimit {
		f.resumedAt = now
		f.followAt = now
	}
	f.lastTickAt = now
}

// sendFollow sends a request to one of the peers when it is due.
func (f *Follower) sendFollow(now hickorymodel.Instant) {
	if now.Before(f.followAt) || !f.list.known {
		return
	}
	f.choosePeers(now)
	if len(f.peers) == 0 {
		return
	}
	f.followAt = now.Add(followRetryDelay)
	peer := f.peers[f.random.IntN(len(f.peers))]
	var zone *hickoryid.ZoneName
	if now >= f.askBalancersAt {
		f.askBalancersAt = now.Add(balancersInterval)
		zone = &f.self.Zone
	}
	f.budget.charge(now, followBytes)
	f.actions = append(f.actions, Action{Verb: VerbFollow, Peer: peer.Control, Follow: &hickorymessage.FollowRequest{
		Service: f.service,
		Zone:    zone,
		Beacon: hickorymessage.Beacon{
			Instance:      f.self.Instance,
			Region:        f.self.Region,
			InService:     f.team != "",
			ReadAgeMillis: -1,
		},
	}})
}

// choosePeers drops peers that are no longer in nearest, replaces one each 10
// times peerReplaceInterval and adds others up to followPeers.
func (f *Follower) choosePeers(now hickorymodel.Instant) {
	nearest := f.nearest
	f.peers = slices.DeleteFunc(f.peers, func(peer Peer) bool { return !slices.Contains(nearest, peer) })
	if now >= f.replaceAt && len(f.peers) > 0 && len(nearest) > len(f.peers) {
		f.replaceAt = now.Add(10 * peerReplaceInterval)
		f.peers = f.peers[1:]
	}
	for len(f.peers) < min(followPeers, len(nearest)) {
		if peer := nearest[f.random.IntN(len(nearest))]; !slices.Contains(f.peers, peer) {
			f.peers = append(f.peers, peer)
		}
	}
}

// HandleFollowReply handles the answer of a balancer. The answer of a balancer
// that is itself starting is ignored, since the newest versions may be missing
// there.
func (f *Follower) HandleFollowReply(now, sentAt hickorymodel.Instant, endpoint hickoryid.Endpoint, reply hickorymessage.FollowReply) []Action {
	f.begin(now)
	if !reply.Beacon.InService {
		return f.actions
	}
	if reply.Beacon.Fresh {
		f.confirmedAt = max(f.confirmedAt, sentAt)
	}
	f.updateNearest(endpoint, reply.Balancers)
	if reply.Section == nil {
		return f.actions
	}
	f.applySection(*reply.Section, reply.Refused)
	if f.marks.mergeFromBalancer(now, reply.Marks) {
		f.changed = true
	}
	if f.store.Missing(f.team) {
		f.puller.start(f.team, f.store.Known(f.team), endpoint)
	}
	if !f.store.Missing(f.team) && now.Before(f.FreshUntil(now)) {
		f.followAt = max(f.followAt, sentAt.Add(FollowInterval))
	}
	f.actions = append(f.actions, f.puller.nextCalls(now, f.budget)...)
	return f.actions
}

// applySection records the header of the section with the service.
func (f *Follower) applySection(header hickorymessage.SectionHeader, refused []hickorymessage.RefusedAddress) {
	if f.store.RecordHeader(header) {
		f.changed = true
	}
	if f.team != header.Team {
		f.minVersions = map[hickoryid.TeamName]hickoryid.SectionVersion{header.Team: header.Version}
		f.team = header.Team
		f.changed = true
	}
	if !slices.Equal(f.refused, refused) {
		f.refused = refused
		f.changed = true
	}
}

// CallFailed handles a request without an answer: the next one goes to another
// balancer at once.
func (f *Follower) CallFailed(now hickorymodel.Instant, endpoint hickoryid.Endpoint) []Action {
	f.begin(now)
	f.peers = slices.DeleteFunc(f.peers, func(peer Peer) bool { return peer.Control == endpoint })
	f.followAt = now
	return f.actions
}

// AnswerPull returns one part of the section to a balancer.
func (f *Follower) AnswerPull(now hickorymodel.Instant, request hickorymessage.PullRequest) hickorymessage.PullReply {
	return answerPull(now, f.store, f.budget, request)
}

// HandlePullReply handles one part of the section.
func (f *Follower) HandlePullReply(now hickorymodel.Instant, endpoint hickoryid.Endpoint, reply hickorymessage.PullReply) []Action {
	f.begin(now)
	if offer, complete := f.puller.handleReply(now, endpoint, reply, f.budget); complete {
		f.accept(offer)
	}
	f.actions = append(f.actions, f.puller.nextCalls(now, f.budget)...)
	f.apply()
	return f.actions
}

// PullFailed handles a pull without an answer.
func (f *Follower) PullFailed(now hickorymodel.Instant, endpoint hickoryid.Endpoint, team hickoryid.TeamName) []Action {
	f.puller.cancelPull(team, endpoint)
	return f.CallFailed(now, endpoint)
}

// accept offers a version to the store and logs the outcome.
func (f *Follower) accept(offer Offer) {
	outcome, found := f.store.Accept(offer)
	logEntry := LogEntry{Kind: LogAccepted, Team: offer.Team, Version: offer.Version, Problems: found, Content: offer.Content}
	switch outcome {
	case OutcomeAccepted:
		f.changed = true
	case OutcomeRejected:
		logEntry.Kind = LogRejected
	default:
		return
	}
	f.actions = append(f.actions, Action{Verb: VerbLog, LogEntry: logEntry})
}
