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

// Node keeps the configuration of one balancer: it decides what to read from
// the service, what to exchange with peers, what to put in force and whether
// the balancer is fresh. It is not safe for concurrent use. Actions are valid
// until the next call that returns some.
type Node struct {
	self     Identity
	random   *rand.Rand
	without  Rule
	interval time.Duration
	push     int

	store     *Store
	freshness *Freshness
	reads     *ReadScheduler
	list      Listing
	marks     *marks
	view      view
	starting  starting
	puller    *puller
	budget    *budget

	// inService is set for good when the starting rule is met; floor then has the
	// versions below which no section is put in force.
	inService bool
	floor     map[hickoryid.TeamName]hickoryid.SectionVersion
	// index is the service's index up to which values have been read.
	index int
	// rereadAt is the time of a read from the start, for a version whose content
	// no peer has; 0 while nothing is missing.
	rereadAt   hickorymodel.Instant
	exchangeAt hickorymodel.Instant
	pushes     []pushItem

	// changed is true when the services must be resolved anew, which is done once
	// for all changes of a tick. urgent is true when a zone goes out of service:
	// it must have effect before a confirmation of the same answer does.
	changed bool
	urgent  bool
	// teams and numbers find the section of a service in force.
	teams   map[hickoryid.ServiceName]hickoryid.TeamName
	numbers map[hickoryid.ServiceNumber]hickoryid.TeamName
	// upstreams has those of each service in force.
	upstreams map[hickoryid.ServiceName][]hickoryid.UpstreamID
	refused   []Refusal
	fresh     bool

	actions []Action
}

// NodeOption changes a node at construction.
type NodeOption func(*Node)

// WithExchangeInterval sets the time between two exchanges, for measurements.
func WithExchangeInterval(interval time.Duration) NodeOption {
	return func(n *Node) {
		n.interval = interval
	}
}

// WithPushFanout sets the number of peers that a new version is pushed to, for measurements.
func WithPushFanout(count int) NodeOption {
	return func(n *Node) {
		n.push = count
	}
}

// NewNode returns the configuration of a process that has just started.
func NewNode(self Identity, decode Decode, random *rand.Rand, options ...NodeOption) *Node {
	n := &Node{self: self, random: random, interval: ExchangeInterval, push: pushCount}
	for _, option := range options {
		option(n)
	}
	n.store = NewStore(decode)
	n.marks = newMarks(&n.store.digest)
	n.freshness = NewFreshness(self.Instance)
	n.reads = NewReadScheduler(random)
	n.starting = newStarting()
	n.puller = newPuller(self.Instance)
	n.budget = newBudget()
	return n
}

// SwitchOff switches rules off; it is for tests of the checks.
func (n *Node) SwitchOff(rules Rule) {
	n.without = rules
	n.store.without = rules
	n.marks.without = rules
	n.freshness.without = rules
	n.reads.without = rules
}

// Store returns the sections of the node.
func (n *Node) Store() *Store {
	return n.store
}

// InService reports whether the starting rule is met.
func (n *Node) InService() bool {
	return n.inService
}

// FreshUntil returns the time up to which the balancer may forward; 0 when it
// may not.
func (n *Node) FreshUntil(now hickorymodel.Instant) hickorymodel.Instant {
	if !n.inService {
		return 0
	}
	return n.freshness.Until(now)
}

// Refused returns the claims that the sections in force do not get.
func (n *Node) Refused() []Refusal {
	return n.refused
}

// Tick does what is due. It is called each TickInterval.
func (n *Node) Tick(now hickorymodel.Instant) []Action {
	n.begin(now)
	if n.list.known {
		n.view.refresh(now, n.self, &n.list, n.random)
		n.read(now)
		n.exchange(now)
		n.sendPushes(now)
		n.sendMarks(now)
	}
	n.marks.expire(now)
	n.budget.setLoading(now, n.loading())
	n.actions = append(n.actions, n.puller.due(now, n.budget)...)
	n.enterService()
	n.apply()
	n.reportFreshness(now)
	return n.actions
}

// SetInstances replaces the instance list. Its leaving states have effect
// through the marks, which all balancers share.
func (n *Node) SetInstances(now hickorymodel.Instant, list hickoryplatform.Instances) []Action {
	n.begin(now)
	n.list = NewListing(n.self, list)
	n.freshness.SetMembers(n.list.members, n.list.membersHash)
	if n.marks.observe(now, n.list.states) {
		n.changed = true
	}
	return n.actions
}

// Settled reports whether the own instance is listed and in service. Until then
// the instance list is read more often.
func (n *Node) Settled() bool {
	return n.list.listed && n.inService
}

func (n *Node) begin(now hickorymodel.Instant) {
	n.actions = n.actions[:0]
	n.freshness.Tick(now)
}

// loading is true while a process that has just started lacks sections.
func (n *Node) loading() bool {
	if !n.inService {
		return true
	}
	for team, version := range n.floor {
		if held, ok := n.store.Held(team); ok && held.Version >= version {
			delete(n.floor, team)
		}
	}
	return len(n.floor) > 0
}

func (n *Node) enterService() {
	if n.inService {
		return
	}
	if !n.without.has(RuleStartup) {
		if !n.starting.done(&n.list, n.freshness.readAt != 0) {
			return
		}
		n.floor = map[hickoryid.TeamName]hickoryid.SectionVersion{}
		for team, header := range n.store.known {
			n.floor[team] = header.Version
		}
	}
	n.inService = true
	n.changed = true
	n.report(LogEntry{Kind: LogInService})
}

// apply resolves the sections in force once for all changes of a tick.
func (n *Node) apply() {
	if !n.inService || !n.changed {
		return
	}
	n.changed = false
	n.urgent = false
	services, refused := Resolve(n.store.Effective(n.floor), n.marks.states())
	n.teams = map[hickoryid.ServiceName]hickoryid.TeamName{}
	n.numbers = map[hickoryid.ServiceNumber]hickoryid.TeamName{}
	n.upstreams = map[hickoryid.ServiceName][]hickoryid.UpstreamID{}
	for _, service := range services {
		n.teams[service.Name] = service.Team
		n.numbers[service.Number] = service.Team
		for _, upstream := range service.Upstreams {
			n.upstreams[service.Name] = append(n.upstreams[service.Name], upstream.ID)
		}
	}
	n.reportRefused(refused)
	n.actions = append(n.actions, Action{Verb: VerbApply, Services: services})
}

func (n *Node) applyUrgent() {
	if n.urgent {
		n.apply()
	}
}

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
