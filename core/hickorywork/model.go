package hickorywork

import (
	"slices"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// maxRequests bounds the requests that a model knows of; further ones are not counted.
// Upstreams refuse connections long before.
const maxRequests = 512

// request is an unanswered request.
type request struct {
	flow hickorymodel.FlowKey
	kind
	begunAt hickorymodel.Instant
	// startedAt is when the request got a slot; it is unset while the request waits.
	startedAt hickorymodel.Instant
	// guessed is true if startedAt is a guess, so that the time of work is not learned.
	guessed bool
	// expectedWork and expectedWait are the estimates when the request was delivered.
	expectedWork time.Duration
	expectedWait time.Duration
}

// kind is what is known of the cost of a request before it is processed: its route and
// the class of its size.
type kind struct {
	route int
	size  int
}

// Sample compares the estimates for a request with what was measured.
type Sample struct {
	Worked       time.Duration
	ExpectedWork time.Duration
	Waited       time.Duration
	ExpectedWait time.Duration
}

// Model estimates the work of one upstream, which takes requests in the order in which
// they are delivered and processes as many at the same time as it has slots. It is not
// safe for concurrent use.
type Model struct {
	// onSample is called with each measured request for which there were estimates; nil
	// for no estimates.
	onSample func(*Sample)
	// onSpeedChange is called with the factor by which work has become longer.
	onSpeedChange func(factor float64)

	// slots is 0 while the number is not known: then no request waits.
	slots int
	// running has the requests in slots, waiting the others in the order of delivery;
	// together at most maxRequests.
	running []request
	waiting []request
	// misordered counts the answers to requests that were thought to wait.
	misordered int
	// now is the time of the last event.
	now hickorymodel.Instant

	// routes has the index of each route with a distribution of its own.
	routes  map[hickorydirectory.RouteHash]int
	learned learned
	sizes   sizes
	// coldUntil is when the cold start of the upstream ends; 0 for a warm one. Warm is
	// what was learned before it, nil for nothing.
	coldUntil hickorymodel.Instant
	warm      *learned
	// scratch holds the slots while a wait is estimated.
	scratch []slot
}

// Option sets an option of a model at construction.
type Option func(*Model)

// WithSamples sets the function that is called with each measured request for which
// there were estimates.
func WithSamples(onSample func(*Sample)) Option {
	return func(m *Model) {
		m.onSample = onSample
	}
}

// WithSpeedChanges sets the function that is called when the speed of the upstream has
// changed, with the factor by which work has become longer.
func WithSpeedChanges(onSpeedChange func(factor float64)) Option {
	return func(m *Model) {
		m.onSpeedChange = onSpeedChange
	}
}

// New returns a model that has learned nothing and does not know the number of slots.
func New(options ...Option) *Model {
	m := &Model{
		onSpeedChange: func(float64) {},
		routes:        map[hickorydirectory.RouteHash]int{},
		learned:       newLearned(),
		sizes:         sizes{weight: 1},
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// SetSlots sets the number of requests that the upstream processes at the same time; 0
// stands for an unknown number. Requests that wait get the slots that are added.
func (m *Model) SetSlots(slots int) {
	if slots == m.slots {
		return
	}
	if m.slots == 0 {
		m.learned.keep(minSamples) // the times so far may hold waits
	}
	m.slots = slots
	if slots > 0 && len(m.running) > slots {
		m.waiting = append(slices.Clone(m.running[slots:]), m.waiting...)
		m.running = m.running[:slots]
	}
	m.startWaiting(m.now, true)
}

// SetCold says that the upstream is in a cold start until the given time. What is
// learned then does not count afterwards.
func (m *Model) SetCold(now, until hickorymodel.Instant) {
	m.advance(now)
	if !now.Before(until) || until <= m.coldUntil {
		return
	}
	if m.coldUntil == 0 && m.Samples() >= minSamples {
		warm := m.learned
		m.warm = &warm
	}
	m.coldUntil = until
}

// Begin records that a request of unknown size was delivered.
func (m *Model) Begin(now hickorymodel.Instant, flow hickorymodel.FlowKey, route hickorydirectory.RouteHash) {
	m.BeginSized(now, flow, route, 0)
}

// BeginSized records that a request was delivered, of which size bytes are known.
func (m *Model) BeginSized(now hickorymodel.Instant, flow hickorymodel.FlowKey, route hickorydirectory.RouteHash, size int) {
	m.advance(now)
	m.Drop(flow)
	if len(m.running)+len(m.waiting) >= maxRequests {
		return
	}
	r := request{flow: flow, kind: kind{route: m.routeIndex(route), size: sizeClass(size)}, begunAt: now}
	if m.onSample != nil {
		r.expectedWork = m.mean(r.kind).duration()
		r.expectedWait = m.Wait(now)
	}
	m.waiting = append(m.waiting, r)
	m.startWaiting(now, false)
}

// End records that the answer to the request of a flow has begun. It returns the time
// of work without the wait for a slot, and false if that is not known.
func (m *Model) End(now hickorymodel.Instant, flow hickorymodel.FlowKey) (worked time.Duration, ok bool) {
	m.advance(now)
	if i := indexOf(m.running, flow); i >= 0 {
		r := m.running[i]
		m.running = slices.Delete(m.running, i, i+1)
		m.startWaiting(now, false)
		if r.guessed {
			return 0, false
		}
		worked = now.Sub(r.startedAt)
		m.learn(&r, worked)
		return worked, true
	}
	if i := indexOf(m.waiting, flow); i >= 0 {
		m.waiting = slices.Delete(m.waiting, i, i+1)
		m.correctOrder(now)
	}
	return 0, false
}

// Discard records the answer to the request of a flow whose time says nothing about work,
// such as an error.
func (m *Model) Discard(now hickorymodel.Instant, flow hickorymodel.FlowKey) {
	m.advance(now)
	if i := indexOf(m.running, flow); i >= 0 {
		m.running = slices.Delete(m.running, i, i+1)
		m.startWaiting(now, false)
		return
	}
	m.Drop(flow)
}

// Drop removes the request of a flow that ends without an answer. The upstream may still
// process it, so the start of the request that gets its slot is a guess.
func (m *Model) Drop(flow hickorymodel.FlowKey) {
	if i := indexOf(m.running, flow); i >= 0 {
		m.running = slices.Delete(m.running, i, i+1)
		m.startWaiting(m.now, true)
		return
	}
	if i := indexOf(m.waiting, flow); i >= 0 {
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}
}

// Doubt makes the time of work of the running requests unknown, because their answers may
// be noticed late.
func (m *Model) Doubt() {
	for i := range m.running {
		m.running[i].guessed = true
	}
}

// Misordered returns the number of requests that were answered while they were thought
// to wait. It stays low while the upstream has as many slots as stated and takes
// requests in the order of delivery.
func (m *Model) Misordered() int {
	return m.misordered
}

// Samples returns the number of recent requests that the estimates rest on.
func (m *Model) Samples() int {
	return int(m.learned.samples(allRoutes))
}

// advance lets what was learned age by the time since the last event.
func (m *Model) advance(now hickorymodel.Instant) {
	if m.now != 0 {
		m.learned.age(now.Sub(m.now))
	}
	m.now = max(m.now, now)
	if m.coldUntil != 0 && !now.Before(m.coldUntil) {
		m.endCold()
	}
}

// endCold ends a cold start: what was learned before counts again. If nothing was, the
// samples of the cold start count as few as an estimate needs.
func (m *Model) endCold() {
	m.coldUntil = 0
	if m.warm != nil {
		m.learned = *m.warm
		m.warm = nil
		return
	}
	m.learned.keep(minSamples)
}

// startWaiting gives free slots to the requests that have waited longest.
func (m *Model) startWaiting(now hickorymodel.Instant, guessed bool) {
	for len(m.waiting) > 0 && (m.slots == 0 || len(m.running) < m.slots) {
		r := m.waiting[0]
		m.waiting = slices.Delete(m.waiting, 0, 1)
		r.startedAt = now
		r.guessed = guessed
		m.running = append(m.running, r)
	}
}

// correctOrder handles the answer to a request that was thought to wait: it had the slot
// of a request that was thought to run, most likely of the one that was started last.
// That one gets the slot now.
func (m *Model) correctOrder(now hickorymodel.Instant) {
	m.misordered++
	var last *request
	for i := range m.running {
		if last == nil || m.running[i].startedAt >= last.startedAt {
			last = &m.running[i]
		}
	}
	if last != nil {
		last.startedAt = now
		last.guessed = true
	}
}

func (m *Model) learn(r *request, worked time.Duration) {
	if m.onSample != nil && r.expectedWork > 0 {
		m.onSample(&Sample{
			Worked: worked, ExpectedWork: r.expectedWork,
			Waited: r.startedAt.Sub(r.begunAt), ExpectedWait: r.expectedWait,
		})
	}
	if mean, ok := m.learned.mean(r.route); ok && mean > 0 {
		m.sizes.add(r.size, float64(toSeconds(worked)/mean))
	}
	m.learned.add(r.route, toSeconds(worked))
	if factor := m.learned.detectSpeedChange(); factor != 1 {
		m.onSpeedChange(factor)
	}
}

// routeIndex returns the index of the distribution of a route.
func (m *Model) routeIndex(route hickorydirectory.RouteHash) int {
	if i, ok := m.routes[route]; ok {
		return i
	}
	if len(m.routes) >= maxRoutes-1 {
		return maxRoutes - 1
	}
	i := len(m.routes)
	m.routes[route] = i
	return i
}

func indexOf(requests []request, flow hickorymodel.FlowKey) int {
	return slices.IndexFunc(requests, func(r request) bool { return r.flow == flow })
}
