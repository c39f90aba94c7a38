package hickorystandin

import (
	"time"

	"hickoryworks/schema/hickorypayload"
)

// work is one opening or request that an upstream processes in a slot.
type work struct {
	connection *connection
	opening    bool
	request    hickorypayload.Request
}

// maxWorkPerSlot is the number of openings and requests in progress for each slot
// at which an upstream refuses more.
const maxWorkPerSlot = 16

// enqueue queues work and reports whether the upstream accepts it.
func (u *Upstream) enqueue(now time.Time, w work) bool {
	if u.config.Slots == 0 {
		u.startWork(now, w)
		return true
	}
	if u.busy+len(u.queue) >= int(u.config.Slots)*maxWorkPerSlot {
		return false
	}
	u.queue = append(u.queue, w)
	if u.warmUp.recordWork(now, u.busy+len(u.queue)) {
		u.counts.Collapses++
	}
	u.startQueued(now)
	return true
}

// startQueued starts queued work in the free slots.
func (u *Upstream) startQueued(now time.Time) {
	for u.busy < int(u.config.Slots) && len(u.queue) > 0 {
		w := u.queue[0]
		u.queue = u.queue[1:]
		u.startWork(now, w)
	}
}

// startWork starts work in a slot. A request past its deadline is not run.
func (u *Upstream) startWork(now time.Time, w work) {
	deadline := time.UnixMilli(int64(w.request.DeadlineMillisecond))
	if w.request.DeadlineMillisecond > 0 && now.After(deadline) {
		u.counts.Expired++
		u.storeReply(w.connection, w.request.ID, hickorypayload.OutcomeNotRun)
		return
	}
	if !w.opening {
		u.runs[w.request.ID]++
	}
	u.busy++
	u.timers.at(now.Add(u.warmUp.workTime(now)), func() { u.completeAndSend(w) })
}

// completeAndSend completes work and sends the reply to its caller.
func (u *Upstream) completeAndSend(w work) {
	if reply, ok := u.completeWork(time.Now(), w); ok {
		u.send(&reply)
	}
}

// completeWork frees the slot of the work and returns the reply, or false if there
// is none to send now. The upstream's mutex must not be held.
func (u *Upstream) completeWork(now time.Time, w work) (Segment, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.warmUp.collapsed(now) {
		// A collapsed upstream completes the work after the collapse. Dropping it
		// would leave the caller without a reply for good, because a retransmitted
		// segment does not start the work again.
		u.timers.at(u.warmUp.collapsedUntil, func() { u.completeAndSend(w) })
		return Segment{}, false
	}
	u.busy--
	u.startQueued(now)
	if u.warmUp.recordWork(now, u.busy+len(u.queue)) {
		u.counts.Collapses++
	}
	c := w.connection
	if u.connections[c.key] != c {
		return Segment{}, false
	}
	reply := c.replySegment()
	if w.opening {
		c.opened = true
		return u.openingReply(c), true
	}
	u.storeReply(c, w.request.ID, hickorypayload.OutcomeDone)
	reply.Payload = c.lastReply
	return reply, c.lastRequest == w.request.ID
}

// recordConnections compares the open connections with the capacity of the
// upstream and counts a collapse.
func (u *Upstream) recordConnections(now time.Time) {
	if u.warmUp.recordConnections(now, len(u.connections)) {
		u.counts.Collapses++
	}
}
