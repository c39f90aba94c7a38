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
	// MaxHops is the largest number of times that agents pass a packet on. It
	// ends loops between agents whose tables or redirect entries differ.
	MaxHops = 8
	// capacityHeadroom is the capacity of the flow table in multiples of the
	// service's connections. It leaves room for closing flows beside the open
	// ones.
	capacityHeadroom = 2
	// newerGenerationInterval is the shortest time between two NewerGeneration
	// messages to balancers with an older table.
	newerGenerationInterval = 100 * time.Millisecond
)

// Tracker handles the packets of one upstream and stores the flows that its
// agent owns. It is not safe for concurrent use.
type Tracker struct {
	// self is the endpoint that the section in force states for the agent:
	// ownEndpoint, or predecessor during a planned restart.
	self        hickorymodel.Endpoint
	ownEndpoint hickorymodel.Endpoint
	predecessor hickorymodel.Endpoint
	upstream    hickoryid.UpstreamID
	random      *rand.Rand

	// service is this agent's service as the accepted section states it.
	// hasService is false until the first SetService.
	service    hickorymodel.Service
	hasService bool
	// stopping is set by StopAccepting and never reset.
	stopping bool
	// ownExcluded is true while this agent's zone is out of service.
	ownExcluded bool
	// returnedAt is when this agent's zone last came back into service; 0 if it
	// was never out of service.
	returnedAt hickorymodel.Instant
	// excluded holds the agents of the service whose zones are out of service.
	excluded map[hickorymodel.Endpoint]struct{}
	// zones holds the zones of the agents that a section has named, at most
	// maxZones.
	zones map[hickorymodel.Endpoint]hickoryid.ZoneName
	table *hickorytable.Table

	gate     *hickoryadmission.Gate
	peers    *hickoryadmission.Peers
	flows    *flowTable
	openings openingQueue
	// lapsed holds the keys of lapsed flows in the order in which they lapsed.
	// Some keys belong to flows that have ended or were admitted again since.
	lapsed openingQueue
	// lapsedCount is the number of records in state flowLapsed.
	lapsedCount int
	redirects   *redirectTable
	// queriers holds the agents that sent a query about a flow whose owner this
	// agent did not know. Each of them probably owns its flow now.
	queriers *redirectTable
	// offers holds the targets of the offers that other agents may still be passing
	// on.
	offers *redirectTable
	// released holds the flows that a pause has ended. If no other agent owns one of
	// them, its next first packet goes to the own upstream again.
	released *redirectTable
	claims   *claimTable
	notices  loadNotices
	sweep    sweep
	export   export
	counts   Counts
	lost     lostTable

	zoneWindows zoneWindows
	// lastReceived is the time of the last message of each agent in zones.
	lastReceived map[hickorymodel.Endpoint]hickorymodel.Instant
	// startedAt is the time of the first call, or of the first one after a
	// pause.
	startedAt hickorymodel.Instant
	// calledAt is the time of the last call; 0 before the first one.
	calledAt hickorymodel.Instant
	// backlogEnd is the end of the time after a pause in which received packets
	// may be ones that arrived during the pause.
	backlogEnd hickorymodel.Instant
	// newerGenerationAt is the earliest time of the next NewerGeneration
	// message.
	newerGenerationAt hickorymodel.Instant

	// actions is the result of the current call; its memory is reused by each
	// call.
	actions []Action
}

// NewTracker returns the tracker of an agent that has no flows.
func NewTracker(self hickorymodel.Endpoint, upstream hickoryid.UpstreamID, random *rand.Rand) *Tracker {
	return &Tracker{
		self:         self,
		ownEndpoint:  self,
		upstream:     upstream,
		random:       random,
		excluded:     map[hickorymodel.Endpoint]struct{}{},
		lastReceived: map[hickorymodel.Endpoint]hickorymodel.Instant{},
		zones:        map[hickorymodel.Endpoint]hickoryid.ZoneName{},
		gate:         hickoryadmission.NewGate(hickoryadmission.Limits{Slots: 1, Connections: 1}),
		peers:        hickoryadmission.NewPeers(),
		flows:        newFlowTable(1),
		redirects:    newRedirectTable(redirectLifetime),
		queriers:     newRedirectTable(querierLifetime),
		offers:       newRedirectTable(offerTime),
		released:     newRedirectTable(releasedTime),
		claims:       newClaimTable(random.Uint32()),
		lost:         lostTable{seenAt: map[hickorymodel.FlowKey]hickorymodel.Instant{}},
	}
}

// SetService applies an accepted version of this agent's service.
func (t *Tracker) SetService(service hickorymodel.Service, table *hickorytable.Table) {
	t.service = service
	t.hasService = true
	t.table = table
	t.setExcluded(service)
	t.updateSelf()
	t.peers.SetSameZone(t.sameZoneEndpoints())
	t.flows.capacity = capacityHeadroom * int(service.Connections)
	t.gate.SetLimits(hickoryadmission.Limits{
		Slots:          service.Slots,
		Connections:    service.Connections,
		RampTime:       service.RampTime,
		OpeningTimeout: service.OpeningTimeout,
	})
	t.updateAccepting()
}

// accepting reports whether the service lists this agent's upstream as taking
// new flows.
func (t *Tracker) accepting(service hickorymodel.Service) bool {
	index := slices.IndexFunc(service.Upstreams, t.isOwn)
	if index < 0 {
		return false
	}
	state := service.Upstreams[index].State
	return state == hickorymodel.UpstreamAccepting || state == hickorymodel.UpstreamSuspected
}

// isOwn compares the endpoint as well as the id, since an id may pass to
// another upstream.
func (t *Tracker) isOwn(u hickorymodel.Upstream) bool {
	return u.ID == t.upstream && t.isSelf(u.Endpoint)
}

// sameZoneEndpoints returns the other agents of the service in this agent's
// zone.
func (t *Tracker) sameZoneEndpoints() []hickorymodel.Endpoint {
	own := slices.IndexFunc(t.service.Upstreams, t.isOwn)
	var sameZone []hickorymodel.Endpoint
	for i := range t.service.Upstreams {
		if own >= 0 && i != own && t.service.Upstreams[i].Zone == t.service.Upstreams[own].Zone {
			sameZone = append(sameZone, t.service.Upstreams[i].Endpoint)
		}
	}
	return sameZone
}

// StopAccepting refuses new flows from now on; open flows continue.
func (t *Tracker) StopAccepting() {
	t.stopping = true
	t.gate.SetAccepting(false)
}

// Accepting reports whether the upstream takes new flows, apart from the limits
// of the gate.
func (t *Tracker) Accepting() bool {
	return t.hasService && !t.stopping && t.accepting(t.service)
}

func (t *Tracker) updateAccepting() {
	t.gate.SetAccepting(t.Accepting())
}

// Flows returns the number of flows that the agent owns, without lapsed ones.
func (t *Tracker) Flows() int {
	return t.flows.len() - t.lapsedCount
}

// Owns reports whether the agent owns a flow. After a pause it reports false
// until the other agents have been queried about the flow.
func (t *Tracker) Owns(key hickorymodel.FlowKey) bool {
	r := t.flows.find(&key)
	return r != nil && !r.unchecked
}

// Load returns the load of the upstream.
func (t *Tracker) Load() hickoryadmission.Load {
	return t.gate.Load()
}

// Handle decides what to do with one packet. The actions are valid until the
// next call.
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
	t.sendLoadNotices(now)
}

func (t *Tracker) handle(now hickorymodel.Instant, p *Packet) {
	if reason, ok := t.check(p); !ok {
		t.drop(p, reason)
		return
	}
	t.sendNewerGeneration(now, p)
	if t.ownExcluded {
		t.drop(p, hickorymessage.DropReasonZoneOutOfService)
		return
	}
	masked := t.maskExcluded(p)
	r := t.flows.find(&p.Key)
	if r != nil && !r.unchecked {
		t.handleOwned(now, p, r)
		return
	}
	if masked && p.mayBeNew() && p.Generation > t.service.Generation {
		// The zone of a candidate may be back in service in the newer version of the
		// balancer, so its agent may own the flow.
		t.drop(p, hickorymessage.DropReasonStaleTable)
		return
	}
	if t.claims.hold(p) {
		return
	}
	if (r != nil || p.mayBeNew()) && now.Before(t.backlogEnd) {
		// The packet may have waited in the socket during the pause, and
		// another agent may own the flow by now. What this agent has stored
		// about the owner, and its table, are from before the pause.
		t.drop(p, hickorymessage.DropReasonOwnerUnknown)
		return
	}
	if r != nil {
		t.claim(now, p)
		return
	}
	if owner, ok := t.redirectTarget(now, p); ok && owner != p.From {
		t.redirect(now, p, owner)
		return
	}
	if t.offers.contains(now, p.Key) {
		// The agent that was offered the flow may still be passing the offer on.
		// A second offer could reach another upstream.
		t.drop(p, hickorymessage.DropReasonOwnerUnknown)
		return
	}
	t.handleUnknown(now, p)
}

// handleUnknown handles a packet of a flow whose owner is unknown to this
// agent.
func (t *Tracker) handleUnknown(now hickorymodel.Instant, p *Packet) {
	if !p.mayBeNew() {
		t.walk(p)
		return
	}
	t.markTransition(now, p)
	t.avoidUnheard(now, p)
	t.evictLapsed(now)
	switch {
	case p.Flags.Has(FlagOffered):
		t.handleOffer(now, p)
	case p.First && !p.Flags.Has(FlagTransition):
		t.decideNew(now, p)
	default:
		t.claim(now, p)
	}
}

// check reports whether a packet is addressed to this agent's service, and the
// drop reason if it is not. All packets pass this check first.
func (t *Tracker) check(p *Packet) (hickorymessage.DropReason, bool) {
	if !t.hasService {
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

// sendNewerGeneration informs a balancer that its table is older than the
// agent's.
func (t *Tracker) sendNewerGeneration(now hickorymodel.Instant, p *Packet) {
	if p.Generation >= t.service.Generation || p.Hops > 0 || now.Before(t.newerGenerationAt) {
		return
	}
	t.newerGenerationAt = now.Add(newerGenerationInterval)
	t.send(p.From, &hickorymessage.Datagram{NewerGeneration: &hickorymessage.NewerGeneration{
		Service:    t.service.Number,
		Generation: hickoryid.SectionVersion(t.service.Generation),
	}})
}
