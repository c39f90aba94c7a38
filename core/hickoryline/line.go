package hickoryline

import (
	"slices"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// lateShare is the number of openings of which one goes to a late item while late ones
// and others wait. A late request is of use to its caller until the timeout, so it must
// not starve.
const lateShare = 8

// Line is a bounded line of first packets. Items that can still be answered within
// their target latency go before late ones, then those of a higher priority, then the
// one whose caller has waited longest. Once the line has stood for longer than the
// shortest target latency in it, the newest goes first instead: the oldest would all be
// served late.
// It is not safe for concurrent use.
type Line struct {
	capacity int
	// wait is the expected time until a request that is delivered now gets a slot;
	// serviceTime is the expected time of work of a route's request, 0 while unknown.
	wait        func(now hickorymodel.Instant) time.Duration
	serviceTime func(route hickorydirectory.RouteHash) time.Duration

	// items has at most capacity items, in the order in which they entered, each of
	// another flow.
	items []Item
	// since is when the line last became non-empty.
	since hickorymodel.Instant
	// passed counts the openings since the last late item was taken while one waited.
	passed int
}

// New returns an empty line for at most capacity items.
func New(capacity int, wait func(now hickorymodel.Instant) time.Duration, serviceTime func(route hickorydirectory.RouteHash) time.Duration) *Line {
	return &Line{capacity: capacity, wait: wait, serviceTime: serviceTime}
}

// Len returns the number of items.
func (l *Line) Len() int {
	return len(l.items)
}

// Has reports whether a first packet of the flow waits.
func (l *Line) Has(flow hickorymodel.FlowKey) bool {
	return l.find(flow) >= 0
}

// Update replaces what is known of a waiting packet by what came with a copy of it, and
// reports whether it waits. The caller has waited since the earlier of both beginnings.
func (l *Line) Update(item *Item) bool {
	at := l.find(item.Flow)
	if at < 0 || !l.items[at].sameFlow(item) {
		return false
	}
	waiting := &l.items[at]
	enteredAt, beganAt := waiting.EnteredAt, min(waiting.BeganAt, item.BeganAt)
	*waiting = *item
	waiting.EnteredAt, waiting.BeganAt = enteredAt, beganAt
	return true
}

// Add adds an item. If the line is full, it returns the least useful one, which may be
// the new one. An item of the same flow with another sequence number is replaced, since
// its caller has begun anew.
func (l *Line) Add(now hickorymodel.Instant, item Item) (displaced Item, full bool) {
	l.Remove(item.Flow)
	if len(l.items) == 0 {
		l.since = now
		l.passed = 0
	}
	item.EnteredAt = now
	l.items = append(l.items, item)
	if len(l.items) <= l.capacity {
		return Item{}, false
	}
	order := l.order(now)
	least := 0
	for at := range l.items {
		if order.before(&l.items[least], &l.items[at]) {
			least = at
		}
	}
	return l.take(least), true
}

// Remove removes the item of a flow and reports whether there was one.
func (l *Line) Remove(flow hickorymodel.FlowKey) bool {
	at := l.find(flow)
	if at < 0 {
		return false
	}
	l.take(at)
	return true
}

// Next removes and returns the item that gets the next opening.
func (l *Line) Next(now hickorymodel.Instant) (Item, bool) {
	if len(l.items) == 0 {
		return Item{}, false
	}
	return l.take(l.share(l.first(now))), true
}

// HasInTime reports whether an item can still be answered within its target latency.
func (l *Line) HasInTime(now hickorymodel.Instant) bool {
	best, _ := l.first(now)
	return best >= 0
}

// first returns the first item that is not late and the first late one, -1 for none.
func (l *Line) first(now hickorymodel.Instant) (best, bestLate int) {
	order := l.order(now)
	best, bestLate = -1, -1
	for at := range l.items {
		chosen := &best
		if order.late(&l.items[at]) {
			chosen = &bestLate
		}
		if *chosen < 0 || order.before(&l.items[at], &l.items[*chosen]) {
			*chosen = at
		}
	}
	return best, bestLate
}

// share chooses between the first item that is not late and the first late one, of
// which one may be missing (-1).
func (l *Line) share(best, bestLate int) int {
	if bestLate < 0 {
		return best
	}
	l.passed++
	if best >= 0 && l.passed < lateShare {
		return best
	}
	l.passed = 0
	return bestLate
}

// Ahead returns the number of items that go before an item that enters now.
func (l *Line) Ahead(now hickorymodel.Instant, item *Item) int {
	entering := *item
	entering.EnteredAt = now
	order := l.order(now)
	ahead := 0
	for at := range l.items {
		if order.before(&l.items[at], &entering) {
			ahead++
		}
	}
	return ahead
}

// Expire removes and returns the items that can't be answered before their callers
// give up.
func (l *Line) Expire(now hickorymodel.Instant) []Item {
	if len(l.items) == 0 {
		return nil
	}
	order := l.order(now)
	var expired []Item
	l.items = slices.DeleteFunc(l.items, func(item Item) bool {
		if !order.hopeless(&item) {
			return false
		}
		expired = append(expired, item)
		return true
	})
	return expired
}

// Hopeless reports whether an item can't be answered before its caller gives up, even if
// it is delivered now.
func (l *Line) Hopeless(now hickorymodel.Instant, item *Item) bool {
	order := l.order(now)
	return order.hopeless(item)
}

// Clear removes and returns all items.
func (l *Line) Clear() []Item {
	items := l.items
	l.items = nil
	return items
}

func (l *Line) find(flow hickorymodel.FlowKey) int {
	return slices.IndexFunc(l.items, func(item Item) bool { return item.Flow == flow })
}

func (l *Line) take(at int) Item {
	item := l.items[at]
	l.items = slices.Delete(l.items, at, at+1)
	return item
}
