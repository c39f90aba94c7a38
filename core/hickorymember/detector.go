package hickorymember

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// TickInterval is the longest allowed time between two calls of Tick.
	TickInterval = 50 * time.Millisecond
	// pauseLimit is the time between two calls of Tick from which the process
	// counts as paused. It is below probeTimeout, so a pause alone causes no miss.
	pauseLimit = 400 * time.Millisecond
)

// Detector is the failure detector of one balancer. It decides which probes and
// views to send and which upstreams are ejected, and returns these effects as
// actions. It is not safe for concurrent use.
type Detector struct {
	self   Balancer
	random *rand.Rand

	// services are the services in force, without the ejections decided here.
	services []hickorymodel.Service
	roster   roster
	// balancers is the list given to SetBalancers.
	balancers []Balancer
	// peers are the listed balancers without this one.
	peers []Balancer
	// nextPeerIndex is the index in peers of the next balancer to send views to.
	nextPeerIndex int

	// targets and ordered contain the same targets; ordered is sorted by upstream id.
	targets           map[hickoryid.UpstreamID]*target
	ordered           []*target
	lastProbeSequence int
	lastTick          hickorymodel.Instant
	// isolated is true while so many targets leave probes unanswered at the same time
	// that this balancer itself is probably cut off.
	isolated bool

	views  map[hickoryid.InstanceID]*storedView
	queue  viewQueue
	budget budget
	// lastViewSequence is the sequence of the newest view of this balancer.
	lastViewSequence int
	// ejected are the upstreams ejected now; limited are those that a quorum suspects
	// but a limit keeps from being ejected. Both are sorted.
	ejected []hickoryid.UpstreamID
	limited []hickoryid.UpstreamID

	// actions is the result of the last call; each call reuses the slice.
	actions []Action
}

// NewDetector returns a detector without targets. Sequences of views start
// after firstSequence. It must be higher than in every earlier process of the
// instance, as the start time in milliseconds is, because balancers discard views
// with lower sequences.
func NewDetector(self Balancer, firstSequence int, random *rand.Rand) *Detector {
	return &Detector{
		self:              self,
		random:            random,
		roster:            newRoster(nil),
		targets:           map[hickoryid.UpstreamID]*target{},
		lastProbeSequence: int(random.Uint32()),
		views:             map[hickoryid.InstanceID]*storedView{},
		budget:            newBudget(),
		lastViewSequence:  firstSequence,
	}
}

// SetServices applies the services in force. The actions are valid until the next call.
func (d *Detector) SetServices(now hickorymodel.Instant, services []hickorymodel.Service) []Action {
	d.actions = d.actions[:0]
	d.services = services
	d.chooseTargets(now)
	d.updateIsolated()
	d.publishOwnView(now)
	d.updateEjected()
	return d.actions
}

// SetBalancers applies the list of balancers that are not leaving. The actions
// are valid until the next call. An unchanged list has no effect.
func (d *Detector) SetBalancers(now hickorymodel.Instant, balancers []Balancer) []Action {
	d.actions = d.actions[:0]
	if slices.Equal(balancers, d.balancers) {
		return d.actions
	}
	d.balancers = slices.Clone(balancers)
	d.roster = newRoster(balancers)
	d.peers = slices.DeleteFunc(slices.Clone(balancers), func(b Balancer) bool { return b.ID == d.self.ID })
	d.nextPeerIndex = 0
	d.chooseTargets(now)
	d.updateIsolated()
	d.publishOwnView(now)
	d.updateEjected()
	return d.actions
}

// chooseTargets finds the upstreams that this balancer observes, and keeps the
// state of those that it observed before.
func (d *Detector) chooseTargets(now hickorymodel.Instant) {
	previous := d.targets
	d.targets = map[hickoryid.UpstreamID]*target{}
	d.ordered = d.ordered[:0]
	for i := range d.services {
		for j := range d.services[i].Upstreams {
			upstream := &d.services[i].Upstreams[j]
			if d.observes(&d.services[i], upstream) {
				d.addTarget(now, upstream, previous[upstream.ID])
			}
		}
	}
	for id, t := range previous {
		if d.targets[id] != t {
			d.dropNewPort(t)
		}
	}
	slices.SortFunc(d.ordered, func(a, b *target) int {
		return strings.Compare(string(a.upstream), string(b.upstream))
	})
}

// observes reports whether this balancer probes an upstream. An upstream whose
// zone is out of service must receive no packets, so no balancer probes it.
func (d *Detector) observes(service *hickorymodel.Service, upstream *hickorymodel.Upstream) bool {
	if _, listed := d.roster.listed[d.self.ID]; !listed || upstream.State == hickorymodel.UpstreamExcluded {
		return false
	}
	if upstream.Zone != d.self.Zone && d.roster.hasEnoughObservers(upstream.Zone) {
		return false
	}
	return slices.ContainsFunc(d.roster.observers(upstream, service.ExcludedZones), func(b Balancer) bool { return b.ID == d.self.ID })
}

func (d *Detector) addTarget(now hickorymodel.Instant, upstream *hickorymodel.Upstream, previous *target) {
	if _, known := d.targets[upstream.ID]; known {
		return
	}
	t := previous
	if t == nil || t.endpoint != upstream.Endpoint {
		t = &target{
			upstream:    upstream.ID,
			endpoint:    upstream.Endpoint,
			nextProbeAt: now.Add(d.jitter(probeInterval)),
		}
	}
	d.targets[upstream.ID] = t
	d.ordered = append(d.ordered, t)
}

// Tick sends the probes and views that are due at now, and expires unanswered
// probes and old views. It must be called at least every TickInterval. The actions
// are valid until the next call.
func (d *Detector) Tick(now hickorymodel.Instant) []Action {
	d.actions = d.actions[:0]
	if d.lastTick != 0 && now.Sub(d.lastTick) >= pauseLimit {
		d.resetAfterPause(now)
	}
	d.lastTick = now
	for _, t := range d.ordered {
		d.tickTarget(now, t)
	}
	d.updateIsolated()
	d.publishOwnView(now)
	if d.expireViews(now) {
		d.updateEjected()
	}
	d.sendViews(now)
	return d.actions
}
