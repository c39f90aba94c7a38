package hickorystandin

import (
	"time"

	"hickoryworks/schema/hickorypayload"
)

// work is one opening or request of an upstream.
type work struct {
	connection *connection
	opening    bool
	request    hickorypayload.Request
}

// shedFactor is the number of openings and requests for each slot from which
// an upstream sheds load.
const maxWorkPerSlot = 16

// enqueue takes work in and reports whether the upstream accepts it.
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

// startNext fills the free slots.
func (u *Upstream) startQueued(now time.Time) {
	for u.busy < int(u.config.Slots) && len(u.queue) > 0 {
		w := u.queue[0]
		u.queue = u.queue[1:]
		u.startWork(now, w)
	}
}

// begin runs work in a slot. A request past its deadline is not run.
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

// complete ends work and answers its caller.
func (u *Upstream) completeAndSend(w work) {
	if reply, ok := u.completeWork(time.Now(), w); ok {
		u.send(&reply)
	}
}

func (u *Upstream) completeWork(now time.Time, w work) (Segment, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.warmUp.collapsed(now) {
		// A collapsed upstream answers later, not never: its caller's repeated
		// segments are only answered from the connection's record.
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

// noteConnections compares the open connections with what the upstream can bear.
func (u *Upstream) recordConnections(now time.Time) {
	if u.warmUp.recordConnections(now, len(u.connections)) {
		u.counts.Collapses++
	}
}
