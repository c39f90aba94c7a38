package hickoryflow

import (
	"math/rand/v2"
	"slices"
	"time"

	"hickoryworks/core/hickoryadmission"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// MaxHops ends loops between agents whose views differ.
	MaxHops = 8
	// capacityHeadroom is the room for closing flows beside the open ones.
	capacityHeadroom = 2
	// generationNoticeInterval bounds the notices to balancers with an old table.
	generationNoticeInterval = 100 * time.Millisecond
)

// Tracker owns the flows of one upstream. It is not safe for concurrent use.
type Tracker struct {
	// self is the endpoint that the section in force names: own, or that of the
	// predecessor during a planned restart.
	self        hickorymodel.Endpoint
	own         hickorymodel.Endpoint
	predecessor hickorymodel.Endpoint
	upstream    hickoryid.UpstreamID
	random      *rand.Rand

	// service is the own service as the accepted section states it; known is
	// false until the first SetService.
	service hickorymodel.Service
	known   bool
	// stopping is set for good by StopAccepting.
	stopping bool
	// ownExcluded is true while the own zone is out of service.
	ownExcluded bool
	// returnedAt is when the own zone last came back into service; 0 if it never
	// left.
	returnedAt hickorymodel.Instant
	// excluded holds the agents of the service whose zones are out of service.
	excluded map[hickorymodel.Endpoint]struct{}
	// zones holds the zones of the agents that a section has named, at most maxZones.
	zones map[hickorymodel.Endpoint]hickoryid.ZoneName
	table *hickorytable.Table

	gate     *hickoryadmission.Gate
	peers    *hickoryadmission.Peers
	flows    *flowTable
	openings openingQueue
	// lapsed holds the keys of lapsed flows in the order in which they lapsed,
	// and of some that have ended or were admitted again.
	lapsed openingQueue
	// lapsedCount is the number of records in state flowLapsed.
	lapsedCount int
	redirects   *redirectTable
	// askers holds the agents that asked for the owner of a flow that the own
	// agent did not know. They probably own it now.
	askers  *redirectTable
	claims  *claimTable
	notices loadNotices
	sweep   sweep
	export  export
	counts  Counts
	lost    lostTable

	zoneWindows zoneWindows
	// heard holds when each named agent of the service last sent a message.
	heard map[hickorymodel.Endpoint]hickorymodel.Instant
	// startedAt is the time of the first call, or of the first one after a pause.
	startedAt hickorymodel.Instant
	// calledAt is the time of the last call; 0 before the first one.
	calledAt hickorymodel.Instant
	// backlogEnd is the time from which packets are recent after a pause.
	backlogEnd hickorymodel.Instant
	// noticeAt is the earliest time of the next notice of a newer generation.
	noticeAt hickorymodel.Instant

	// actions is reused by each call.
	actions []Action
}

// NewTracker returns the tracker of an agent that has no flows.
func NewTracker(self hickorymodel.Endpoint, upstream hickoryid.UpstreamID, random *rand.Rand) *Tracker {
	return &Tracker{
		self:      self,
		own:       self,
		upstream:  upstream,
		random:    random,
		excluded:  map[hickorymodel.Endpoint]struct{}{},
		heard:     map[hickorymodel.Endpoint]hickorymodel.Instant{},
		zones:     map[hickorymodel.Endpoint]hickoryid.ZoneName{},
		gate:      hickoryadmission.NewGate(hickoryadmission.Limits{Slots: 1, Connections: 1}),
		peers:     hickoryadmission.NewPeers(),
		flows:     newFlowTable(1),
		redirects: newRedirectTable(maxRedirects, redirectLifetime),
		askers:    newRedirectTable(maxAskers, askerLifetime),
		claims:    newClaimTable(random.Uint32()),
		lost:      lostTable{seenAt: map[hickorymodel.FlowKey]hickorymodel.Instant{}},
	}
}

// SetService puts a version of the own service in force.
func (t *Tracker) SetService(service hickorymodel.Service, table *hickorytable.Table) {
	t.service = service
	t.known = true
	t.table = table
	t.setExcluded(service)
	t.chooseSelf()
	t.peers.SetSameZone(t.nearEndpoints())
	t.flows.capacity = capacityHeadroom * int(service.Connections)
	t.gate.SetLimits(hickoryadmission.Limits{
		Slots:          service.Slots,
		Connections:    service.Connections,
		RampTime:       service.RampTime,
		OpeningTimeout: service.OpeningTimeout,
	})
	t.updateAccepting()
}

// accepting reports whether the service lists the own upstream as taking new flows.
func (t *Tracker) accepting(service hickorymodel.Service) bool {
	index := slices.IndexFunc(service.Upstreams, t.isOwn)
	if index < 0 {
		return false
	}
	state := service.Upstreams[index].State
	return state == hickorymodel.UpstreamAccepting || state == hickorymodel.UpstreamSuspected
}

// isOwn goes by the endpoint as well, since an id may pass to another upstream.
func (t *Tracker) isOwn(u hickorymodel.Upstream) bool {
	return u.ID == t.upstream && t.isSelf(u.Endpoint)
}

// nearEndpoints returns the other agents of the service in the own zone.
func (t *Tracker) nearEndpoints() []hickorymodel.Endpoint {
	own := slices.IndexFunc(t.service.Upstreams, t.isOwn)
	var near []hickorymodel.Endpoint
	for i := range t.service.Upstreams {
		if own >= 0 && i != own && t.service.Upstreams[i].Zone == t.service.Upstreams[own].Zone {
			near = append(near, t.service.Upstreams[i].Endpoint)
		}
	}
	return near
}

// StopAccepting refuses new flows from now on; open flows go on.
func (t *Tracker) StopAccepting() {
	t.stopping = true
	t.gate.SetAccepting(false)
}

// Accepting reports whether the upstream takes new work at all.
func (t *Tracker) Accepting() bool {
	return t.known && !t.stopping && t.accepting(t.service)
}

func (t *Tracker) updateAccepting() {
	t.gate.SetAccepting(t.Accepting())
}

// Flows returns the number of flows that the agent owns, without lapsed ones.
func (t *Tracker) Flows() int {
	return t.flows.len() - t.lapsedCount
}

// Owns reports whether the agent owns a flow. After a pause it is not sure of
// its flows until it has asked the other agents.
func (t *Tracker) Owns(key hickorymodel.FlowKey) bool {
	r := t.flows.find(&key)
	return r != nil && !r.unchecked
}

// Load returns the load of the upstream.
func (t *Tracker) Load() hickoryadmission.Load {
	return t.gate.Load()
}

// Handle decides about one packet. The actions are valid until the next call.
func (t *Tracker) Handle(now hickorymodel.Instant, p *Packet) []Action {
	t.begin(now)
	t.handle(now, p)
	t.finish(now)
	return t.actions
}

// finish counts the drops of a call and adds the load notices that are due.
func (t *Tracker) finish(now hickorymodel.Instant) {
	for i := range t.actions {
		if t.actions[i].Verb == VerbDrop {
			t.countDrop(now, t.actions[i].Packet, t.actions[i].Reason)
		}
	}
	t.notify(now)
}

func (t *Tracker) handle(now hickorymodel.Instant, p *Packet) {
	if reason, ok := t.check(p); !ok {
		t.drop(p, reason)
		return
	}
	t.noticeGeneration(now, p)
	if t.ownExcluded {
		t.drop(p, hickorymessage.DropReasonZoneOutOfService)
		return
	}
	t.maskExcluded(p)
	r := t.flows.find(&p.Key)
	if r != nil && !r.unchecked {
		t.handleOwned(now, p, r)
		return
	}
	if t.claims.hold(p) {
		return
	}
	if r != nil {
		t.claim(now, p)
		return
	}
	if p.mayBeNew() && now.Before(t.backlogEnd) {
		// It may have waited here, and another agent may have the flow by now. What
		// was known of its owner before the pause is as old.
		t.drop(p, hickorymessage.DropReasonOwnerUnknown)
		return
	}
	if owner, ok := t.ownerFor(now, p); ok && owner != p.From {
		t.redirect(now, p, owner)
		return
	}
	t.handleUnknown(now, p)
}

// handleUnknown decides about a packet of a flow that the agent does not know.
func (t *Tracker) handleUnknown(now hickorymodel.Instant, p *Packet) {
	if !p.mayBeNew() {
		t.walk(p)
		return
	}
	t.markOutdated(now, p)
	t.avoidUnheard(now, p)
	t.evictLapsed(now)
	switch {
	case p.Flags.Has(FlagOffered):
		t.takeOffer(now, p)
	case p.First && !p.Flags.Has(FlagTransition):
		t.decideNew(now, p)
	default:
		t.claim(now, p)
	}
}

// check reports why a packet must not be handled. No packet gets past it that
// is not addressed to the own service.
func (t *Tracker) check(p *Packet) (hickorymessage.DropReason, bool) {
	if !t.known {
		return hickorymessage.DropReasonStaleTable, false
	}
	if p.Service != t.service.Number || !t.ownsAddress(p) {
		return hickorymessage.DropReasonWrongService, false
	}
	return "", true
}

func (t *Tracker) ownsAddress(p *Packet) bool {
	for i := range t.service.Addresses {
		address := &t.service.Addresses[i]
		if address.Socket == p.Key.Destination && address.Protocol == p.Key.Protocol {
			return true
		}
	}
	return false
}

// noticeGeneration tells a balancer that its table is older than the agent's.
func (t *Tracker) noticeGeneration(now hickorymodel.Instant, p *Packet) {
	if p.Generation >= t.service.Generation || p.Hops > 0 || now.Before(t.noticeAt) {
		return
	}
	t.noticeAt = now.Add(generationNoticeInterval)
	t.send(p.From, &hickorymessage.Datagram{NewerGeneration: &hickorymessage.NewerGeneration{
		Service:    t.service.Number,
		Generation: hickoryid.SectionVersion(t.service.Generation),
	}})
}
