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
	// FollowInterval is the time between two exchanges of an agent.
	FollowInterval = time.Second
	// followRetry is the time to the next exchange while one has no answer, none
	// has succeeded or a content is missing. Waiting for the timeout of a lost call
	// delayed the state of a leaving upstream to 3.2 s after it was listed.
	followRetry = 250 * time.Millisecond
	// followView is the number of balancers that an agent talks to, so that it
	// keeps few connections.
	followView = 3
	// nearInterval is the time between two requests for balancers of the zone,
	// half of the time between two replacements of a balancer.
	nearInterval = 5 * viewInterval
)

// Follower keeps the one section of an agent's service. It asks balancers of
// its zone, which know all sections, in which section the service is. It never
// reads the configuration service. It is not safe for concurrent use.
type Follower struct {
	self    Identity
	service hickoryid.ServiceName
	random  *rand.Rand

	store  *Store
	puller *puller
	budget *budget
	list   Listing
	// near are the balancers to choose from: those of the list, later those that
	// balancers tell of.
	near []Peer
	// marks come from balancers alone, so that their sequences stay those of the fleet.
	marks *marks
	peers []Peer

	// team is the section that holds the service; empty until a balancer in
	// service has answered.
	team    hickoryid.TeamName
	floor   map[hickoryid.TeamName]hickoryid.SectionVersion
	refused []hickorymessage.RefusedAddress

	ticked    hickorymodel.Instant
	resumed   hickorymodel.Instant
	freshAt   hickorymodel.Instant
	nextAt    hickorymodel.Instant
	replaceAt hickorymodel.Instant
	askNearAt hickorymodel.Instant
	fresh     bool
	changed   bool
	actions   []Action
}

// NewFollower returns the configuration of an agent that has just started.
func NewFollower(self Identity, service hickoryid.ServiceName, decode Decode, random *rand.Rand) *Follower {
	store := NewStore(decode)
	return &Follower{
		self:    self,
		service: service,
		random:  random,
		store:   store,
		marks:   newMarks(&store.digest),
		puller:  newPuller(self.Instance),
		budget:  newBudget(),
		floor:   map[hickoryid.TeamName]hickoryid.SectionVersion{},
	}
}

// SetInstances replaces the instance list.
func (f *Follower) SetInstances(now hickorymodel.Instant, list hickoryplatform.Instances) []Action {
	f.begin(now)
	f.list = NewListing(f.self, list)
	f.near = f.list.near(f.self)
	return f.actions
}

// Settled reports whether the own instance is listed and knows its section.
// Until then the instance list is read more often.
func (f *Follower) Settled() bool {
	return f.list.listed && f.team != ""
}

// Tick does what is due. It is called each TickInterval.
func (f *Follower) Tick(now hickorymodel.Instant) []Action {
	f.begin(now)
	f.ask(now)
	f.actions = append(f.actions, f.puller.due(now, f.budget)...)
	f.apply()
	f.reportFreshness(now)
	return f.actions
}

// FreshUntil returns the time up to which the agent may forward packets to other
// agents; 0 when it may not.
func (f *Follower) FreshUntil(_ hickorymodel.Instant) hickorymodel.Instant {
	if f.freshAt == 0 || f.freshAt < f.resumed {
		return 0
	}
	return f.freshAt.Add(FreshWindow)
}

func (f *Follower) begin(now hickorymodel.Instant) {
	f.actions = f.actions[:0]
	if f.ticked != 0 && now.Sub(f.ticked) > PauseLimit {
		f.resumed = now
		f.nextAt = now
	}
	f.ticked = now
}

func (f *Follower) ask(now hickorymodel.Instant) {
	if now.Before(f.nextAt) || !f.list.known {
		return
	}
	f.choosePeers(now)
	if len(f.peers) == 0 {
		return
	}
	f.nextAt = now.Add(followRetry)
	peer := f.peers[f.random.IntN(len(f.peers))]
	var zone *hickoryid.ZoneName
	if now >= f.askNearAt {
		f.askNearAt = now.Add(nearInterval)
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

// choosePeers keeps a few balancers and replaces one from time to time.
func (f *Follower) choosePeers(now hickorymodel.Instant) {
	near := f.near
	f.peers = slices.DeleteFunc(f.peers, func(peer Peer) bool { return !slices.Contains(near, peer) })
	if now >= f.replaceAt && len(f.peers) > 0 && len(near) > len(f.peers) {
		f.replaceAt = now.Add(10 * viewInterval)
		f.peers = f.peers[1:]
	}
	for len(f.peers) < min(followView, len(near)) {
		if peer := near[f.random.IntN(len(near))]; !slices.Contains(f.peers, peer) {
			f.peers = append(f.peers, peer)
		}
	}
}

// HandleFollowReply handles the answer of a balancer. One that is itself starting
// may not know the newest versions, so its answer does not count.
func (f *Follower) HandleFollowReply(now, sentAt hickorymodel.Instant, endpoint hickoryid.Endpoint, reply hickorymessage.FollowReply) []Action {
	f.begin(now)
	if !reply.Beacon.InService {
		return f.actions
	}
	if reply.Beacon.Fresh {
		f.freshAt = max(f.freshAt, sentAt)
	}
	f.takeNear(endpoint, reply.Balancers)
	if reply.Section == nil {
		return f.actions
	}
	f.takeSection(*reply.Section, reply.Refused)
	if f.marks.follow(now, reply.Marks) {
		f.changed = true
	}
	if f.store.Missing(f.team) {
		f.puller.start(f.team, f.store.Known(f.team), endpoint)
	}
	if !f.store.Missing(f.team) && now.Before(f.FreshUntil(now)) {
		f.nextAt = max(f.nextAt, sentAt.Add(FollowInterval))
	}
	f.actions = append(f.actions, f.puller.due(now, f.budget)...)
	return f.actions
}

func (f *Follower) takeSection(header hickorymessage.SectionHeader, refused []hickorymessage.RefusedAddress) {
	if f.store.RecordHeader(header) {
		f.changed = true
	}
	if f.team != header.Team {
		f.floor = map[hickoryid.TeamName]hickoryid.SectionVersion{header.Team: header.Version}
		f.team = header.Team
		f.changed = true
	}
	if !slices.Equal(f.refused, refused) {
		f.refused = refused
		f.changed = true
	}
}

// CallFailed handles an exchange that got no answer: the next one goes to
// another balancer at once.
func (f *Follower) CallFailed(now hickorymodel.Instant, endpoint hickoryid.Endpoint) []Action {
	f.begin(now)
	f.peers = slices.DeleteFunc(f.peers, func(peer Peer) bool { return peer.Control == endpoint })
	f.nextAt = now
	return f.actions
}

// AnswerPull gives a balancer one part of the section.
func (f *Follower) AnswerPull(now hickorymodel.Instant, request hickorymessage.PullRequest) hickorymessage.PullReply {
	return answerPull(now, f.store, f.budget, request)
}

// HandlePullReply handles one part of the section.
func (f *Follower) HandlePullReply(now hickorymodel.Instant, endpoint hickoryid.Endpoint, reply hickorymessage.PullReply) []Action {
	f.begin(now)
	if offer, complete := f.puller.take(now, endpoint, reply, f.budget); complete {
		f.accept(offer)
	}
	f.actions = append(f.actions, f.puller.due(now, f.budget)...)
	f.apply()
	return f.actions
}

// PullFailed handles a pull that got no answer.
func (f *Follower) PullFailed(now hickorymodel.Instant, endpoint hickoryid.Endpoint, team hickoryid.TeamName) []Action {
	f.puller.fail(team, endpoint)
	return f.CallFailed(now, endpoint)
}

func (f *Follower) accept(offer Offer) {
	outcome, found := f.store.Accept(offer)
	report := LogEntry{Kind: LogAccepted, Team: offer.Team, Version: offer.Version, Problems: found, Content: offer.Content}
	switch outcome {
	case OutcomeAccepted:
		f.changed = true
	case OutcomeRejected:
		report.Kind = LogRejected
	default:
		return
	}
	f.actions = append(f.actions, Action{Verb: VerbLog, LogEntry: report})
}
