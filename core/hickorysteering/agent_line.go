package hickorysteering

import (
	"slices"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickoryline"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

const (
	// maxWaiting bounds the first packets that wait at an agent.
	maxWaiting = 512
	// LineTickInterval is the time between two calls of ReleaseWaiting while the line is
	// not empty. An opening whose request does not come within openingLife leaves room
	// that no packet of the upstream shows.
	LineTickInterval = 5 * time.Millisecond
	// minOverlap is how many requests more than it has slots the upstream gets at least
	// while packets wait. A slot would otherwise stand idle during the handshake of the
	// next flow. What the upstream queues can't be put in another order any more.
	minOverlap = 1
	// queueDivisor divides the target latency: a request may be expected to wait for one
	// such part of it at the upstream before first packets wait at the agent instead.
	// Shorter waits even out by themselves.
	queueDivisor = 2
	// maxOpeningTime bounds the time for which an opening counts as a request to come.
	maxOpeningTime = 50 * time.Millisecond
	// meanDivisor is the inverse of the weight of a new sample in the mean times.
	meanDivisor = 8
)

// waitingPackets are the first packets that wait at an agent, and what is known of the
// upstream's room.
type waitingPackets struct {
	enabled bool
	line    *hickoryline.Line
	// packets has the packet of each item of line.
	packets map[hickorymodel.FlowKey]waitingPacket
	// slots is the number of slots of the upstream that the last terms have named; 0
	// while none have.
	slots int
	// openings are the flows that were opened within openingLife, oldest first.
	openings []opening
	// onWait is called with the time that a delivered packet has waited.
	onWait func(time.Duration)

	// wait is the expected time until a request that is delivered now gets a slot;
	// serviceTime is the expected time of work of a route's request, 0 while unknown.
	wait        func(now hickorymodel.Instant) time.Duration
	serviceTime func(route hickorydirectory.RouteHash) time.Duration
	// meanServiceTime is the mean time of work of recent requests; 0 while there was none.
	meanServiceTime time.Duration
	// meanOpeningTime is the mean time from a first packet to its request; 0 while there
	// was none.
	meanOpeningTime time.Duration
}

// waitingPacket is a first packet that waits, and the balancer that sent its last copy.
type waitingPacket struct {
	packet   Packet
	balancer hickorymodel.Endpoint
}

// opening is the delivery of a first packet.
type opening struct {
	flow hickorymodel.FlowKey
	at   hickorymodel.Instant
}

// WithWaitingLine makes first packets that come with a target latency wait while the
// upstream has no room.
func WithWaitingLine(enabled bool) AgentOption {
	return func(a *Agent) {
		a.waiting.enabled = enabled
	}
}

// WithLineWait sets the function that is called with the time that each first packet
// has waited before it was delivered.
func WithLineWait(onWait func(time.Duration)) AgentOption {
	return func(a *Agent) {
		a.waiting.onWait = onWait
	}
}

func (a *Agent) initLine() {
	w := &a.waiting
	w.packets = map[hickorymodel.FlowKey]waitingPacket{}
	w.onWait = func(time.Duration) {}
	w.wait = a.expectedWait
	w.serviceTime = a.expectedServiceTime
	w.line = hickoryline.New(maxWaiting,
		func(now hickorymodel.Instant) time.Duration { return w.wait(now) },
		func(route hickorydirectory.RouteHash) time.Duration { return w.serviceTime(route) })
}

// LineLength returns the number of first packets that wait.
func (a *Agent) LineLength() int {
	return a.waiting.line.Len()
}

// ReleaseWaiting returns the first packets whose callers give up, and delivers those that
// have room by now. It is called each LineTickInterval while LineLength is not 0.
func (a *Agent) ReleaseWaiting(now hickorymodel.Instant) []Action {
	a.actions = a.actions[:0]
	for _, item := range a.waiting.line.Expire(now) {
		a.refuseWaiting(now, &item, ReasonLate)
	}
	a.releaseWaiting(now)
	return a.actions
}

// releaseWaiting delivers the first packets that have room by now.
func (a *Agent) releaseWaiting(now hickorymodel.Instant) {
	w := &a.waiting
	for w.line.Len() > 0 && a.hasRoom(now, w.slots+w.overlap()) {
		if !a.hasRoom(now, w.slots) && !w.line.HasInTime(now) {
			return // a late one gets no place before others in the upstream's queue
		}
		if _, ok := a.gate.admit(now); !ok {
			return
		}
		item, _ := w.line.Next(now)
		a.deliverWaiting(now, &item)
	}
}

func (a *Agent) deliverWaiting(now hickorymodel.Instant, item *hickoryline.Item) {
	waiting := a.waiting.packets[item.Flow]
	delete(a.waiting.packets, item.Flow)
	waited := now.Sub(item.EnteredAt)
	if waited > 0 {
		a.waiting.onWait(waited)
		a.onDecision(&Decision{
			Step: StepLineReleased, Flow: item.Flow, Peer: waiting.balancer, Copy: waiting.packet.Copy,
			Count: a.waiting.line.Len(), Waited: waited,
		})
	}
	a.openFlow(now, waiting.balancer, &waiting.packet)
}

// refuseWaiting returns a packet that has left the line to the balancer that sent its
// last copy. It has not been delivered.
func (a *Agent) refuseWaiting(now hickorymodel.Instant, item *hickoryline.Item, reason Reason) {
	waiting := a.waiting.packets[item.Flow]
	delete(a.waiting.packets, item.Flow)
	a.onDecision(&Decision{
		Step: StepLineRefused, Flow: item.Flow, Peer: waiting.balancer, Reason: reason, Copy: waiting.packet.Copy,
		Count: a.waiting.line.Len(), Waited: now.Sub(item.EnteredAt),
	})
	a.returnWithWork(now, waiting.balancer, reason, &waiting.packet)
}

// returnWaiting returns all packets that wait.
func (a *Agent) returnWaiting(now hickorymodel.Instant, reason Reason) {
	for _, item := range a.waiting.line.Clear() {
		a.refuseWaiting(now, &item, reason)
	}
}

// dropWaiting removes the first packet of a flow that has opened at another upstream.
func (a *Agent) dropWaiting(flow hickorymodel.FlowKey) {
	if a.waiting.line.Remove(flow) {
		delete(a.waiting.packets, flow)
	}
}

// recordOpening counts the delivery of a first packet as a request to come, for
// openingLife.
func (a *Agent) recordOpening(now hickorymodel.Instant, flow hickorymodel.FlowKey) {
	if !a.waiting.enabled {
		return
	}
	w := &a.waiting
	a.dropOldOpenings(now)
	if !slices.ContainsFunc(w.openings, func(o opening) bool { return o.flow == flow }) {
		w.openings = append(w.openings, opening{flow: flow, at: now})
	}
}

// openingLife returns how long an opening counts as a request to come: openingTime, or
// twice the mean time that requests take, which they take after an outage while
// balancers search for the owners of many flows.
func (w *waitingPackets) openingLife() time.Duration {
	return min(max(openingTime, 2*w.meanOpeningTime), maxOpeningTime)
}

// recordOpeningTime records the time from the first packet of a flow to its request.
func (a *Agent) recordOpeningTime(now hickorymodel.Instant, flow hickorymodel.FlowKey) {
	for _, o := range a.waiting.openings {
		if o.flow == flow {
			addToMean(&a.waiting.meanOpeningTime, now.Sub(o.at))
		}
	}
}

// dropOldOpenings removes the openings that are older than openingLife.
func (a *Agent) dropOldOpenings(now hickorymodel.Instant) {
	w := &a.waiting
	life := w.openingLife()
	old := 0
	for old < len(w.openings) && now.Sub(w.openings[old].at) >= life {
		old++
	}
	w.openings = slices.Delete(w.openings, 0, old)
}

// outstanding returns the unanswered requests and the flows opened within openingLife
// whose requests are still to come. A packet that a search has brought is no request of
// this upstream while the upstream may return it.
func (a *Agent) outstanding(now hickorymodel.Instant) int {
	count := a.busy
	for _, key := range a.unverified {
		if f, ok := a.flows[key]; ok && f.busy && !f.began && f.unverifiedSince != 0 {
			count--
		}
	}
	a.dropOldOpenings(now)
	for _, o := range a.waiting.openings {
		if f, ok := a.flows[o.flow]; ok && !f.requested && !f.ended() {
			count++
		}
	}
	return count
}

// hasRoom reports whether fewer requests than room are outstanding. Requests on open
// flows may keep the upstream from getting a new flow for starvationTime at most.
func (a *Agent) hasRoom(now hickorymodel.Instant, room int) bool {
	return a.outstanding(now) < room || a.gate.recentOpenings(now, starvationTime) == 0
}

// overlap returns how many requests more than it has slots the upstream gets while
// packets wait: as many as slots become free while a flow opens.
func (w *waitingPackets) overlap() int {
	if w.meanServiceTime == 0 {
		return minOverlap
	}
	return minOverlap + int(min(time.Duration(w.slots)*w.meanOpeningTime/w.meanServiceTime, time.Duration(w.slots)))
}

// openRoom returns the number of outstanding requests up to which first packets are
// delivered while none wait. Limit is the room of a first packet without terms. A late
// packet gets a free slot, but no place before others in the upstream's queue.
func (w *waitingPackets) openRoom(terms *hickoryframe.Terms, limit int) int {
	if terms.Age >= terms.TargetLatency {
		return w.slots
	}
	least := w.slots + w.overlap()
	serviceTime := w.serviceTime(hickorydirectory.RouteHash(terms.Route))
	if serviceTime == 0 {
		return least
	}
	queued := time.Duration(w.slots) * (fromFrameTime(terms.TargetLatency) / queueDivisor) / serviceTime
	room := w.slots + int(min(queued, maxWaiting))
	if limit > 0 {
		room = min(room, limit)
	}
	return max(room, least)
}

// expectedWait returns the expected time until a request that is delivered now gets a
// slot, by the work model or by the mean service time.
func (a *Agent) expectedWait(now hickorymodel.Instant) time.Duration {
	if wait, ok := a.modelledWait(now); ok {
		return wait
	}
	w := &a.waiting
	if w.slots == 0 {
		return 0
	}
	queued := a.outstanding(now) + 1 - w.slots
	return time.Duration(max(queued, 0)) * w.meanServiceTime / time.Duration(w.slots)
}

// recordServiceTime records the time from a request to its answer. While the upstream
// has more requests than slots, part of it was spent in the upstream's queue. A refused
// request took no work.
func (a *Agent) recordServiceTime(now hickorymodel.Instant, f *agentFlow, p *Packet) {
	w := &a.waiting
	if w.slots == 0 || !f.busy || p.Failed || p.Shed {
		return
	}
	addToMean(&w.meanServiceTime, now.Sub(f.requestedAt)*time.Duration(w.slots)/time.Duration(max(w.slots, a.busy)))
}

// addToMean adds a sample to a mean of recent ones, which is 0 while there are none.
func addToMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += (sample - *mean) / meanDivisor
}
