package hickorysteering

import (
	"slices"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// reportRequestInterval is the shortest time between two hellos to an agent whose
// report a search waits for.
const reportRequestInterval = 200 * time.Millisecond

// routeAge holds the targets of a route and since when they have been the same.
type routeAge struct {
	targets []hickorydirectory.Target
	since   hickorymodel.Instant
}

// updateRouteAges records which routes of a new view have changed.
func (b *Balancer) updateRouteAges(now hickorymodel.Instant, view *hickorydirectory.View) {
	for address, route := range view.Routes {
		if known, ok := b.routeAges[address]; !ok || !slices.Equal(known.targets, route.Targets) {
			b.routeAges[address] = routeAge{targets: route.Targets, since: now}
		}
	}
	for address := range b.routeAges {
		if view.Routes[address] == nil {
			delete(b.routeAges, address)
		}
	}
}

// routeStable reports whether the targets of a route have been the same for longer
// than the life of a flow. If so, only upstreams of its services can hold flows to
// the address.
func (b *Balancer) routeStable(now hickorymodel.Instant, address hickorymodel.SocketAddress) bool {
	known, ok := b.routeAges[address]
	return ok && now.Sub(known.since) > addressLife
}

// othersExcluded reports whether no agent that a search has not asked can own its
// flow, and requests the reports that are missing for that. A report names the
// service addresses of the agent's flows; agents that named the address have been
// asked. While the route may have had other services, the report must have been
// requested since the search started: a balancer with an older configuration may
// have opened the flow after an earlier report.
func (b *Balancer) othersExcluded(now hickorymodel.Instant, s *search) bool {
	if !b.view.StateComplete {
		return false
	}
	routeStable := b.routeStable(now, s.packet.Flow.Destination)
	excluded := true
	for _, p := range b.peers {
		if !p.listed || p.agentEnded(now) || slices.Contains(s.included, p.endpoint) {
			continue
		}
		if routeStable && p.reportedAt != 0 && (p.silent || now.Sub(p.reportedAt) <= reportLife) {
			continue
		}
		if p.helloAt >= s.startedAt && p.reportedAt > p.helloAt {
			continue
		}
		excluded = false
		b.requestReport(now, p)
	}
	return excluded
}

// requestReport requests a report from an agent, unless it did so within
// reportRequestInterval.
func (b *Balancer) requestReport(now hickorymodel.Instant, p *peer) {
	if p.helloAt != 0 && now.Sub(p.helloAt) < reportRequestInterval {
		return
	}
	b.sendHello(now, p)
}
