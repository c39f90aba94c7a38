package hickorywork

import (
	"math"
	"time"
)

const (
	// sampleHalfLife is the number of requests after which a sample weighs half. It is
	// long enough that a kind of request that comes once in thirty keeps its share.
	sampleHalfLife = 128
	// idleHalfLife is the time after which a sample weighs half if no requests come.
	idleHalfLife = time.Minute
	// minSamples is the number of samples from which on there is an estimate.
	minSamples = 8
	// routeSamples is the number of samples with which the mean of all routes counts in
	// the mean of each: a route with a few samples costs about what others cost.
	routeSamples = 4
	// shapeSamples is the number of samples from which on a route has a distribution of
	// its own.
	shapeSamples = 32
	// outlierRatio bounds what one sample adds to the sum: this many times the mean.
	// Heavy tails are below it; a request that hung for seconds is not.
	outlierRatio = 16
	// maxWeight is the weight of a new sample at which all weights are scaled down.
	maxWeight = 1e9

	// maxRoutes is the number of routes with a distribution of their own; the last one
	// is shared by all further routes.
	maxRoutes = 16
	allRoutes = maxRoutes
)

// sample is a measured time of work.
type sample struct {
	route int
	work  seconds
	// capped is work, bounded by outlierRatio: what the sample adds to sums.
	capped seconds
	weight float64
}

// learned is what a model has learned from the requests that have ended. The newest
// samples are in window and enter the distributions when they leave it, so that they can
// be compared with the distributions.
type learned struct {
	// distributions has one for each route, and that of all requests.
	distributions [maxRoutes + 1]distribution
	window        [windowSize]sample
	// windowed is the number of samples in window; next is where the next one goes.
	windowed int
	next     int
	// weight is that of a sample which is added now. It rises, so that earlier samples
	// weigh less without being touched.
	weight float64
}

func newLearned() learned {
	return learned{weight: 1}
}

// age lets the samples weigh less by the time that has passed.
func (l *learned) age(passed time.Duration) {
	if passed <= 0 {
		return
	}
	l.weight *= math.Exp2(float64(passed) / float64(idleHalfLife))
	l.limitWeight()
}

// add adds a time of work.
func (l *learned) add(route int, work seconds) {
	l.weight *= math.Exp2(1.0 / sampleHalfLife)
	l.limitWeight()
	added := sample{route: route, work: work, capped: work, weight: l.weight}
	if mean, ok := l.mean(route); ok {
		added.capped = min(work, outlierRatio*mean)
	}
	if l.windowed == windowSize {
		l.release(&l.window[l.next])
	} else {
		l.windowed++
	}
	l.window[l.next] = added
	l.next = (l.next + 1) % windowSize
	l.distributions[route].addRecent(added.capped, added.weight)
	l.distributions[allRoutes].addRecent(added.capped, added.weight)
}

// release moves a sample from the window into the distributions.
func (l *learned) release(s *sample) {
	for _, i := range [...]int{s.route, allRoutes} {
		l.distributions[i].addRecent(s.capped, -s.weight)
		l.distributions[i].add(s.work, s.capped, s.weight)
	}
}

// keep lets the samples so far weigh no more than a number of new ones.
func (l *learned) keep(samples float64) {
	l.weight *= max(1, l.samples(allRoutes)/samples)
	l.limitWeight()
}

// limitWeight scales all weights down before they are too large to add small ones.
func (l *learned) limitWeight() {
	if l.weight > maxWeight {
		l.scale(1 / l.weight)
		l.weight = 1
	}
}

func (l *learned) scale(factor float64) {
	for i := range l.distributions {
		l.distributions[i].scale(factor)
	}
	for i := range l.window {
		l.window[i].weight *= factor
	}
}

// samples returns the number of requests of a route that the estimates rest on, each
// by its weight.
func (l *learned) samples(route int) float64 {
	d := &l.distributions[route]
	return (d.weight + d.recentWeight) / l.weight
}

// mean returns the mean time of work of a route; false while there are too few samples.
func (l *learned) mean(route int) (seconds, bool) {
	if l.samples(allRoutes) < minSamples {
		return 0, false
	}
	all := &l.distributions[allRoutes]
	mean := (all.sum + all.recentSum) / seconds(all.weight+all.recentWeight)
	if route == allRoutes {
		return mean, true
	}
	d := &l.distributions[route]
	prior := routeSamples * l.weight
	return (d.sum + d.recentSum + seconds(prior)*mean) / seconds(d.weight+d.recentWeight+prior), true
}

// shape returns the distribution for a route, and the factor by which its times are to
// be multiplied.
func (l *learned) shape(route int) (*distribution, seconds) {
	d := &l.distributions[route]
	if d.weight >= shapeSamples*l.weight {
		return d, 1
	}
	all, _ := l.mean(allRoutes)
	own, _ := l.mean(route)
	if all <= 0 || own <= 0 {
		return &l.distributions[allRoutes], 1
	}
	return &l.distributions[allRoutes], own / all
}
