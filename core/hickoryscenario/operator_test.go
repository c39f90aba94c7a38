package hickoryscenario

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// sortedSections returns the sections in the order of their names, so that a seed
// always gives the same run.
func (sim *simulation) sortedSections() []*section {
	var sorted []*section
	for _, name := range slices.Sorted(maps.Keys(sim.sections)) {
		sorted = append(sorted, sim.sections[name])
	}
	return sorted
}

// addSection defines a service without upstreams, with one address for TCP and UDP.
func (sim *simulation) addSection(name string) *section {
	number := len(sim.sections) + 1
	address := netip.AddrFrom4([4]byte{192, 0, 2, byte(number)})
	socket := hickorymodel.NewSocketAddress(netip.AddrPortFrom(address, 80))
	s := &section{
		zones:  map[hickoryid.ZoneName]bool{},
		states: map[hickoryid.UpstreamID]hickorymodel.UpstreamState{},
		service: hickorymodel.Service{
			Name:   hickoryid.ServiceName(name),
			Number: hickoryid.ServiceNumber(number),
			Addresses: []hickorymodel.ServiceAddress{
				{Socket: socket, Protocol: hickorymodel.ProtocolTCP},
				{Socket: socket, Protocol: hickorymodel.ProtocolUDP},
			},
			Slots:          16,
			Connections:    400,
			OpeningTimeout: 2 * time.Second,
		},
	}
	sim.sections[name] = s
	return s
}

// addUpstream starts the agent of an upstream, written as name@zone, and adds the
// upstream to the section.
func (sim *simulation) addUpstream(s *section, text string) {
	name, zone, _ := strings.Cut(text, "@")
	if zone == "" {
		zone = "z1"
	}
	a := sim.startAgent(name, hickoryid.UpstreamID(name), hickoryid.ZoneName(zone), s)
	s.service.Upstreams = append(s.service.Upstreams, hickorymodel.Upstream{ID: a.upstream, Zone: a.zone, Endpoint: a.endpoint})
	if s.published.Generation > 0 {
		sim.applyToAgent(a, s.published)
	}
}

// removeUpstream removes an upstream from its section. Its agent keeps running.
func (sim *simulation) removeUpstream(name string) {
	a := sim.agents[name]
	kept := a.section.service.Upstreams[:0:0]
	for _, upstream := range a.section.service.Upstreams {
		if upstream.Endpoint != a.endpoint {
			kept = append(kept, upstream)
		}
	}
	a.section.service.Upstreams = kept
}

// replaceUpstream replaces an upstream in its section by a new one that has the same
// id, but another agent and endpoint.
func (sim *simulation) replaceUpstream(old, name string) {
	replacedAgent := sim.agents[old]
	sim.removeUpstream(old)
	a := sim.startAgent(name, replacedAgent.upstream, replacedAgent.zone, replacedAgent.section)
	replacedAgent.section.service.Upstreams = append(replacedAgent.section.service.Upstreams,
		hickorymodel.Upstream{ID: a.upstream, Zone: a.zone, Endpoint: a.endpoint})
	sim.applyToAgent(a, replacedAgent.section.published)
}

// inSection reports whether the section of an agent contains its upstream.
func (a *agent) inSection() bool {
	for _, upstream := range a.section.service.Upstreams {
		if upstream.Endpoint == a.endpoint {
			return true
		}
	}
	return false
}

// setState sets the state of an upstream in its section.
func (sim *simulation) setState(name string, state hickorymodel.UpstreamState) {
	a := sim.agents[name]
	a.section.states[a.upstream] = state
}

// setZone takes a zone out of service or back in, in all sections.
func (sim *simulation) setZone(zone string, out bool) {
	for _, s := range sim.sortedSections() {
		s.zones[hickoryid.ZoneName(zone)] = out
	}
}

// publish distributes the sections with new generations to the named processes, or to
// all of them if names is empty.
func (sim *simulation) publish(names []string) {
	for _, s := range sim.sortedSections() {
		s.service.Generation++
	}
	for _, a := range sim.agents {
		if a.section.zones[a.zone] && a.ownerEventsAtZoneOut < 0 {
			a.ownerEventsAtZoneOut = len(sim.log.owners)
			sim.log.endDeliveries(a.name)
		}
	}
	sim.distribute(names)
}

// distribute delivers the sections to the named processes, or to all of them if names
// is empty. The generations stay, as when only the state of upstreams has changed.
func (sim *simulation) distribute(names []string) {
	if len(names) == 0 {
		names = sim.names
	}
	for _, s := range sim.sortedSections() {
		s.published = s.snapshot()
		for _, name := range names {
			sim.deliverService(name, s.published)
		}
	}
}

// kill ends a process.
func (sim *simulation) kill(name string) {
	if b, ok := sim.balancers[name]; ok {
		b.dead = true
	}
	if a, ok := sim.agents[name]; ok {
		sim.recordDeath(a)
	}
}

// restart replaces a process by a new one with the same name and without state.
func (sim *simulation) restart(name string) {
	if _, ok := sim.balancers[name]; ok {
		sim.startBalancer(name)
		return
	}
	old := sim.agents[name]
	sim.recordDeath(old)
	a := sim.startAgent(name, old.upstream, old.zone, old.section)
	sim.applyToAgent(a, a.section.published)
}

// setPaused pauses or resumes a process.
func (sim *simulation) setPaused(name string, paused bool) {
	p := sim.processOf(name)
	if !paused {
		p.resume()
		return
	}
	p.paused = true
	p.pausedAt = sim.now
	if a, ok := sim.agents[name]; ok {
		a.ownerEventsAtPause = len(sim.log.owners)
	}
}

func (sim *simulation) processOf(name string) *process {
	if b, ok := sim.balancers[name]; ok {
		return &b.process
	}
	return &sim.agents[name].process
}
