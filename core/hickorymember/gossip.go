package hickorymember

import (
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// copiesPerView is the number of random balancers to which each balancer sends
	// a new view. With six, about 1 balancer in 400 is left out; the next refresh
	// reaches it.
	copiesPerView = 6
	// sendRate (bytes per second) and sendBurst (bytes) limit the traffic, in both
	// directions, of the calls that a balancer makes. It receives about as many
	// calls as it makes, so the total stays below 2 KB/s.
	sendRate  = 1000
	sendBurst = 24000
	// refreshSendInterval is the time between two calls that carry refreshes only.
	// Views share a call, because its connection costs more than a view.
	refreshSendInterval = 2 * time.Second
	// urgentSendInterval is the time between two calls that carry changed views, so
	// that views that change together share a call. Without it, the death of 5
	// hosts at once used up the burst with calls of one view each.
	urgentSendInterval = 200 * time.Millisecond
	// callBytes is an estimate of the fixed cost of a call: set-up,
	// acknowledgements and end of the TCP connection, the reply, and the envelope.
	callBytes = 800
	// viewBytes is the size of a view's field names and its sequence in JSON;
	// nameBytes is that of the quotation marks and the comma around a name.
	viewBytes = 64
	nameBytes = 3
	// batchBytes is the largest size of the views of one call.
	batchBytes = 1200
)

// budget is a token bucket: credit is the number of bytes that may be sent now.
// The caller passes the time.
type budget struct {
	credit   float64
	filledAt hickorymodel.Instant
}

func newBudget() budget {
	return budget{credit: sendBurst}
}

func (b *budget) fill(now hickorymodel.Instant) {
	if b.filledAt != 0 {
		b.credit = min(b.credit+now.Sub(b.filledAt).Seconds()*sendRate, sendBurst)
	}
	b.filledAt = now
}

// viewQueue holds the observers whose views are still to be sent, at most one
// entry for each stored view.
type viewQueue struct {
	// entries holds the urgent entries first.
	entries []queuedView
	// lastSentAt is the time of the last call.
	lastSentAt hickorymodel.Instant
}

// queuedView is one entry of a viewQueue.
type queuedView struct {
	observer hickoryid.InstanceID
	// urgent is set for views whose suspects have changed.
	urgent bool
	// copies is the number of balancers that the view is still to be sent to.
	copies int
}

// add queues the newest view of an observer. An entry that is urgent stays urgent
// when a refresh follows before all copies are sent.
func (q *viewQueue) add(observer hickoryid.InstanceID, urgent bool) {
	for _, entry := range q.entries {
		urgent = urgent || (entry.observer == observer && entry.urgent)
	}
	q.remove(observer)
	q.insertEntry(queuedView{observer: observer, urgent: urgent, copies: copiesPerView})
}

// insertEntry inserts an entry after those of the same urgency.
func (q *viewQueue) insertEntry(entry queuedView) {
	insertAt := len(q.entries)
	if entry.urgent {
		insertAt = slices.IndexFunc(q.entries, func(e queuedView) bool { return !e.urgent })
	}
	if insertAt < 0 {
		insertAt = len(q.entries)
	}
	q.entries = slices.Insert(q.entries, insertAt, entry)
}

func (q *viewQueue) remove(observer hickoryid.InstanceID) {
	q.entries = slices.DeleteFunc(q.entries, func(e queuedView) bool { return e.observer == observer })
}

// due reports whether a view is queued and may be sent now.
func (q *viewQueue) due(now hickorymodel.Instant) bool {
	if len(q.entries) == 0 {
		return false
	}
	sendInterval := refreshSendInterval
	if q.entries[0].urgent {
		sendInterval = urgentSendInterval
	}
	return q.lastSentAt == 0 || now.Sub(q.lastSentAt) >= sendInterval
}

// sendViews sends the next queued views to a random balancer when the budget
// allows.
func (d *Detector) sendViews(now hickorymodel.Instant) {
	d.budget.fill(now)
	if !d.queue.due(now) || len(d.peers) == 0 || d.budget.credit < callBytes+batchBytes {
		return
	}
	d.queue.lastSentAt = now
	views, bytes := d.nextBatch()
	d.budget.credit -= float64(bytes)
	d.addAction(Action{Verb: VerbSendViews, Peer: d.nextPeer(), Views: views})
}

// nextPeer returns the other balancers one after another, in an order that is
// shuffled each time all have been returned, so that the copies of a view reach
// different balancers.
func (d *Detector) nextPeer() Balancer {
	if d.nextPeerIndex == 0 {
		d.random.Shuffle(len(d.peers), func(i, j int) { d.peers[i], d.peers[j] = d.peers[j], d.peers[i] })
	}
	peer := d.peers[d.nextPeerIndex]
	d.nextPeerIndex = (d.nextPeerIndex + 1) % len(d.peers)
	return peer
}

// nextBatch removes one copy of each of the first views of the queue, and returns
// these views and the size of the call in bytes. Entries with copies left are
// queued again after the others.
func (d *Detector) nextBatch() ([]View, int) {
	var views []View
	var requeued []queuedView
	bytes := callBytes
	count := 0
	for _, entry := range d.queue.entries {
		view := d.views[entry.observer].view
		size := view.size()
		if count > 0 && bytes+size > callBytes+batchBytes {
			break
		}
		bytes += size
		count++
		views = append(views, view)
		if entry.copies--; entry.copies > 0 {
			requeued = append(requeued, entry)
		}
	}
	d.queue.entries = slices.Delete(d.queue.entries, 0, count)
	for _, entry := range requeued {
		d.queue.insertEntry(entry)
	}
	return views, bytes
}

// size returns the number of bytes that a view takes in a message.
func (v *View) size() int {
	size := viewBytes + len(v.Observer)
	for _, suspect := range v.Suspects {
		size += len(suspect) + nameBytes
	}
	return size
}
