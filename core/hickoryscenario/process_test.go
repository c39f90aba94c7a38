package hickoryscenario

import (
	"maps"
	"math/rand/v2"
	"slices"

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
func (w *world) startBalancer(name string) {
	number := byte(len(w.names) + 1)
	if old, ok := w.balancers[name]; ok {
		old.dead = true
		number = old.endpoint.Address[3]
	} else {
		w.names = append(w.names, name)
	}
	b := &balancer{
		process:  process{name: name, endpoint: endpoint(1, number), generations: map[hickoryid.ServiceName]hickorymodel.Generation{}},
		builder:  hickorytable.NewBuilder(w.now),
		services: map[hickoryid.ServiceName]hickorymodel.Service{},
	}
	w.balancers[name] = b
	for _, s := range w.sortedSections() {
		w.applyToBalancer(b, s.published)
	}
}

// startAgent starts an agent, in place of one with the same name if there is one.
func (w *world) startAgent(name string, upstream hickoryid.UpstreamID, zone hickoryid.ZoneName, s *section) *agent {
	number := byte(len(w.names) + 1)
	restartCount := 0
	if old, ok := w.agents[name]; ok {
		old.dead = true
		number = old.endpoint.Address[3]
		restartCount = old.restartCount + 1
	} else {
		w.names = append(w.names, name)
	}
	a := &agent{
		process:              process{name: name, endpoint: endpoint(0, number), generations: map[hickoryid.ServiceName]hickorymodel.Generation{}},
		upstream:             upstream,
		zone:                 zone,
		section:              s,
		builder:              hickorytable.NewBuilder(w.now),
		connections:          map[hickorymodel.FlowKey]int{},
		owned:                map[hickorymodel.FlowKey]bool{},
		restartCount:         restartCount,
		ownerEventsAtPause:   -1,
		ownerEventsAtZoneOut: -1,
	}
	a.tracker = hickoryflow.NewTracker(a.endpoint, upstream, rand.New(rand.NewPCG(w.seed, uint64(number))))
	w.agents[name] = a
	w.tick(a)
	return a
}

func endpoint(network, number byte) hickorymodel.Endpoint {
	return hickorymodel.Endpoint{Address: [4]byte{10, network, 0, number}, Port: 6081}
}

// tick calls the tracker every TickInterval until the process ends.
func (w *world) tick(a *agent) {
	if a.dead {
		return
	}
	if !a.paused {
		w.perform(a, a.tracker.Tick(w.now))
		w.recordReleases(a)
	}
	w.after(hickoryflow.TickInterval, func() { w.tick(a) })
}

// deliverService hands a version of a service to a process.
func (w *world) deliverService(name string, service hickorymodel.Service) {
	if b, ok := w.balancers[name]; ok {
		b.receive(func() { w.applyToBalancer(b, service) })
	}
	if a, ok := w.agents[name]; ok && a.section.service.Name == service.Name {
		a.receive(func() { w.applyToAgent(a, service) })
	}
}

func (w *world) applyToBalancer(b *balancer, service hickorymodel.Service) {
	if !w.recordRead(&b.process, service) {
		return
	}
	b.services[service.Name] = service
	var services []hickorymodel.Service
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		services = append(services, b.services[name])
	}
	b.table = b.builder.Build(w.now, services)
}

func (w *world) applyToAgent(a *agent, service hickorymodel.Service) {
	if !w.recordRead(&a.process, service) {
		return
	}
	a.service = service
	a.zoneOut = slices.Contains(service.ExcludedZones, a.zone)
	if a.zoneOut {
		a.zoneOutAt = w.now
	}
	a.tracker.SetService(service, a.builder.Build(w.now, []hickorymodel.Service{service}))
	w.recordReleases(a)
	if !a.section.zones[a.zone] {
		a.ownerEventsAtZoneOut = -1
	}
}

// recordRead records that a process reads a version and returns true. If the version
// is older than the last one, it returns false and the version is not applied.
func (w *world) recordRead(p *process, service hickorymodel.Service) bool {
	if service.Generation < p.generations[service.Name] && !w.overrides.staleRead {
		return false
	}
	p.generations[service.Name] = service.Generation
	w.log.reads = append(w.log.reads, read{instance: p.name, service: service.Name, version: service.Generation})
	return true
}

// handleAtBalancer chooses the candidate list for a caller's packet and forwards the
// packet to the first candidate.
func (w *world) handleAtBalancer(b *balancer, p *sentPacket) {
	var choice hickorytable.Choice
	if b.table == nil || !b.table.Choose(w.now, &p.flow.key, &choice) {
		w.log.drop(w, b.name, p, hickorymessage.DropReasonUnknownAddress)
		return
	}
	if choice.Count == 0 {
		w.log.drop(w, b.name, p, hickorymessage.DropReasonNoUpstream)
		return
	}
	packet := p.packet()
	packet.Header = hickoryflow.Header{
		Service:    choice.Service,
		Generation: choice.Generation,
		Candidates: choice.Candidates,
	}
	if choice.Transition && !w.overrides.omitTransitionFlag {
		packet.Flags = hickoryflow.FlagTransition
	}
	if w.overrides.onlyHome {
		clear(packet.Candidates[1:])
	}
	w.transmitPacket(b.name, packet.Candidates[0].Endpoint, &packet)
}

// transmitPacket sends a copy of the packet, since trackers change and reuse packets.
func (w *world) transmitPacket(from string, target hickorymodel.Endpoint, packet *hickoryflow.Packet) {
	to := w.nameOf(target)
	packetCopy := *packet
	packetCopy.From = w.endpointOf(from)
	w.transmit("packet", from, to, func() {
		a, ok := w.agents[to]
		if !ok {
			return
		}
		a.receive(func() {
			arrived := packetCopy
			w.handleAtAgent(a, &arrived)
		})
	})
}

// handleAtAgent passes a packet to the tracker of an agent, unless an override
// handles it in another way.
func (w *world) handleAtAgent(a *agent, packet *hickoryflow.Packet) {
	p := w.sentPacketOf(packet)
	if w.overrides.rewrite != nil {
		w.overrides.rewrite(w, a, packet)
	}
	if w.overrides.skipTracker != nil && w.overrides.skipTracker(p) {
		w.deliver(a, p)
		return
	}
	if w.overrides.queryOnly && !packet.First && packet.Key.Protocol == hickorymodel.ProtocolTCP && !a.tracker.Owns(packet.Key) {
		w.queryAllForOwner(a, packet)
		return
	}
	w.perform(a, a.tracker.Handle(w.now, packet))
}

func (w *world) handleMessageAtAgent(a *agent, from hickorymodel.Endpoint, d *hickorymessage.Datagram) {
	if d.RedirectEntry != nil && w.overrides.dropRedirectEntries {
		return
	}
	w.perform(a, a.tracker.HandleDatagram(w.now, from, d))
}

// perform carries out the actions of a tracker.
func (w *world) perform(a *agent, actions []hickoryflow.Action) {
	if a.ownerEventsAtPause >= 0 {
		w.recordReleases(a)
		a.ownerEventsAtPause = -1
	}
	for i := range actions {
		action := &actions[i]
		switch action.Verb {
		case hickoryflow.VerbDeliver:
			w.deliver(a, w.sentPacketOf(action.Packet))
		case hickoryflow.VerbForward:
			w.log.forwards++
			w.transmitPacket(a.name, action.Target, action.Packet)
		case hickoryflow.VerbDrop:
			w.log.drop(w, a.name, w.sentPacketOf(action.Packet), action.Reason)
		case hickoryflow.VerbSend:
			w.transmitMessage(a, action.Target, action.Datagram)
		case hickoryflow.VerbMeasure:
			// Metrics are not simulated.
		}
	}
}

func (w *world) transmitMessage(a *agent, target hickorymodel.Endpoint, d *hickorymessage.Datagram) {
	to := w.nameOf(target)
	kind := kindOf(d)
	w.log.messages[kind]++
	from := a.endpoint
	w.transmit(kind, a.name, to, func() {
		if receiver, ok := w.agents[to]; ok {
			receiver.receive(func() { w.handleMessageAtAgent(receiver, from, d) })
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
