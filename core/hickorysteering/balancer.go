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
	// maxFlows bounds the cache of flows; further flows are searched for with
	// each packet.
	maxFlows = 1 << 18
	// flowSlack is added to the idle timeout before a flow is forgotten.
	flowSlack = 5 * time.Second
	// helloInterval is the time between two hellos to an agent that is not heard.
	helloInterval = time.Second
	// helloProbeInterval is the time between two hellos to an agent that has left a frame
	// unanswered. Three of them must be lost before it counts as silent.
	helloProbeInterval = 300 * time.Millisecond
	// helloLimit is the most hellos of one tick.
	helloLimit = 32
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// SearchTickInterval is that time while searches run.
	SearchTickInterval = 10 * time.Millisecond
	// staleTime is how long it takes after a pause to read what has waited.
	staleTime = 300 * time.Millisecond
	// isolationAgents is the number of silent agents, with no other one heard,
	// that shows that the balancer itself is cut off.
	isolationAgents = 2
	// sweepInterval is the time between two removals of old flows.
	sweepInterval = time.Second
)

// Balancer decides for one balancer. One goroutine uses it.
type Balancer struct {
	zone hickoryid.ZoneName
	// agentPort is the port of the agents' data sockets.
	agentPort uint16
	random    *rand.Rand
	// decided is called with each decision.
	decided func(*Decision)
	// confirmed returns a time up to which all published changes are known; that
	// of the view may be later.
	confirmed func(now hickorymodel.Instant) hickorymodel.Instant

	view  *hickorydirectory.View
	peers map[hickorymodel.Endpoint]*peer
	// services has the listed peers of each service, in the order of the view.
	services map[hickorydirectory.ServiceHash][]*peer
	// routes has the routes of the view.
	routes map[hickorymodel.SocketAddress]knownRoute
	// flows has at most maxFlows entries.
	flows    map[hickorymodel.FlowKey]*flow
	searches map[hickorymodel.FlowKey]*search
	// queries are the flows that agents are asked for with the next frames; they
	// were last sent at queriedAt.
	queries   map[hickorymodel.Endpoint][]hickoryframe.Notice
	queriedAt hickorymodel.Instant
	// widening counts the searches that have agents left to ask.
	widening int
	// unconfirmed is true while a search waits for confirmed alone.
	unconfirmed bool
	// searching bounds the packets of searches.
	searching byteBudget
	// heardAt is when any agent was last heard.
	heardAt hickorymodel.Instant
	sweptAt hickorymodel.Instant
	// staleUntil is until when waiting packets and the view may be old, because
	// the process did not run.
	staleUntil hickorymodel.Instant
	actions    []Action
}

// NewBalancer returns a balancer that knows nothing yet. Decided is called with
// each decision; confirmed returns a time up to which all published changes are
// known.
func NewBalancer(zone hickoryid.ZoneName, agentPort uint16, random *rand.Rand, decided func(*Decision), confirmed func(now hickorymodel.Instant) hickorymodel.Instant) *Balancer {
	return &Balancer{
		zone:      zone,
		agentPort: agentPort,
		random:    random,
		decided:   decided,
		confirmed: confirmed,
		view:      &hickorydirectory.View{},
		peers:     map[hickorymodel.Endpoint]*peer{},
		services:  map[hickorydirectory.ServiceHash][]*peer{},
		routes:    map[hickorymodel.SocketAddress]knownRoute{},
		flows:     map[hickorymodel.FlowKey]*flow{},
		searches:  map[hickorymodel.FlowKey]*search{},
		queries:   map[hickorymodel.Endpoint][]hickoryframe.Notice{},
	}
}

// SetView puts a view of the published state in force.
func (b *Balancer) SetView(now hickorymodel.Instant, view *hickorydirectory.View) []Action {
	b.actions = b.actions[:0]
	b.followRoutes(now, view)
	b.view = view
	b.services = map[hickorydirectory.ServiceHash][]*peer{}
	for _, p := range b.peers {
		p.listed = false
	}
	for _, upstream := range view.Upstreams {
		p := b.peer(b.agentOf(upstream.Endpoint))
		if p.upstream.ID != upstream.ID || p.listedAt == 0 {
			p.listedAt = now
		}
		p.upstream = upstream
		p.listed = true
		b.services[upstream.Service] = append(b.services[upstream.Service], p)
	}
	b.sayHello(now)
	b.dropGone(now)
	b.sendQueries(now)
	return b.actions
}

// Resumed notes that the process has not run for a time. Packets that waited may
// belong to flows that have opened through other balancers since.
func (b *Balancer) Resumed(now hickorymodel.Instant) {
	b.staleUntil = now.Add(staleTime)
	b.decide(&Decision{Step: StepResumed})
}

// agentOf returns the agent beside an upstream.
func (b *Balancer) agentOf(upstream hickorymodel.Endpoint) hickorymodel.Endpoint {
	return hickorymodel.Endpoint{Address: upstream.Address, Port: b.agentPort}
}

func (b *Balancer) peer(endpoint hickorymodel.Endpoint) *peer {
	p, ok := b.peers[endpoint]
	if !ok {
		p = &peer{endpoint: endpoint, hash: hashEndpoint(endpoint), addresses: map[hickorymodel.SocketAddress]hickorymodel.Instant{}}
		b.peers[endpoint] = p
	}
	return p
}

// HandleReport takes the state of an agent.
func (b *Balancer) HandleReport(now hickorymodel.Instant, from hickorymodel.Endpoint, header *hickoryframe.Header, report *hickoryframe.Report, addresses []hickoryframe.Address) {
	b.heard(now, from).report(now, header, report, addresses)
}

// HandleNotice takes the owner of a flow.
func (b *Balancer) HandleNotice(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, key hickorymodel.FlowKey) []Action {
	b.actions = b.actions[:0]
	b.heard(now, from)
	b.learn(now, from, reason, key)
	b.sendQueries(now)
	return b.actions
}

// learn takes what an agent says of a flow.
func (b *Balancer) learn(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, key hickorymodel.FlowKey) {
	if reason == ReasonNotHeld || reason == ReasonUnknown {
		b.answered(now, from, reason, key)
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
		b.decide(&Decision{Step: StepFound, Flow: key, Peer: from, Reason: reason, Count: s.asked})
		if !slices.Contains(s.carried, from) {
			b.send(s.packet.Bytes, b.peer(from))
		}
	}
}

// heard notes a sign of life of an agent.
func (b *Balancer) heard(now hickorymodel.Instant, from hickorymodel.Endpoint) *peer {
	p := b.peer(from)
	p.heardAt = now
	b.heardAt = now
	p.waitingSince = 0
	if p.silent {
		p.silent = false
		b.decide(&Decision{Step: StepAgentHeard, Peer: from, Upstream: p.upstream.ID})
	}
	return p
}

// flow returns the cached flow, which it adds if there is room.
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

// Tick does what is due.
func (b *Balancer) Tick(now hickorymodel.Instant) []Action {
	b.actions = b.actions[:0]
	b.noteSilence(now)
	b.sayHello(now)
	b.advanceSearches(now)
	if now.Sub(b.sweptAt) >= sweepInterval {
		b.sweptAt = now
		b.sweep(now)
	}
	b.sendQueries(now)
	return b.actions
}

// noteSilence notes which agents have left frames unanswered for too long.
func (b *Balancer) noteSilence(now hickorymodel.Instant) {
	gone := false
	for _, p := range b.peers {
		if p.silent || p.waitingSince == 0 || now.Sub(p.waitingSince) <= silenceLimit {
			continue
		}
		p.silent = true
		gone = gone || p.gone()
		b.decide(&Decision{Step: StepAgentSilent, Peer: p.endpoint, Upstream: p.upstream.ID})
	}
	if gone {
		b.dropGone(now)
	}
}

// sayHello asks agents for reports that have not been heard lately.
func (b *Balancer) sayHello(now hickorymodel.Instant) {
	sent := 0
	for _, p := range b.peers {
		if sent == helloLimit {
			return
		}
		if !p.listed || !p.helloDue(now) {
			continue
		}
		b.hello(now, p)
		sent++
	}
}

// hello asks an agent for a report.
func (b *Balancer) hello(now hickorymodel.Instant, p *peer) {
	p.helloAt = now
	p.sent(now)
	b.actions = append(b.actions, frame(p.endpoint, KindHello, ReasonNone, nil))
}

// sweep forgets idle flows and peers that are neither listed nor heard.
func (b *Balancer) sweep(now hickorymodel.Instant) {
	limit := b.view.IdleTimeout + flowSlack
	for key, f := range b.flows {
		if now.Sub(f.seenAt) > limit {
			delete(b.flows, key)
		}
	}
	for key, s := range b.searches {
		if now.Sub(s.startedAt) > searchLife {
			b.endSearch(key, s)
		}
	}
	for endpoint, p := range b.peers {
		if !p.listed && now.Sub(max(p.heardAt, p.helloAt)) > addressLife {
			delete(b.peers, endpoint)
		}
	}
}

// Isolated reports whether several agents were asked and none has answered for a
// time, nor any other.
func (b *Balancer) Isolated(now hickorymodel.Instant) bool {
	listed, silent := 0, 0
	for _, p := range b.peers {
		if !p.listed {
			continue
		}
		listed++
		if p.silent {
			silent++
		}
	}
	quiet := now.Sub(b.heardAt) > silenceLimit
	return listed > 0 && quiet && silent >= min(isolationAgents, listed)
}

// Searching reports whether a search waits to be widened or queries wait to be
// sent.
func (b *Balancer) Searching() bool {
	return b.widening > 0 || len(b.queries) > 0
}

// NeedsConfirmation reports whether, since the last call, a search would have ended if
// the published state had been confirmed.
func (b *Balancer) NeedsConfirmation() bool {
	unconfirmed := b.unconfirmed
	b.unconfirmed = false
	return unconfirmed
}

// Flows returns the number of flows in the cache.
func (b *Balancer) Flows() int {
	return len(b.flows)
}

func (b *Balancer) decide(decision *Decision) {
	decision.Version = b.view.Version
	b.decided(decision)
}
