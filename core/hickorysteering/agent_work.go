package hickorysteering

import (
	"math"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorywork"
	"hickoryworks/schema/hickoryframe"
)

const (
	// earlyReportGap is the time after reports that were sent before they were due until
	// the next ones. The wait for a slot changes with each request.
	earlyReportGap = 25 * time.Millisecond
	// earlyWaitChange is the change of the wait, in mean service times, from which on a
	// balancer gets a report before it is due: a slot has become free or another request
	// waits for each one.
	earlyWaitChange = 1
	// speedEventRatio is the factor by which work must have become longer or shorter for
	// an event.
	speedEventRatio = 2
	// maxRouteAddresses bounds the addresses whose routes the agent keeps. The requests
	// of further addresses count by their address.
	maxRouteAddresses = 256
)

// agentWork is what an agent keeps to estimate and report the work of its upstream.
type agentWork struct {
	// model is nil if the setting is off.
	model *hickorywork.Model
	// minRoom is the lowest room of an original first packet; 0 while there was none.
	minRoom int
	// slotsStated is true once terms have named the slots of the upstream.
	slotsStated bool
	// routes has the routes of addresses by the terms of their first packets, at most
	// maxRouteAddresses.
	routes map[hickorymodel.SocketAddress]hickorydirectory.RouteHash
	// earlyReportAt is when reportEarly last sent a report.
	earlyReportAt hickorymodel.Instant
}

// WithWorkModel makes the agent measure what requests cost its upstream, and report what
// the upstream still has to do. OnSample is called with each measured request, beside the
// estimates for it; it may be nil.
func WithWorkModel(enabled bool, onSample func(*hickorywork.Sample)) AgentOption {
	return func(a *Agent) {
		if !enabled {
			return
		}
		options := []hickorywork.Option{hickorywork.WithSpeedChanges(a.recordSpeedChange)}
		if onSample != nil {
			options = append(options, hickorywork.WithSamples(onSample))
		}
		a.work.model = hickorywork.New(options...)
		a.work.routes = map[hickorymodel.SocketAddress]hickorydirectory.RouteHash{}
	}
}

// MisorderedAnswers returns the number of requests that were answered before earlier
// ones for which the upstream had a slot.
func (a *Agent) MisorderedAnswers() int {
	if a.work.model == nil {
		return 0
	}
	return a.work.model.Misordered()
}

// CurrentWork returns what the upstream still has to do. Without a work model the time of
// work is the mean of the waiting line, and the remaining work is not known.
func (a *Agent) CurrentWork(now hickorymodel.Instant) hickoryframe.Work {
	work := hickoryframe.Work{
		Wait:        microseconds(a.expectedWait(now)),
		ServiceTime: microseconds(a.waiting.meanServiceTime),
		Line:        uint16(min(a.waiting.line.Len(), math.MaxUint16)),
	}
	if a.work.model == nil {
		return work
	}
	mean, _ := a.work.model.MeanServiceTime()
	work.ServiceTime = microseconds(mean)
	work.Remaining = microseconds(a.work.model.Remaining(now))
	work.Samples = uint16(min(a.work.model.Samples(), math.MaxUint16))
	return work
}

// modelledWait returns the expected time until a request that is delivered now gets a
// slot; false without an estimate. Flows that were opened for requests which are still to
// come take slots, too.
func (a *Agent) modelledWait(now hickorymodel.Instant) (time.Duration, bool) {
	if a.work.model == nil {
		return 0, false
	}
	mean, ok := a.work.model.MeanServiceTime()
	if !ok {
		return 0, false
	}
	pending := a.outstanding(now) - a.busy
	if free := a.work.model.FreeSlots(); free > 0 {
		pending = max(pending-free+1, 0)
	}
	slots := time.Duration(max(a.work.model.Slots(), 1))
	return a.work.model.Wait(now) + time.Duration(pending)*mean/slots, true
}

// expectedServiceTime returns the expected time of work of a request of a route; 0 while
// it is not known.
func (a *Agent) expectedServiceTime(route hickorydirectory.RouteHash) time.Duration {
	if a.work.model != nil {
		if mean, ok := a.work.model.ServiceTime(route); ok {
			return mean
		}
	}
	return a.waiting.meanServiceTime
}

// microseconds returns a time for a frame, at most maxReportedWork.
func microseconds(d time.Duration) uint32 {
	return uint32(max(0, min(d, maxReportedWork)).Microseconds())
}

// recordRoom derives the slots of the upstream from the room that a balancer states: for
// an urgent route it is larger than requestsPerSlot, so the lowest one counts.
func (a *Agent) recordRoom(header *hickoryframe.Header, p *Packet) {
	if a.work.model == nil || a.work.slotsStated || header.Room == 0 || p.Copy > 0 {
		return
	}
	if a.work.minRoom == 0 || int(header.Room) < a.work.minRoom {
		a.work.minRoom = int(header.Room)
		a.work.model.SetSlots(max(a.work.minRoom/requestsPerSlot, 1))
	}
}

// recordTerms records the slots of the upstream and the route of an address.
func (a *Agent) recordTerms(terms *hickoryframe.Terms, flow hickorymodel.FlowKey) {
	if a.work.model == nil {
		return
	}
	if terms.Slots > 0 {
		a.work.slotsStated = true
		a.work.model.SetSlots(int(terms.Slots))
	}
	if _, ok := a.work.routes[flow.Destination]; ok || len(a.work.routes) < maxRouteAddresses {
		a.work.routes[flow.Destination] = hickorydirectory.RouteHash(terms.Route)
	}
}

// beginWork records that a request is delivered.
func (a *Agent) beginWork(now hickorymodel.Instant, f *agentFlow, p *Packet) {
	if a.work.model == nil {
		return
	}
	f.worked = p.Flow
	a.work.model.SetCold(now, a.gate.coldUntil)
	a.work.model.BeginSized(now, p.Flow, a.routeOf(p.Flow), p.Data)
	a.reportEarly(now)
}

// endWork records that the answer to a request begins. The time until an error or a
// refusal says nothing about work.
func (a *Agent) endWork(now hickorymodel.Instant, f *agentFlow, p *Packet) {
	if a.work.model == nil || !f.busy {
		return
	}
	if a.gate.checkedAt != 0 && now.Sub(a.gate.checkedAt) > maxTickGap {
		a.work.model.Doubt() // the agent was paused, and the answer may have waited
	}
	if p.Failed || p.Shed {
		a.work.model.Discard(now, f.worked)
	} else {
		a.work.model.End(now, f.worked)
	}
	a.reportEarly(now)
}

// dropWork records that the request of a flow has ended, if it has not been answered.
func (a *Agent) dropWork(f *agentFlow) {
	if a.work.model != nil {
		a.work.model.Drop(f.worked)
	}
}

// routeOf returns the route of a flow. Each address belongs to one route, so without
// terms the address stands for it.
func (a *Agent) routeOf(flow hickorymodel.FlowKey) hickorydirectory.RouteHash {
	if route, ok := a.work.routes[flow.Destination]; ok {
		return route
	}
	address := hickorymodel.FlowKey{Destination: flow.Destination, Protocol: flow.Protocol}
	return hickorydirectory.RouteHash(address.Hash())
}

// recordSpeedChange records that the speed of the upstream has changed. Only balancers can
// tell whether other upstreams have become slower, too.
func (a *Agent) recordSpeedChange(factor float64) {
	if factor < speedEventRatio && factor > 1.0/speedEventRatio {
		return
	}
	a.onDecision(&Decision{Step: StepUpstreamSpeed, Factor: factor})
}

// addWork adds the work of the upstream to a report, if the balancer understands it.
func (a *Agent) addWork(now hickorymodel.Instant, balancer *balancerRecord, action *Action) {
	a.reports.spend(now)
	if a.work.model == nil || !balancer.readsWork {
		return
	}
	action.Header.Kind = uint8(KindWorkReport)
	action.Work = a.CurrentWork(now)
	balancer.reportedWait = a.work.model.Wait(now)
}

// reportEarly reports to the balancers that send new flows and whose last report states
// another wait, within maxReportRate. These reports have no addresses, which take a look
// at each flow; the next regular report has them.
func (a *Agent) reportEarly(now hickorymodel.Instant) {
	if now.Sub(a.work.earlyReportAt) < earlyReportGap || !a.reports.available(now) {
		return
	}
	mean, ok := a.work.model.MeanServiceTime()
	if !ok {
		return
	}
	wait := a.work.model.Wait(now)
	for endpoint, balancer := range a.balancers {
		if !balancer.readsWork || !balancer.active(now) || !a.reports.available(now) {
			continue
		}
		if (wait - balancer.reportedWait).Abs() >= earlyWaitChange*mean {
			a.sendReport(now, endpoint, balancer, nil)
			a.work.earlyReportAt = now
		}
	}
}
