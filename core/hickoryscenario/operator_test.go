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
func (w *world) sortedSections() []*section {
	var sorted []*section
	for _, name := range slices.Sorted(maps.Keys(w.sections)) {
		sorted = append(sorted, w.sections[name])
	}
	return sorted
}

// addSection defines a service without upstreams, with one address for TCP and UDP.
func (w *world) addSection(name string) *section {
	number := len(w.sections) + 1
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
	w.sections[name] = s
	return s
}

// addUpstream starts the agent of an upstream, written as name@zone, and adds the
// upstream to the section.
func (w *world) addUpstream(s *section, text string) {
	name, zone, _ := strings.Cut(text, "@")
	if zone == "" {
		zone = "z1"
	}
	a := w.startAgent(name, hickoryid.UpstreamID(name), hickoryid.ZoneName(zone), s)
	s.service.Upstreams = append(s.service.Upstreams, hickorymodel.Upstream{ID: a.upstream, Zone: a.zone, Endpoint: a.endpoint})
	if s.published.Generation > 0 {
		w.applyToAgent(a, s.published)
	}
}

// removeUpstream removes an upstream from its section. Its agent keeps running.
func (w *world) removeUpstream(name string) {
	a := w.agents[name]
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
func (w *world) replaceUpstream(old, name string) {
	replacedAgent := w.agents[old]
	w.removeUpstream(old)
	a := w.startAgent(name, replacedAgent.upstream, replacedAgent.zone, replacedAgent.section)
	replacedAgent.section.service.Upstreams = append(replacedAgent.section.service.Upstreams,
		hickorymodel.Upstream{ID: a.upstream, Zone: a.zone, Endpoint: a.endpoint})
	w.applyToAgent(a, replacedAgent.section.published)
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
func (w *world) setState(name string, state hickorymodel.UpstreamState) {
	a := w.agents[name]
	a.section.states[a.upstream] = state
}

// setZone takes a zone out of service or back in, in all sections.
func (w *world) setZone(zone string, out bool) {
	for _, s := range w.sortedSections() {
		s.zones[hickoryid.ZoneName(zone)] = out
	}
}

// publish distributes the sections with new generations to the named processes, or to
// all of them if names is empty.
func (w *world) publish(names []string) {
	for _, s := range w.sortedSections() {
		s.service.Generation++
	}
	for _, a := range w.agents {
		if a.section.zones[a.zone] && a.ownerEventsAtZoneOut < 0 {
			a.ownerEventsAtZoneOut = len(w.log.owners)
			w.log.endDeliveries(a.name)
		}
	}
	w.distribute(names)
}

// distribute delivers the sections to the named processes, or to all of them if names
// is empty. The generations stay, as when only the state of upstreams has changed.
func (w *world) distribute(names []string) {
	if len(names) == 0 {
		names = w.names
	}
	for _, s := range w.sortedSections() {
		s.published = s.snapshot()
		for _, name := range names {
			w.deliverService(name, s.published)
		}
	}
}

// kill ends a process.
func (w *world) kill(name string) {
	if b, ok := w.balancers[name]; ok {
		b.dead = true
	}
	if a, ok := w.agents[name]; ok {
		w.recordDeath(a)
	}
}

// restart replaces a process by a new one with the same name and without state.
func (w *world) restart(name string) {
	if _, ok := w.balancers[name]; ok {
		w.startBalancer(name)
		return
	}
	old := w.agents[name]
	w.recordDeath(old)
	a := w.startAgent(name, old.upstream, old.zone, old.section)
	w.applyToAgent(a, a.section.published)
}

// pause pauses or resumes a process.
func (w *world) pause(name string, paused bool) {
	p := w.processOf(name)
	if !paused {
		p.resume()
		return
	}
	p.paused = true
	if a, ok := w.agents[name]; ok {
		a.ownerEventsAtPause = len(w.log.owners)
	}
}

func (w *world) processOf(name string) *process {
	if b, ok := w.balancers[name]; ok {
		return &b.process
	}
	return &w.agents[name].process
}
