package hickoryscenario

import (
	"maps"
	"math/rand/v2"
	"slices"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// process holds the common state of balancers and agents.
type process struct {
	name     string
	endpoint hickorymodel.Endpoint
	dead     bool
	paused   bool
	// pausedAt is the start of a pause, until what arrived during it has been handled;
	// otherwise 0.
	pausedAt hickorymodel.Instant
	// pausedSteps holds the handling of what arrived during a pause.
	pausedSteps []func()
	// generations holds the newest generation of each service that was read.
	generations map[hickoryid.ServiceName]hickorymodel.Generation
}

// receive runs a step in the process, or stores it until the process resumes. A
// dead process drops it.
func (p *process) receive(run func()) {
	switch {
	case p.dead:
	case p.paused:
		p.pausedSteps = append(p.pausedSteps, run)
	default:
		run()
	}
}

// resume ends a pause and runs the stored steps in the order of their arrival.
func (p *process) resume() {
	p.paused = false
	pausedSteps := p.pausedSteps
	p.pausedSteps = nil
	for _, run := range pausedSteps {
		run()
	}
	p.pausedAt = 0
}

// lease returns the lease of a balancer, which is granted again once what arrived
// during a pause has been handled.
func (b *balancer) lease(now hickorymodel.Instant) hickoryconfig.Lease {
	lease := hickoryconfig.Lease{Until: now.Add(hickoryconfig.FreshWindow), GrantedAt: now}
	if b.pausedAt != 0 {
		lease.GrantedAt = b.pausedAt
	}
	return lease
}

// balancer is a simulated balancer with its table.
type balancer struct {
	process
	builder  *hickorytable.Builder
	table    *hickorytable.Table
	services map[hickoryid.ServiceName]hickorymodel.Service
}

// agent is a simulated agent with its upstream.
type agent struct {
	process
	upstream hickoryid.UpstreamID
	zone     hickoryid.ZoneName
	section  *section
	builder  *hickorytable.Builder
	tracker  *hickoryflow.Tracker
	service  hickorymodel.Service
	// connections holds the incarnation of each flow that is open at the upstream.
	connections map[hickorymodel.FlowKey]int
	// owned holds the flows that the tracker owns according to the recorded history.
	owned map[hickorymodel.FlowKey]bool
	// restartCount is the number of earlier processes with the same name.
	restartCount int
	// zoneOut is true if the agent's zone is out of service in the version that the
	// agent has applied.
	zoneOut bool
	// zoneOutAt is the time when the agent last applied a version in which its zone is
	// out of service.
	zoneOutAt hickorymodel.Instant
	// ownerEventsAtPause is the number of owner events at the start of a pause, until
	// the tracker has been called after it; otherwise -1.
	ownerEventsAtPause int
	// ownerEventsAtZoneOut is the number of owner events when the operators took the
	// zone out of service; -1 while it is in service. From then on the agent's flows
	// count as ended, although the agent may receive the change 3 s later.
	ownerEventsAtZoneOut int
}

// startBalancer starts a balancer, in place of one with the same name if there is one.
func (sim *simulation) startBalancer(name string) {
	number := byte(len(sim.names) + 1)
	if old, ok := sim.balancers[name]; ok {
		old.dead = true
		number = old.endpoint.Address[3]
	} else {
		sim.names = append(sim.names, name)
	}
	b := &balancer{
		process:  process{name: name, endpoint: endpoint(1, number), generations: map[hickoryid.ServiceName]hickorymodel.Generation{}},
		builder:  hickorytable.NewBuilder(sim.now),
		services: map[hickoryid.ServiceName]hickorymodel.Service{},
	}
	sim.balancers[name] = b
	for _, s := range sim.sortedSections() {
		sim.applyToBalancer(b, s.published)
	}
}

// startAgent starts an agent, in place of one with the same name if there is one.
func (sim *simulation) startAgent(name string, upstream hickoryid.UpstreamID, zone hickoryid.ZoneName, s *section) *agent {
	number := byte(len(sim.names) + 1)
	restartCount := 0
	if old, ok := sim.agents[name]; ok {
		old.dead = true
		number = old.endpoint.Address[3]
		restartCount = old.restartCount + 1
	} else {
		sim.names = append(sim.names, name)
	}
	a := &agent{
		process:              process{name: name, endpoint: endpoint(0, number), generations: map[hickoryid.ServiceName]hickorymodel.Generation{}},
		upstream:             upstream,
		zone:                 zone,
		section:              s,
		builder:              hickorytable.NewBuilder(sim.now),
		connections:          map[hickorymodel.FlowKey]int{},
		owned:                map[hickorymodel.FlowKey]bool{},
		restartCount:         restartCount,
		ownerEventsAtPause:   -1,
		ownerEventsAtZoneOut: -1,
	}
	a.tracker = hickoryflow.NewTracker(a.endpoint, upstream, rand.New(rand.NewPCG(sim.seed, uint64(number))))
	sim.agents[name] = a
	sim.tick(a)
	return a
}

func endpoint(network, number byte) hickorymodel.Endpoint {
	return hickorymodel.Endpoint{Address: [4]byte{10, network, 0, number}, Port: 6081}
}

// tick calls the tracker every TickInterval until the process ends.
func (sim *simulation) tick(a *agent) {
	if a.dead {
		return
	}
	if !a.paused {
		sim.perform(a, a.tracker.Tick(sim.now))
		sim.recordReleases(a)
	}
	sim.after(hickoryflow.TickInterval, func() { sim.tick(a) })
}

// deliverService hands a version of a service to a process.
func (sim *simulation) deliverService(name string, service hickorymodel.Service) {
	if b, ok := sim.balancers[name]; ok {
		b.receive(func() { sim.applyToBalancer(b, service) })
	}
	if a, ok := sim.agents[name]; ok && a.section.service.Name == service.Name {
		a.receive(func() { sim.applyToAgent(a, service) })
	}
}

func (sim *simulation) applyToBalancer(b *balancer, service hickorymodel.Service) {
	if !sim.recordRead(&b.process, service) {
		return
	}
	b.services[service.Name] = service
	var services []hickorymodel.Service
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		services = append(services, b.services[name])
	}
	b.table = b.builder.Build(sim.now, services)
}

func (sim *simulation) applyToAgent(a *agent, service hickorymodel.Service) {
	if !sim.recordRead(&a.process, service) {
		return
	}
	a.service = service
	a.zoneOut = slices.Contains(service.ExcludedZones, a.zone)
	if a.zoneOut {
		a.zoneOutAt = sim.now
	}
	a.tracker.SetService(service, a.builder.Build(sim.now, []hickorymodel.Service{service}))
	sim.recordReleases(a)
	if !a.section.zones[a.zone] {
		a.ownerEventsAtZoneOut = -1
	}
}

// recordRead records that a process reads a version and returns true. If the version
// is older than the last one, it returns false and the version is not applied.
func (sim *simulation) recordRead(p *process, service hickorymodel.Service) bool {
	if service.Generation < p.generations[service.Name] && !sim.overrides.staleRead {
		return false
	}
	p.generations[service.Name] = service.Generation
	sim.log.reads = append(sim.log.reads, read{instance: p.name, service: service.Name, version: service.Generation})
	return true
}

// handleAtBalancer chooses the candidate list for a caller's packet and forwards the
// packet to the first candidate.
func (sim *simulation) handleAtBalancer(b *balancer, p *sentPacket) {
	if !b.lease(sim.now).Allows(sim.now) {
		sim.log.drop(sim, b.name, p, hickorymessage.DropReasonStaleTable)
		return
	}
	var choice hickorytable.Choice
	if b.table == nil || !b.table.Choose(sim.now, &p.flow.key, &choice) {
		sim.log.drop(sim, b.name, p, hickorymessage.DropReasonUnknownAddress)
		return
	}
	if choice.Count == 0 {
		sim.log.drop(sim, b.name, p, hickorymessage.DropReasonNoUpstream)
		return
	}
	packet := p.packet()
	packet.Header = hickoryflow.Header{
		Service:    choice.Service,
		Generation: choice.Generation,
		Candidates: choice.Candidates,
	}
	if choice.Transition && !sim.overrides.omitTransitionFlag {
		packet.Flags = hickoryflow.FlagTransition
	}
	if sim.overrides.onlyHome {
		clear(packet.Candidates[1:])
	}
	sim.transmitPacket(b.name, packet.Candidates[0].Endpoint, &packet)
}

// transmitPacket sends a copy of the packet, since trackers change and reuse packets.
func (sim *simulation) transmitPacket(from string, target hickorymodel.Endpoint, packet *hickoryflow.Packet) {
	to := sim.nameOf(target)
	packetCopy := *packet
	packetCopy.From = sim.endpointOf(from)
	sim.transmit("packet", from, to, func() {
		a, ok := sim.agents[to]
		if !ok {
			return
		}
		a.receive(func() {
			arrived := packetCopy
			sim.handleAtAgent(a, &arrived)
		})
	})
}

// handleAtAgent passes a packet to the tracker of an agent, unless an override
// handles it in another way.
func (sim *simulation) handleAtAgent(a *agent, packet *hickoryflow.Packet) {
	p := sim.sentPacketOf(packet)
	if sim.overrides.rewrite != nil {
		sim.overrides.rewrite(sim, a, packet)
	}
	if sim.overrides.skipTracker != nil && sim.overrides.skipTracker(p) {
		sim.deliver(a, p)
		return
	}
	if sim.overrides.queryOnly && !packet.First && packet.Key.Protocol == hickorymodel.ProtocolTCP && !a.tracker.Owns(packet.Key) {
		sim.queryAllForOwner(a, packet)
		return
	}
	sim.perform(a, a.tracker.Handle(sim.now, packet))
}

func (sim *simulation) handleMessageAtAgent(a *agent, from hickorymodel.Endpoint, d *hickorymessage.Datagram) {
	if d.RedirectEntry != nil && sim.overrides.dropRedirectEntries {
		return
	}
	sim.perform(a, a.tracker.HandleDatagram(sim.now, from, d))
}

// perform carries out the actions of a tracker.
func (sim *simulation) perform(a *agent, actions []hickoryflow.Action) {
	if a.ownerEventsAtPause >= 0 {
		sim.recordReleases(a)
		a.ownerEventsAtPause = -1
	}
	for i := range actions {
		action := &actions[i]
		switch action.Verb {
		case hickoryflow.VerbDeliver:
			sim.deliver(a, sim.sentPacketOf(action.Packet))
		case hickoryflow.VerbForward:
			sim.log.forwards++
			sim.transmitPacket(a.name, action.Target, action.Packet)
		case hickoryflow.VerbDrop:
			sim.log.drop(sim, a.name, sim.sentPacketOf(action.Packet), action.Reason)
		case hickoryflow.VerbSend:
			sim.transmitMessage(a, action.Target, action.Datagram)
		case hickoryflow.VerbMeasure:
			// Metrics are not simulated.
		}
	}
}

func (sim *simulation) transmitMessage(a *agent, target hickorymodel.Endpoint, d *hickorymessage.Datagram) {
	to := sim.nameOf(target)
	kind := kindOf(d)
	sim.log.messages[kind]++
	from := a.endpoint
	sim.transmit(kind, a.name, to, func() {
		if receiver, ok := sim.agents[to]; ok {
			receiver.receive(func() { sim.handleMessageAtAgent(receiver, from, d) })
		}
	})
}

// kindOf returns the kind of a message, by which a linkRule selects it.
func kindOf(d *hickorymessage.Datagram) string {
	switch {
	case d.OwnerQuery != nil:
		return "ownerQuery"
	case d.OwnerReply != nil:
		return "ownerReply"
	case d.RedirectEntry != nil:
		return "redirectEntry"
	case d.LoadNotice != nil:
		return "loadNotice"
	default:
		return "other"
	}
}
