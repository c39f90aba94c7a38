package hickorysteering

import (
	"math/rand/v2"
	"slices"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
	"hickoryworks/schema/hickoryid"
)

const (
	// maxFlows bounds the flow cache of a balancer. A flow that does not fit is
	// searched for again with each of its packets.
	maxFlows = 1 << 18
	// flowSlack is added to the idle timeout of flows before the balancer drops an
	// idle flow from its cache.
	flowSlack = 5 * time.Second
	// helloInterval is the time between two hellos to an agent from which no frame
	// has arrived lately.
	helloInterval = time.Second
	// helloProbeInterval is the time between two hellos to an agent that has left a
	// frame unanswered. Three of them must be lost before the agent counts as
	// silent.
	helloProbeInterval = 300 * time.Millisecond
	// maxHellosPerTick bounds the hellos that are sent in one tick.
	maxHellosPerTick = 32
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// SearchTickInterval is the time between two calls of Tick while Searching
	// reports true.
	SearchTickInterval = 10 * time.Millisecond
	// staleTime is how long the process needs after a pause to read the packets and
	// changes that were queued meanwhile.
	staleTime = 300 * time.Millisecond
	// minSilentAgents is the number of silent agents from which on the balancer
	// counts as isolated, if it receives nothing from any other agent.
	minSilentAgents = 2
	// sweepInterval is the time between two removals of old cache entries.
	sweepInterval = time.Second
)

// Balancer decides for one balancer. It is not safe for concurrent use; one
// goroutine owns it.
type Balancer struct {
	zone hickoryid.ZoneName
	// agentPort is the port of the agents' data sockets.
	agentPort uint16
	random    *rand.Rand
	// onDecision is called with each decision.
	onDecision func(*Decision)

	view *hickorydirectory.View
	// confirmedUntil is a time up to which view has all published changes; 0 while that
	// is not known.
	confirmedUntil hickorymodel.Instant
	// firstViewAt is when the first complete view arrived; 0 before.
	firstViewAt hickorymodel.Instant
	// greeting is true while listed agents wait for their first hello, or have not
	// answered it for less than firstHelloTime.
	greeting bool
	// holding is true after the first complete view until Holding reports that the packets
	// of callers need not wait.
	holding bool
	// agentHeardFirst is set by the first frame of an agent and cleared by
	// AgentHeardFirst.
	agentHeardFirst bool

	peers map[hickorymodel.Endpoint]*peer
	// services has the listed peers of each service, in the order of the view.
	services map[hickorydirectory.ServiceHash][]*peer
	// idempotentServices are the services with a route whose requests are idempotent.
	idempotentServices map[hickorydirectory.ServiceHash]bool
	// peerChanges rises with each new peer, each view, and each frame of an agent that
	// counted as ended.
	peerChanges uint64
	// flows has at most maxFlows entries.
	flows    map[hickorymodel.FlowKey]*flow
	searches map[hickorymodel.FlowKey]*search
	// queries holds, by agent, the flows to ask for in the next query frames;
	// queriedAt is when queries were last sent.
	queries   map[hickorymodel.Endpoint][]hickoryframe.Notice
	queriedAt hickorymodel.Instant
	// searchesWithRounds counts the searches that have rounds of agents left to
	// ask.
	searchesWithRounds int
	// needsConfirmation is true when a search could end if more recent published
	// changes were confirmed.
	needsConfirmation bool
	// confirmationRequestedAt is when needsConfirmation was last set.
	confirmationRequestedAt hickorymodel.Instant
	// packetsPending is true while a search may have agents left that get its packet.
	packetsPending bool
	// postponed has at most maxPostponed first packets.
	postponed []postponedPacket
	// searchBudget bounds the bytes of packets that searches send.
	searchBudget byteBudget
	// openedFlows counts the first packets that were sent to agents.
	openedFlows uint64
	// lastFrameAt is when a frame of any agent last arrived.
	lastFrameAt hickorymodel.Instant
	sweptAt     hickorymodel.Instant
	// staleUntil is the time before which packets and the view may be outdated,
	// because the process was paused.
	staleUntil hickorymodel.Instant
	// work is what choices by work need.
	work    workRouting
	actions []Action
}

// BalancerOption sets an option of a balancer at construction.
type BalancerOption func(*Balancer)

// WithLink sets the bandwidth of the balancer's link in megabits per second, of which
// searches use a share.
func WithLink(mbps float64) BalancerOption {
	return func(b *Balancer) {
		b.searchBudget.rate = searchRate(mbps)
	}
}

// NewBalancer returns a balancer without a view. OnDecision is called with each
// decision.
func NewBalancer(zone hickoryid.ZoneName, agentPort uint16, random *rand.Rand, onDecision func(*Decision), options ...BalancerOption) *Balancer {
	b := &Balancer{
		zone:         zone,
		agentPort:    agentPort,
		random:       random,
		onDecision:   onDecision,
		view:         &hickorydirectory.View{},
		peers:        map[hickorymodel.Endpoint]*peer{},
		services:     map[hickorydirectory.ServiceHash][]*peer{},
		flows:        map[hickorymodel.FlowKey]*flow{},
		searches:     map[hickorymodel.FlowKey]*search{},
		queries:      map[hickorymodel.Endpoint][]hickoryframe.Notice{},
		searchBudget: byteBudget{rate: minSearchRate},
		work:         workRouting{services: map[hickorydirectory.ServiceHash]*serviceWork{}, roundTrips: zoneRoundTrips{}},
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// SetView replaces the view of the published state that decisions are based on.
func (b *Balancer) SetView(now hickorymodel.Instant, view *hickorydirectory.View) []Action {
	b.actions = b.actions[:0]
	b.view = view
	first := view.StateComplete && b.firstViewAt == 0
	if first {
		b.firstViewAt = now
		b.holding = true
	}
	b.peerChanges++
	b.services = map[hickorydirectory.ServiceHash][]*peer{}
	b.idempotentServices = idempotentServices(view)
	for _, p := range b.peers {
		p.listed = false
	}
	for _, upstream := range view.Upstreams {
		p := b.peer(b.agentOf(upstream.Endpoint))
		if p.upstream.ID != upstream.ID || p.listedAt == 0 {
			p.listedAt = now
			p.settledAt = now.Add(settleTime)
		}
		if first {
			p.settledAt = now // other balancers know it as long as this one has not run
		}
		p.upstream = upstream
		p.listed = true
		b.services[upstream.Service] = append(b.services[upstream.Service], p)
	}
	b.dropServiceWork()
	b.sendHellos(now)
	b.dropEndedAgents(now)
	b.sendQueries(now)
	return b.actions
}

// Confirm records that the view has all changes that were published up to a time, and
// ends the searches that waited for that.
func (b *Balancer) Confirm(now, until hickorymodel.Instant) []Action {
	b.actions = b.actions[:0]
	if !until.Before(b.confirmedUntil) {
		b.confirmedUntil = until
		b.endExhaustedSearches(now)
	}
	b.sendQueries(now)
	return b.actions
}

// Resumed records that the process has been paused. Packets that were queued
// meanwhile may belong to flows that were opened through other balancers since.
func (b *Balancer) Resumed(now hickorymodel.Instant) {
	b.staleUntil = now.Add(staleTime)
	b.recordDecision(&Decision{Step: StepResumed})
}

// agentOf returns the data socket of the agent beside an upstream.
func (b *Balancer) agentOf(upstream hickorymodel.Endpoint) hickorymodel.Endpoint {
	return hickorymodel.Endpoint{Address: upstream.Address, Port: b.agentPort}
}

func (b *Balancer) peer(endpoint hickorymodel.Endpoint) *peer {
	p, ok := b.peers[endpoint]
	if !ok {
		p = &peer{endpoint: endpoint, hash: hashEndpoint(endpoint), addresses: map[hickorymodel.SocketAddress]hickorymodel.Instant{}}
		b.peers[endpoint] = p
		b.peerChanges++
	}
	return p
}

// HandleReport applies a report of an agent.
func (b *Balancer) HandleReport(now hickorymodel.Instant, from hickorymodel.Endpoint, header *hickoryframe.Header, report *hickoryframe.Report, addresses []hickoryframe.Address) {
	b.recordFrame(now, from).applyReport(now, header, report, addresses)
}

// HandleNotice applies a notice, by which an agent names itself the owner of a
// flow.
func (b *Balancer) HandleNotice(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, key hickorymodel.FlowKey) []Action {
	b.actions = b.actions[:0]
	b.recordFrame(now, from)
	if reason == ReasonWaiting {
		b.recordWaiting(from, key)
		return b.actions
	}
	b.applyOwnership(now, from, reason, key)
	b.sendQueries(now)
	return b.actions
}

// applyOwnership applies what an agent states about a flow, in a notice or in the
// answer to a query.
func (b *Balancer) applyOwnership(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, key hickorymodel.FlowKey) {
	if reason == ReasonNotHeld || reason == ReasonUnknown {
		b.handleNoOwner(now, from, reason, key)
		return
	}
	f := b.flow(now, key)
	if f == nil {
		return
	}
	switch {
	case reason == ReasonOpen:
		f.owner = from
		f.stage = stageOpen
	case f.stage == stageOpening:
		f.owner = from
		f.stage = stageAnswered
	default:
		return
	}
	if reason == ReasonAnswered {
		return
	}
	if s, ok := b.searches[key]; ok {
		b.endSearch(key, s)
		b.recordDecision(&Decision{Step: StepFound, Flow: key, Peer: from, Reason: reason, Count: s.framesSent, Waited: now.Sub(s.startedAt)})
		if !slices.Contains(s.packetSentTo, from) {
			b.sendData(s.packet.Bytes, b.peer(from))
		}
	}
}

// recordFrame records that a frame of an agent has arrived.
func (b *Balancer) recordFrame(now hickorymodel.Instant, from hickorymodel.Endpoint) *peer {
	p := b.peer(from)
	ended := p.agentEnded(now)
	b.learnRoundTrip(now, p)
	b.agentHeardFirst = b.agentHeardFirst || p.unheard()
	p.lastFrameAt = now
	b.lastFrameAt = now
	p.awaitingAnswerSince = 0
	b.Holding(now)
	if ended {
		b.peerChanges++ // searches have left it out
	}
	if p.silent {
		p.silent = false
		b.recordDecision(&Decision{Step: StepAgentHeard, Peer: from, Upstream: p.upstream.ID})
	}
	return p
}

// flow returns the cache entry of a flow. It adds an entry if there is none and
// returns nil if the cache is full.
func (b *Balancer) flow(now hickorymodel.Instant, key hickorymodel.FlowKey) *flow {
	f, ok := b.flows[key]
	if !ok {
		if len(b.flows) >= maxFlows {
			return nil
		}
		f = &flow{}
		b.flows[key] = f
	}
	f.seenAt = now
	return f
}

// Searching reports whether a search has more agents to ask, or first hellos, queries or
// packets wait.
func (b *Balancer) Searching() bool {
	return b.greeting || b.holding || b.searchesWithRounds > 0 || len(b.queries) > 0 || b.packetsPending || len(b.postponed) > 0
}

// NeedsConfirmation reports whether, since the last call, a search could have ended
// if more recent published changes had been confirmed.
func (b *Balancer) NeedsConfirmation() bool {
	needsConfirmation := b.needsConfirmation
	b.needsConfirmation = false
	return needsConfirmation
}

// OpenedFlows returns the number of first packets that were sent to agents.
func (b *Balancer) OpenedFlows() uint64 {
	return b.openedFlows
}

// Flows returns the number of flows in the cache.
func (b *Balancer) Flows() int {
	return len(b.flows)
}

func (b *Balancer) recordDecision(decision *Decision) {
	decision.Version = b.view.Version
	b.onDecision(decision)
}
