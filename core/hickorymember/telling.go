package hickorymember

import (
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// copiesPerView is the number of random balancers that each balancer passes
	// a new view to. Six leave out about 1 balancer in 400; the refresh reaches it.
	copiesPerView = 6
	// sendRate and sendBurst bound what the calls of a balancer take in both
	// directions, in bytes a second and bytes. It answers as many calls as it
	// makes, so both together stay below 2 KB/s.
	sendRate  = 1000
	sendBurst = 24000
	// refreshPace is the time between two calls that carry refreshes only. It
	// fills the calls, whose connections cost more than a view.
	refreshPace = 2 * time.Second
	// urgentPace lets views that change together share a call. Without it, the
	// death of 5 hosts at once used up the burst with calls of one view.
	urgentPace = 200 * time.Millisecond
	// callBytes stands for the set-up of a TCP connection, its acknowledgements
	// and end, the reply, and the envelope of a call.
	callBytes = 800
	// viewBytes stands for the names of a view's fields and its sequence;
	// nameBytes for the quotation marks and the comma around a name.
	viewBytes = 64
	nameBytes = 3
	// batchBytes bounds the views of one call.
	batchBytes = 1200
)

// budget is a token bucket in bytes. It runs on the time given by the caller.
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

// tellQueue holds the observers whose views are to be passed on, at most one
// entry for each view held.
type tellQueue struct {
	// entries has the urgent ones first.
	entries []tellEntry
	// toldAt is the time of the last call.
	toldAt hickorymodel.Instant
}

type tellEntry struct {
	observer hickoryid.InstanceID
	// urgent is set for views whose suspects have changed.
	urgent bool
	// copies is the number of balancers still to be told.
	copies int
}

// add starts the telling of an observer's newest view. A refresh does not make
// a change that is still being told less urgent.
func (q *tellQueue) add(observer hickoryid.InstanceID, urgent bool) {
	for _, entry := range q.entries {
		urgent = urgent || (entry.observer == observer && entry.urgent)
	}
	q.remove(observer)
	q.put(tellEntry{observer: observer, urgent: urgent, copies: copiesPerView})
}

// put inserts an entry behind those of its urgency.
func (q *tellQueue) put(entry tellEntry) {
	place := len(q.entries)
	if entry.urgent {
		place = slices.IndexFunc(q.entries, func(e tellEntry) bool { return !e.urgent })
	}
	if place < 0 {
		place = len(q.entries)
	}
	q.entries = slices.Insert(q.entries, place, entry)
}

func (q *tellQueue) remove(observer hickoryid.InstanceID) {
	q.entries = slices.DeleteFunc(q.entries, func(e tellEntry) bool { return e.observer == observer })
}

// due reports whether there is something to tell now.
func (q *tellQueue) due(now hickorymodel.Instant) bool {
	if len(q.entries) == 0 {
		return false
	}
	pace := refreshPace
	if q.entries[0].urgent {
		pace = urgentPace
	}
	return q.toldAt == 0 || now.Sub(q.toldAt) >= pace
}

// tell passes on the waiting views to a random balancer when the budget allows.
func (d *Detector) tell(now hickorymodel.Instant) {
	d.budget.fill(now)
	if !d.queue.due(now) || len(d.peers) == 0 || d.budget.credit < callBytes+batchBytes {
		return
	}
	d.queue.toldAt = now
	views, bytes := d.nextBatch()
	d.budget.credit -= float64(bytes)
	d.act(Action{Verb: VerbSendViews, Peer: d.nextPeer(), Views: views})
}

// nextPeer goes through all balancers in random order, so that the copies of a
// view reach different ones.
func (d *Detector) nextPeer() Balancer {
	if d.peerPlace == 0 {
		d.random.Shuffle(len(d.peers), func(i, j int) { d.peers[i], d.peers[j] = d.peers[j], d.peers[i] })
	}
	peer := d.peers[d.peerPlace]
	d.peerPlace = (d.peerPlace + 1) % len(d.peers)
	return peer
}

// nextBatch takes one copy of the views that come first. Those with copies left
// go behind the others.
func (d *Detector) nextBatch() ([]View, int) {
	var views []View
	var again []tellEntry
	bytes := callBytes
	taken := 0
	for _, entry := range d.queue.entries {
		view := d.views[entry.observer].view
		size := view.size()
		if taken > 0 && bytes+size > callBytes+batchBytes {
			break
		}
		bytes += size
		taken++
		views = append(views, view)
		if entry.copies--; entry.copies > 0 {
			again = append(again, entry)
		}
	}
	d.queue.entries = slices.Delete(d.queue.entries, 0, taken)
	for _, entry := range again {
		d.queue.put(entry)
	}
	return views, bytes
}

// size is the number of bytes that a view takes in a message.
func (v *View) size() int {
	size := viewBytes + len(v.Observer)
	for _, suspect := range v.Suspects {
		size += len(suspect) + nameBytes
	}
	return size
}
