package hickorywork

import (
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

const (
	// maxSteps bounds the requests that are handed to slots for one estimate.
	maxSteps = 64
	// tailSamples is the weight, in samples, of the assumption that a request which has
	// run for long will run for as long again. It counts where few samples are as long.
	tailSamples = 1
	// negligible is the probability below which an integral ends.
	negligible = 0.001
)

// grid has the points, in units of a mean, between which distributions are integrated.
var grid = [...]seconds{0, 0.125, 0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 3, 4, 6, 8, 12, 16, 32}

// slot is a slot of the upstream while a wait is estimated.
type slot struct {
	kind
	// age is how long the request in it has run, remaining how much longer it is
	// expected to run.
	age       seconds
	remaining seconds
}

// ServiceTime returns the mean time of work of a request of the route, without waiting.
// It returns false while it is not known.
func (m *Model) ServiceTime(route hickorydirectory.RouteHash) (time.Duration, bool) {
	i, ok := m.routes[route]
	if !ok {
		i = maxRoutes - 1
	}
	mean, ok := m.learned.mean(i)
	return mean.duration(), ok
}

// MeanServiceTime returns the mean time of work over all routes. It returns false while
// it is not known.
func (m *Model) MeanServiceTime() (time.Duration, bool) {
	mean, ok := m.learned.mean(allRoutes)
	return mean.duration(), ok
}

// Slots returns the number of slots; 0 while it is not known.
func (m *Model) Slots() int {
	return m.slots
}

// FreeSlots returns the number of requests that get a slot at once if they are delivered
// now.
func (m *Model) FreeSlots() int {
	if m.slots == 0 {
		return maxRequests
	}
	return max(m.slots-len(m.running), 0)
}

// Remaining returns the expected time of work of the requests that the upstream has,
// summed over them; 0 while the service time is not known.
func (m *Model) Remaining(now hickorymodel.Instant) time.Duration {
	m.advance(now)
	sum := seconds(0)
	for i := range m.running {
		r := &m.running[i]
		sum += m.remaining(r.kind, toSeconds(now.Sub(r.startedAt)))
	}
	for i := range m.waiting {
		sum += m.mean(m.waiting[i].kind)
	}
	return sum.duration()
}

// Wait returns the expected time until a request that is delivered now gets a slot; 0
// while the service time or the number of slots is not known. It hands the waiting
// requests one after the other to the slot that is expected to be free first.
func (m *Model) Wait(now hickorymodel.Instant) time.Duration {
	m.advance(now)
	mean, ok := m.learned.mean(allRoutes)
	if m.FreeSlots() > 0 || !ok {
		return 0
	}
	m.fillScratch(now)
	next := m.nextFree()
	// Any of the requests may end first, so the first end comes before the earliest of
	// the expected ones.
	next.remaining = min(next.remaining, m.firstEnd(mean))
	steps := min(maxSteps, len(m.waiting))
	for i := range steps {
		next.remaining += m.mean(m.waiting[i].kind)
		next = m.nextFree()
	}
	rest := len(m.waiting) - steps
	return (next.remaining + seconds(rest)*mean/seconds(m.slots)).duration()
}

// nextFree returns the slot that is expected to be free first.
func (m *Model) nextFree() *slot {
	first := &m.scratch[0]
	for i := range m.scratch {
		if m.scratch[i].remaining < first.remaining {
			first = &m.scratch[i]
		}
	}
	return first
}

func (m *Model) fillScratch(now hickorymodel.Instant) {
	m.scratch = m.scratch[:0]
	for i := range m.running {
		r := &m.running[i]
		age := toSeconds(now.Sub(r.startedAt))
		m.scratch = append(m.scratch, slot{kind: r.kind, age: age, remaining: m.remaining(r.kind, age)})
	}
}

// firstEnd returns the expected time until the first of the requests in slots ends: the
// integral of the probability that none has.
func (m *Model) firstEnd(mean seconds) seconds {
	return integrate(mean, func(further seconds) float64 {
		running := 1.0
		for i := range m.scratch {
			running *= m.survival(m.scratch[i].kind, m.scratch[i].age, further)
		}
		return running
	})
}

// integrate returns the integral of the probability that something still runs after a
// further time, which is the expected time until it ends. The points of the grid are
// multiplied by unit.
func integrate(unit seconds, survival func(further seconds) float64) seconds {
	sum, before := seconds(0), 1.0
	for i := 1; i < len(grid); i++ {
		running := survival(grid[i] * unit)
		sum += (grid[i] - grid[i-1]) * unit * seconds(before+running) / 2
		if running < negligible {
			break
		}
		before = running
	}
	return sum
}

// mean returns the expected work of a request; 0 while it is not known.
func (m *Model) mean(k kind) seconds {
	mean, _ := m.learned.mean(k.route)
	if m.sizes.predict() {
		mean *= seconds(m.sizes.ratio(k.size))
	}
	return mean
}

// shape returns the distribution of the work of a request, the factor by which its times
// are to be multiplied, and the weight of a new sample in it.
func (m *Model) shape(k kind) (d *distribution, factor seconds, unit float64) {
	if mean, ok := m.learned.mean(k.route); ok && m.sizes.predict() && m.sizes.hasShape(k.size) {
		return &m.sizes.classes[k.size], mean, m.sizes.weight
	}
	d, factor = m.learned.shape(k.route)
	return d, factor, m.learned.weight
}

// remaining returns the expected time that a request which has run for age still runs.
func (m *Model) remaining(k kind, age seconds) seconds {
	mean := m.mean(k)
	if mean == 0 {
		return 0
	}
	return integrate(max(mean, age), func(further seconds) float64 {
		return m.survival(k, age, further)
	})
}

// survival returns the probability that a request which has run for age runs for more
// than a further time. Where few samples are as long, it is that of a heavy tail, with
// which the expected rest is the age, or the mean for a request that has just started.
func (m *Model) survival(k kind, age, further seconds) float64 {
	d, factor, unit := m.shape(k)
	scale := max(age, m.mean(k))
	tail := float64(scale / (scale + further))
	prior := tailSamples * unit
	longer := d.longer((age + further) / factor)
	return (longer + prior*tail*tail) / (d.longer(age/factor) + prior)
}
