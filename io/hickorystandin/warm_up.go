package hickorystandin

import (
	"math"
	"time"
)

const (
	// warmQueue is the number of openings and requests for each slot that a
	// warm upstream bears; a cold one bears one for each slot.
	warmWorkPerSlot = 4
	// coldSlowness is how much longer a cold upstream works on a request.
	coldSlowdown = 5
	// meanTime is the time constant of the mean of work in progress.
	averagingTime = time.Second
	// collapseTime is how long an upstream that had too much answers nothing.
	collapseTime = 2 * time.Second
)

// Peak is the highest load that a cold upstream saw against what it could bear then.
type Peak struct {
	Load     float64
	Capacity float64
}

// Utilization returns the load as a share of what the upstream could bear.
func (p Peak) Utilization() float64 {
	if p.Capacity == 0 {
		return 0
	}
	return p.Load / p.Capacity
}

func (p *Peak) record(load, capacity float64) {
	if candidate := (Peak{Load: load, Capacity: capacity}); candidate.Utilization() > p.Utilization() {
		*p = candidate
	}
}

// warmth says what an upstream bears on its way from cold to warm. What it
// bears rises evenly with time.
type warmUp struct {
	slots        int
	connections  int
	time         time.Duration
	warmWorkTime time.Duration
	startedAt    time.Time
	// held is the number of connections at the last start. An upstream that
	// becomes cold keeps them, so it bears them too.
	initialConnections int
	// open is the number of connections when one was last opened.
	connectionsNow int
	// deadUntil is the end of the last collapse.
	collapsedUntil time.Time
	// meanWork is the mean of the openings and requests in progress over about
	// meanTime, as of workAt; workLoad is their number since then.
	meanWork float64
	workAt   time.Time
	workLoad int
	// workPeak and connectionPeak cover the time while the upstream is not warm.
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

func (w *warmUp) start(now time.Time, connections int) {
	w.startedAt = now
	w.initialConnections = connections
}

// share is 0 for a cold upstream and 1 for a warm one.
func (w *warmUp) progress(now time.Time) float64 {
	if w.time == 0 {
		return 1
	}
	return min(float64(now.Sub(w.startedAt))/float64(w.time), 1)
}

func (w *warmUp) interpolate(now time.Time, cold, warm int) int {
	return cold + int(w.progress(now)*float64(warm-cold))
}

func (w *warmUp) workTime(now time.Time) time.Duration {
	slowdown := coldSlowdown - w.progress(now)*(coldSlowdown-1)
	return time.Duration(slowdown * float64(w.warmWorkTime))
}

func (w *warmUp) collapsed(now time.Time) bool {
	return now.Before(w.collapsedUntil)
}

// noteWork compares the mean of the openings and requests in progress with what
// the upstream bears and reports whether it collapses. Requests of open flows
// come at random times, and the upstream has a queue, so a short burst is no
// overload: with 2 slots and a mean of 1.4 requests, 3 at once occur in 16% of
// all moments whatever the system in front does.
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
		w.start(now, w.connectionsNow)
	}
	return collapses
}

// noteConnections does the same for open connections.
func (w *warmUp) recordConnections(now time.Time, load int) bool {
	w.connectionsNow = load
	capacity := w.interpolate(now, max(w.slots, w.initialConnections), w.connections)
	collapses := w.recordLoad(now, &w.connectionPeak, float64(load), float64(capacity))
	if collapses {
		w.start(now, load)
	}
	return collapses
}

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
