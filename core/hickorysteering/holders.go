package hickorysteering

import (
	"slices"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// askReportInterval is the shortest time between two hellos to an agent whose
// report searches wait for.
const askReportInterval = 200 * time.Millisecond

// knownRoute is a route with the time since which its targets are the same.
type knownRoute struct {
	targets []hickorydirectory.Target
	since   hickorymodel.Instant
}

// followRoutes notes which routes of a new view have changed.
func (b *Balancer) followRoutes(now hickorymodel.Instant, view *hickorydirectory.View) {
	for address, route := range view.Routes {
		if known, ok := b.routes[address]; !ok || !slices.Equal(known.targets, route.Targets) {
			b.routes[address] = knownRoute{targets: route.Targets, since: now}
		}
	}
	for address := range b.routes {
		if view.Routes[address] == nil {
			delete(b.routes, address)
		}
	}
}

// settled reports whether a route has been the same for the life of a flow, so that
// only upstreams of its services hold flows to the address.
func (b *Balancer) settled(now hickorymodel.Instant, address hickorymodel.SocketAddress) bool {
	known, ok := b.routes[address]
	return ok && now.Sub(known.since) > addressLife
}

// knowsHolders reports whether no agent that was not asked may hold the flow of a
// search: each has reported the addresses of its flows. While the route may have
// had other services, the report must be newer than the search, as a balancer that
// knows of no change yet may have opened the flow after an earlier one.
func (b *Balancer) knowsHolders(now hickorymodel.Instant, s *search) bool {
	if !b.view.StateComplete {
		return false
	}
	settled := b.settled(now, s.packet.Flow.Destination)
	knows := true
	for _, p := range b.peers {
		if !p.listed || p.gone() || slices.Contains(s.seen, p.endpoint) {
			continue
		}
		if settled && p.reportedAt != 0 && (p.silent || now.Sub(p.reportedAt) <= reportLife) {
			continue
		}
		if p.helloAt >= s.startedAt && p.reportedAt > p.helloAt {
			continue
		}
		knows = false
		b.askReport(now, p)
	}
	return knows
}

// askReport asks an agent for a report, unless it was asked a moment ago.
func (b *Balancer) askReport(now hickorymodel.Instant, p *peer) {
	if p.helloAt != 0 && now.Sub(p.helloAt) < askReportInterval {
		return
	}
	b.hello(now, p)
}
