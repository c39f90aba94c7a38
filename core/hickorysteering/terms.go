package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorychoice"
	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

// copyAges are the times after the first packet at which callers send its copies.
var copyAges = [lastCopy + 1]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// firstRoom returns the room for a first packet. An agent that has not reported yet may
// understand terms: until its report arrives, after a round trip, its upstream gets no more
// requests of a route with a target latency than it has slots. After an outage the callers
// who knock first, most of them late, would fill its queue otherwise.
func firstRoom(to *peer, route *hickorydirectory.Route, copies uint32) uint8 {
	limit := room(to.upstream.Slots, route, copies)
	if to.reportedAt != 0 || route.TargetLatency == 0 || limit == 0 {
		return limit
	}
	return min(limit, uint8(to.upstream.Slots))
}

// addTerms adds the terms of a first packet to the frame that carries it, if the route
// has a target latency and the agent understands terms.
func (b *Balancer) addTerms(now hickorymodel.Instant, p *Packet, f *flow, to *peer, action *Action) {
	route := b.view.Routes[p.Flow.Destination]
	if route == nil || route.TargetLatency == 0 || !to.features.Has(FeatureTerms) {
		return
	}
	action.Header.Kind = uint8(KindOpenTerms)
	action.Terms = b.terms(now, route, p, f, to)
}

// terms returns the terms of a first packet for an agent.
func (b *Balancer) terms(now hickorymodel.Instant, route *hickorydirectory.Route, p *Packet, f *flow, to *peer) hickoryframe.Terms {
	age := firstPacketAge(now, p, f)
	return hickoryframe.Terms{
		Route:         uint32(route.Hash),
		TargetLatency: frameTime(route.TargetLatency),
		Timeout:       frameTime(route.Timeout),
		Age:           frameTime(age),
		MaxWait:       maxWait(p, f),
		Slots:         uint16(min(int(to.upstream.Slots), 1<<16-1)),
		Priority:      uint8(min(route.Priority, 1<<8-1)),
	}
}

// firstPacketAge returns how long the caller of a first packet has waited.
func firstPacketAge(now hickorymodel.Instant, p *Packet, f *flow) time.Duration {
	return copyAges[min(p.Copy, lastCopy)] + now.Sub(f.copiedAt)
}

// maxWait returns the expected wait beyond which the agent returns a first packet. While
// others are left to try it does not wait at all, since trying another upstream takes a
// round trip, and a slot becomes free after the work of a request. A choice by work has a
// limit of its own: the wait with which asking the next one gains time.
func maxWait(p *Packet, f *flow) uint32 {
	switch {
	case p.Copy > 0 || f.placed:
		return unlimitedWait
	case f.byWork && f.maxWait == hickorychoice.NoLimit:
		return unlimitedWait
	case f.byWork:
		return max(frameTime(f.maxWait), 1)
	case f.tried.count > attemptsWithoutWait:
		return unlimitedWait
	default:
		return 0
	}
}

// frameTime returns a time in the unit of frames.
func frameTime(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), unlimitedWait-1))
}

// fromFrameTime returns a time that a frame states.
func fromFrameTime(microseconds uint32) time.Duration {
	return time.Duration(microseconds) * time.Microsecond
}
