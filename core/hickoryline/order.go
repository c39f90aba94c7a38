package hickoryline

import (
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// order compares items at one time.
type order struct {
	now         hickorymodel.Instant
	wait        time.Duration
	serviceTime func(route hickorydirectory.RouteHash) time.Duration
	// newestFirst is true once the line has stood for longer than the shortest target
	// latency in it.
	newestFirst bool
}

func (l *Line) order(now hickorymodel.Instant) order {
	o := order{now: now, wait: l.wait(now), serviceTime: l.serviceTime}
	for at := range l.items {
		o.newestFirst = o.newestFirst || now.Sub(l.since) > l.items[at].TargetLatency
	}
	return o
}

// answered returns the expected time from the caller's beginning to the answer, if the
// packet is delivered now.
func (o *order) answered(item *Item) time.Duration {
	return item.age(o.now) + o.wait + o.serviceTime(item.Route)
}

// late reports whether the request can't be answered within its target latency.
func (o *order) late(item *Item) bool {
	return o.answered(item) > item.TargetLatency
}

func (o *order) hopeless(item *Item) bool {
	if item.OpenTimeout > 0 && item.age(o.now) >= item.OpenTimeout {
		return true
	}
	return item.Timeout > 0 && o.answered(item) > item.Timeout
}

// before reports whether x goes before y.
func (o *order) before(x, y *Item) bool {
	xLate, yLate := o.late(x), o.late(y)
	switch {
	case xLate != yLate:
		return yLate
	case x.Priority != y.Priority:
		return x.Priority < y.Priority
	case o.newestFirst:
		return x.BeganAt > y.BeganAt
	default:
		return x.BeganAt < y.BeganAt
	}
}
