package hickoryconfig

import (
	"math/rand/v2"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

// TickInterval is the time between two calls of Tick.
const TickInterval = 125 * time.Millisecond

// Node keeps the configuration of one balancer: it decides when to read the
// configuration service, what to exchange with peers, which sections to put in
// force and whether the balancer is fresh. It is not safe for concurrent use.
// Actions are valid until the next call that returns some.
type Node struct {
	self             Identity
	random           *rand.Rand
	switchedOff      Rule
	exchangeInterval time.Duration
	pushFanout       int

	store      *Store
	freshness  *Freshness
	reads      *ReadScheduler
	list       Listing
	marks      *marks
	peerSample peerSample
	startup    startup
	puller     *puller
	budget     *budget

	// inService becomes true when the rule of startup is met and stays true.
	// minVersions then has the versions below which no section is put in force.
	inService   bool
	minVersions map[hickoryid.TeamName]hickoryid.SectionVersion
	// index is the index of the configuration service up to which values have been
	// read.
	index int
	// rereadAt is the time to read all values again, for a version whose content no
	// peer has; 0 while no content is missing.
	rereadAt   hickorymodel.Instant
	exchangeAt hickorymodel.Instant
	pushes     []pendingPush

	// changed is true when the services must be resolved again, which is done once
	// for all changes of a tick. urgent is true when a zone goes out of service:
	// this must be in force before a confirmation in the same answer counts.
	changed bool
	urgent  bool
	// teamByService and teamByNumber have the team of each service in force.
	teamByService map[hickoryid.ServiceName]hickoryid.TeamName
	teamByNumber  map[hickoryid.ServiceNumber]hickoryid.TeamName
	// upstreams has the upstreams of each service in force.
	upstreams map[hickoryid.ServiceName][]hickoryid.UpstreamID
	refused   []Refusal
	// fresh is the state that was logged last.
	fresh bool

	actions []Action
}

// NodeOption changes a node at construction.
type NodeOption func(*Node)

// WithExchangeInterval sets the time between two exchanges, for measurements.
func WithExchangeInterval(exchangeInterval time.Duration) NodeOption {
	return func(n *Node) {
		n.exchangeInterval = exchangeInterval
	}
}

// WithPushFanout sets the number of peers to which a new version is pushed, for
// measurements.
func WithPushFanout(count int) NodeOption {
	return func(n *Node) {
		n.pushFanout = count
	}
}

// NewNode returns the Node of a balancer that has just started.
func NewNode(self Identity, decode Decode, random *rand.Rand, options ...NodeOption) *Node {
	n := &Node{self: self, random: random, exchangeInterval: ExchangeInterval, pushFanout: defaultPushFanout}
	for _, option := range options {
		option(n)
	}
	n.store = NewStore(decode)
	n.marks = newMarks(&n.store.digest)
	n.freshness = NewFreshness(self.Instance)
	n.reads = NewReadScheduler(random)
	n.startup = newStartup()
	n.puller = newPuller(self.Instance)
	n.budget = newBudget()
	return n
}

// SwitchOff switches rules off. Tests use it to show that a check fails without
// the rule.
func (n *Node) SwitchOff(rules Rule) {
	n.switchedOff = rules
	n.store.switchedOff = rules
	n.marks.switchedOff = rules
	n.freshness.switchedOff = rules
	n.reads.switchedOff = rules
}

// Store returns the sections of the node.
func (n *Node) Store() *Store {
	return n.store
}

// InService reports whether the startup has ended and sections are put in force.
func (n *Node) InService() bool {
	return n.inService
}

// FreshUntil returns the time until which the balancer may forward packets; 0 when
// it may not.
func (n *Node) FreshUntil(now hickorymodel.Instant) hickorymodel.Instant {
	if !n.inService {
		return 0
	}
	return n.freshness.Until(now)
}

// Refused returns the services and addresses that sections in force ask for and do
// not get.
func (n *Node) Refused() []Refusal {
	return n.refused
}

// Tick sends the reads, exchanges and pushes that are due and applies changes. It
// is called every TickInterval.
func (n *Node) Tick(now hickorymodel.Instant) []Action {
	n.begin(now)
	if n.list.known {
		n.peerSample.refresh(now, n.self, &n.list, n.random)
		n.read(now)
		n.exchange(now)
		n.sendPushes(now)
		n.sendMarks(now)
	}
	n.marks.expire(now)
	n.budget.setLoading(now, n.loading())
	n.actions = append(n.actions, n.puller.nextCalls(now, n.budget)...)
	n.enterService()
	n.apply()
	n.logFreshness(now)
	return n.actions
}

// SetInstances replaces the instance list. Its leaving states are put in force
// through the marks, which all balancers share.
func (n *Node) SetInstances(now hickorymodel.Instant, list hickoryplatform.Instances) []Action {
	n.begin(now)
	n.list = NewListing(n.self, list)
	n.freshness.SetMembers(n.list.members, n.list.membersHash)
	if n.marks.applyList(now, n.list.states) {
		n.changed = true
	}
	return n.actions
}

// Settled reports whether this balancer is listed and in service. Until then the
// instance list is read more often.
func (n *Node) Settled() bool {
	return n.list.listed && n.inService
}

// begin clears the actions and records that the process runs. Each call that
// returns actions begins with it.
func (n *Node) begin(now hickorymodel.Instant) {
	n.actions = n.actions[:0]
	n.freshness.Tick(now)
}

// loading reports whether a process that has just started lacks sections.
func (n *Node) loading() bool {
	if !n.inService {
		return true
	}
	for team, version := range n.minVersions {
		if held, ok := n.store.Held(team); ok && held.Version >= version {
			delete(n.minVersions, team)
		}
	}
	return len(n.minVersions) > 0
}

// enterService ends the startup once its rule is met. The highest versions known
// then become minVersions.
func (n *Node) enterService() {
	if n.inService {
		return
	}
	if !n.switchedOff.has(RuleStartup) {
		if !n.startup.done(&n.list, n.freshness.readAt != 0) {
			return
		}
		n.minVersions = map[hickoryid.TeamName]hickoryid.SectionVersion{}
		for team, header := range n.store.known {
			n.minVersions[team] = header.Version
		}
	}
	n.inService = true
	n.changed = true
	n.logEntry(LogEntry{Kind: LogInService})
}

// apply resolves the sections in force once for all changes of a tick.
func (n *Node) apply() {
	if !n.inService || !n.changed {
		return
	}
	n.changed = false
	n.urgent = false
	services, refused := Resolve(n.store.Effective(n.minVersions), n.marks.states())
	n.teamByService = map[hickoryid.ServiceName]hickoryid.TeamName{}
	n.teamByNumber = map[hickoryid.ServiceNumber]hickoryid.TeamName{}
	n.upstreams = map[hickoryid.ServiceName][]hickoryid.UpstreamID{}
	for _, service := range services {
		n.teamByService[service.Name] = service.Team
		n.teamByNumber[service.Number] = service.Team
		for _, upstream := range service.Upstreams {
			n.upstreams[service.Name] = append(n.upstreams[service.Name], upstream.ID)
		}
	}
	n.logRefused(refused)
	n.actions = append(n.actions, Action{Verb: VerbApply, Services: services})
}

// applyUrgent applies a zone that goes out of service without waiting for Tick.
func (n *Node) applyUrgent() {
	if n.urgent {
		n.apply()
	}
}

// beacon returns the state of this balancer that its messages carry.
func (n *Node) beacon(now hickorymodel.Instant) hickorymessage.Beacon {
	b := hickorymessage.Beacon{
		Instance:      n.self.Instance,
		Region:        n.self.Region,
		InService:     n.inService,
		Complete:      n.store.Complete(),
		Fresh:         now.Before(n.FreshUntil(now)),
		ReadAgeMillis: n.freshness.ReadAge(now),
		ReadIndex:     n.freshness.readIndex,
	}
	if n.freshness.readAt != 0 {
		reader := n.freshness.reader
		b.Reader = &reader
	}
	return b
}
