package hickorystandin

import (
	"math"
	"time"
)

const (
	// warmWorkPerSlot is the number of openings and requests in progress that a
	// warm upstream can handle for each slot. A cold one can handle 1.
	warmWorkPerSlot = 4
	// coldSlowdown is the factor by which a cold upstream is slower than a warm one.
	coldSlowdown = 5
	// averagingTime is the time constant of the moving average of work in progress.
	averagingTime = time.Second
	// collapseTime is the time for which an overloaded upstream sends no replies.
	collapseTime = 2 * time.Second
)

// Peak is the highest load of an upstream that was not warm, relative to its
// capacity at that time.
type Peak struct {
	Load     float64
	Capacity float64
}

// Utilization returns the load divided by the capacity, or 0 without a capacity.
func (p Peak) Utilization() float64 {
	if p.Capacity == 0 {
		return 0
	}
	return p.Load / p.Capacity
}

// record replaces the peak if the utilization is higher.
func (p *Peak) record(load, capacity float64) {
	if candidate := (Peak{Load: load, Capacity: capacity}); candidate.Utilization() > p.Utilization() {
		*p = candidate
	}
}

// warmUp models the capacity of an upstream after a cold start, which rises
// linearly until the upstream is warm. An upstream collapses when its load exceeds
// the capacity: it sends no replies for collapseTime and starts cold again.
type warmUp struct {
	slots int
	// connections is the maximum number of open connections of a warm upstream.
	connections int
	// time is the time from a cold start until the upstream is warm; 0 is an
	// upstream that is always warm.
	time time.Duration
	// warmWorkTime is the time that a warm upstream needs for one request or opening.
	warmWorkTime time.Duration
	// startedAt is the time of the last cold start.
	startedAt time.Time
	// initialConnections is the number of connections at the last cold start. They
	// stay open, so the cold capacity includes them.
	initialConnections int
	// lastConnections is the number of connections after the last opening.
	lastConnections int
	// collapsedUntil is the end of the last collapse.
	collapsedUntil time.Time
	// meanWork is the moving average of the openings and requests in progress over
	// averagingTime, as of workAt; workLoad is their number since then.
	meanWork float64
	workAt   time.Time
	workLoad int
	// workPeak and connectionPeak are recorded only while the upstream is not warm.
	workPeak       Peak
	connectionPeak Peak
}

func newWarmUp(config UpstreamConfig) warmUp {
	return warmUp{
		slots:        int(config.Slots),
		connections:  int(config.Connections),
		time:         config.WarmTime,
		warmWorkTime: config.WorkTime,
		startedAt:    time.Now(),
	}
}

// start begins a cold start with the given number of open connections.
func (w *warmUp) start(now time.Time, connections int) {
	w.startedAt = now
	w.initialConnections = connections
}

// progress returns a value from 0, a cold upstream, to 1, a warm one.
func (w *warmUp) progress(now time.Time) float64 {
	if w.time == 0 {
		return 1
	}
	return min(float64(now.Sub(w.startedAt))/float64(w.time), 1)
}

// interpolate returns the value between a cold and a warm capacity that the
// upstream has now.
func (w *warmUp) interpolate(now time.Time, cold, warm int) int {
	return cold + int(w.progress(now)*float64(warm-cold))
}

// workTime returns the time that one request or opening takes now.
func (w *warmUp) workTime(now time.Time) time.Duration {
	slowdown := coldSlowdown - w.progress(now)*(coldSlowdown-1)
	return time.Duration(slowdown * float64(w.warmWorkTime))
}

func (w *warmUp) collapsed(now time.Time) bool {
	return now.Before(w.collapsedUntil)
}

// recordWork records the number of openings and requests in progress, compares
// their moving average with the capacity and reports whether the upstream
// collapses. Requests of open flows arrive at random times and the upstream has a
// queue, so a short burst is not an overload: with 2 slots and a mean of 1.4
// requests, 3 are in progress 16% of the time, whatever the load balancer does.
func (w *warmUp) recordWork(now time.Time, load int) bool {
	if !w.workAt.IsZero() {
		weight := -math.Expm1(-now.Sub(w.workAt).Seconds() / averagingTime.Seconds())
		w.meanWork += (float64(w.workLoad) - w.meanWork) * weight
	}
	w.workAt = now
	w.workLoad = load
	capacity := w.interpolate(now, w.slots, w.slots*warmWorkPerSlot)
	collapses := w.recordLoad(now, &w.workPeak, w.meanWork, float64(capacity))
	if collapses {
		w.start(now, w.lastConnections)
	}
	return collapses
}

// recordConnections records the number of open connections, compares it with the
// capacity and reports whether the upstream collapses.
func (w *warmUp) recordConnections(now time.Time, load int) bool {
	w.lastConnections = load
	capacity := w.interpolate(now, max(w.slots, w.initialConnections), w.connections)
	collapses := w.recordLoad(now, &w.connectionPeak, float64(load), float64(capacity))
	if collapses {
		w.start(now, load)
	}
	return collapses
}

// recordLoad compares a load with the capacity, records the peak and reports
// whether a collapse begins. A warm upstream, and one without a limit, does not
// collapse.
func (w *warmUp) recordLoad(now time.Time, peak *Peak, load, capacity float64) bool {
	if capacity == 0 || w.progress(now) >= 1 {
		return false
	}
	peak.record(load, capacity)
	if load <= capacity || w.collapsed(now) {
		return false
	}
	w.collapsedUntil = now.Add(collapseTime)
	return true
}
