package hickoryscenario

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// defaultDelay is the one-way delay between two processes.
const defaultDelay = time.Millisecond

// simulation is one simulated region in virtual time. It holds the processes, carries
// packets and messages between them, and records the history that the checks read.
type simulation struct {
	seed   uint64
	random *rand.Rand
	now    hickorymodel.Instant

	queue    eventQueue
	sequence int
	// linkRules are the faults of the network. All rules that match a packet or
	// message apply to it, in order.
	linkRules []linkRule

	sections  map[string]*section
	agents    map[string]*agent
	balancers map[string]*balancer
	// names holds agents and balancers in the order in which they started.
	names []string

	flows []*flow
	sent  []sentPacket
	log   history
	// logf writes to the log of the test.
	logf func(format string, args ...any)
	// overrides switch off rules of the system, to show that a check can fail.
	overrides overrides
}

// overrides are ways in which the driver departs from the rules of the system. The
// zero value keeps all rules.
type overrides struct {
	// rewrite changes a packet before an agent handles it.
	rewrite func(sim *simulation, to *agent, p *hickoryflow.Packet)
	// skipTracker reports whether an agent delivers a packet to its upstream without
	// passing it to the tracker.
	skipTracker func(p *sentPacket) bool
	// queryOnly makes agents query all upstreams of the section for the owner of an
	// unknown flow, and ignore the candidate list after its first entry.
	queryOnly bool
	// dropRedirectEntries makes agents ignore all redirect entries that they receive.
	dropRedirectEntries bool
	// omitTransitionFlag makes balancers send packets without FlagTransition, so that
	// homes send no owner queries before they become owners.
	omitTransitionFlag bool
	// onlyHome makes balancers send candidate lists with the first entry, the home, only.
	onlyHome bool
	// staleRead makes processes apply a version that is older than the last one.
	staleRead bool
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		seed:      seed,
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       hickorymodel.Instant(time.Hour),
		sections:  map[string]*section{},
		agents:    map[string]*agent{},
		balancers: map[string]*balancer{},
		log: history{
			drops:    map[hickorymessage.DropReason]int{},
			messages: map[string]int{},
		},
	}
}

// event is a function that is called at a point in virtual time.
type event struct {
	at       hickorymodel.Instant
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// after schedules a function at the present virtual time plus d. Functions of the
// same time run in the order in which they were scheduled.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), sequence: sim.sequence, run: run})
}

// wait runs all events of the next d of virtual time.
func (sim *simulation) wait(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !end.Before(sim.queue[0].at) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// linkRule changes what happens to packets and messages between two processes.
type linkRule struct {
	// kind is "packet", "reply" or a kind of message; from and to are names of
	// processes or "caller". Each may be "*", which matches all.
	kind, from, to string
	// loss is a probability from 0 to 1.
	loss          float64
	delay, jitter time.Duration
	// repeat is the number of additional copies.
	repeat int
}

func (r linkRule) matches(kind, from, to string) bool {
	return (r.kind == "*" || r.kind == kind) && (r.from == "*" || r.from == from) && (r.to == "*" || r.to == to)
}

// transmit simulates the network between two processes: it schedules arrive after
// the delay, once for each copy, or not at all if the packet or message is lost.
func (sim *simulation) transmit(kind, from, to string, arrive func()) {
	delay := defaultDelay
	copies := 1
	for _, r := range sim.linkRules {
		if !r.matches(kind, from, to) {
			continue
		}
		if sim.random.Float64() < r.loss {
			return
		}
		delay += r.delay
		if r.jitter > 0 {
			delay += time.Duration(sim.random.Int64N(int64(r.jitter)))
		}
		copies += r.repeat
	}
	for i := range copies {
		sim.after(delay+time.Duration(i)*10*time.Millisecond, arrive)
	}
}

// nameOf returns the name of the process with an endpoint, or the endpoint as text
// if there is none.
func (sim *simulation) nameOf(endpoint hickorymodel.Endpoint) string {
	for _, name := range sim.names {
		if sim.endpointOf(name) == endpoint {
			return name
		}
	}
	return endpoint.String()
}

func (sim *simulation) endpointOf(name string) hickorymodel.Endpoint {
	if a, ok := sim.agents[name]; ok {
		return a.endpoint
	}
	if b, ok := sim.balancers[name]; ok {
		return b.endpoint
	}
	return hickorymodel.Endpoint{}
}

// section is the configuration of one service as the operators have changed it.
type section struct {
	service hickorymodel.Service
	// zones is true for zones that are out of service.
	zones  map[hickoryid.ZoneName]bool
	states map[hickoryid.UpstreamID]hickorymodel.UpstreamState
	// published is the service at the last publication.
	published hickorymodel.Service
}

// snapshot returns the service as the section describes it now.
func (s *section) snapshot() hickorymodel.Service {
	service := s.service
	service.Addresses = append([]hickorymodel.ServiceAddress(nil), s.service.Addresses...)
	service.Upstreams = nil
	service.ExcludedZones = nil
	for _, upstream := range s.service.Upstreams {
		upstream.State = s.states[upstream.ID]
		if s.zones[upstream.Zone] {
			upstream.State = hickorymodel.UpstreamExcluded
		}
		service.Upstreams = append(service.Upstreams, upstream)
	}
	for zone, out := range s.zones {
		if out {
			service.ExcludedZones = append(service.ExcludedZones, zone)
		}
	}
	return service
}
