package hickorymember_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hickoryworks/core/hickorymember"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// step is the time step of a simulation.
const step = 10 * time.Millisecond

// simulation runs the detectors of several balancers and the hosts that they
// probe in virtual time.
type simulation struct {
	now    hickorymodel.Instant
	random *rand.Rand
	nodes  []*node
	dead   map[hickorymodel.Endpoint]bool
	ids    map[hickorymodel.Endpoint]hickoryid.UpstreamID
	// lost reports whether a datagram between a balancer and a host is lost;
	// delay returns its time in transit, in one direction. The zero endpoint stands
	// for a call between balancers.
	lost  func(balancer int, host hickorymodel.Endpoint, reply, newPort bool) bool
	delay func(host hickorymodel.Endpoint) time.Duration
	// inFlight contains the datagrams and calls that have not arrived yet.
	inFlight []delayedDatagram
	// logEvents counts log events by kind; viewSends and probes count messages.
	logEvents map[hickorymember.EventKind]int
	viewSends int
	probes    int
}

// node is one balancer. transmitted is called with the views of each call that it
// makes.
type node struct {
	detector    *hickorymember.Detector
	index       int
	pausedUntil hickorymodel.Instant
	ejected     []hickoryid.UpstreamID
	pathMoves   int
	transmitted func(views []hickorymember.View)
}

// delayedDatagram is a datagram or call that arrives at a time.
type delayedDatagram struct {
	at      hickorymodel.Instant
	deliver func()
}

// newSimulation logs its seed, with which a run can be repeated.
func newSimulation(t testing.TB, seed uint64, balancers int, service hickorymodel.Service) *simulation {
	t.Logf("seed %d", seed)
	sim := &simulation{
		now:       1,
		random:    rand.New(rand.NewPCG(seed, 0)),
		dead:      map[hickorymodel.Endpoint]bool{},
		ids:       map[hickorymodel.Endpoint]hickoryid.UpstreamID{},
		lost:      func(int, hickorymodel.Endpoint, bool, bool) bool { return false },
		delay:     func(hickorymodel.Endpoint) time.Duration { return time.Millisecond },
		logEvents: map[hickorymember.EventKind]int{},
	}
	for _, upstream := range service.Upstreams {
		sim.ids[upstream.Endpoint] = upstream.ID
	}
	list := balancerList(balancers)
	for i, self := range list {
		n := &node{index: i, transmitted: func([]hickorymember.View) {}}
		n.detector = hickorymember.NewDetector(self, 1, rand.New(rand.NewPCG(seed, uint64(i+1))))
		sim.nodes = append(sim.nodes, n)
		sim.perform(n, n.detector.SetBalancers(sim.now, list))
		sim.perform(n, n.detector.SetServices(sim.now, []hickorymodel.Service{service}))
	}
	return sim
}

func balancerList(count int) []hickorymember.Balancer {
	var list []hickorymember.Balancer
	for i := range count {
		list = append(list, hickorymember.Balancer{ID: hickoryid.InstanceID(fmt.Sprintf("balancer-%d", i)), Zone: "a", Region: "r"})
	}
	return list
}

// newService returns a service whose upstreams take the zones in turn.
func newService(upstreams int, zones ...hickoryid.ZoneName) hickorymodel.Service {
	service := hickorymodel.Service{Name: "clubroom", Number: 1}
	for i := range upstreams {
		service.Upstreams = append(service.Upstreams, hickorymodel.Upstream{
			ID:       hickoryid.UpstreamID(fmt.Sprintf("host-%05d", i)),
			Zone:     zones[i%len(zones)],
			Endpoint: hickorymodel.Endpoint{Address: [4]byte{10, 0, byte(i >> 8), byte(i)}, Port: 6081},
		})
	}
	return service
}

func (sim *simulation) run(span time.Duration) {
	for end := sim.now.Add(span); sim.now < end; {
		sim.now = sim.now.Add(step)
		due := sim.inFlight
		sim.inFlight = nil
		for _, datagram := range due {
			if sim.now.Before(datagram.at) {
				sim.inFlight = append(sim.inFlight, datagram)
				continue
			}
			datagram.deliver()
		}
		for _, n := range sim.nodes {
			if !sim.now.Before(n.pausedUntil) && sim.now.Sub(0)/step%(hickorymember.TickInterval/step) == 0 {
				sim.perform(n, n.detector.Tick(sim.now))
			}
		}
	}
}

func (sim *simulation) schedule(host hickorymodel.Endpoint, deliver func()) {
	sim.inFlight = append(sim.inFlight, delayedDatagram{at: sim.now.Add(sim.delay(host)), deliver: deliver})
}

func (sim *simulation) perform(n *node, actions []hickorymember.Action) {
	for _, action := range slices.Clone(actions) {
		switch action.Verb {
		case hickorymember.VerbProbe, hickorymember.VerbProbeNewPort:
			sim.probe(n, action)
		case hickorymember.VerbSendViews:
			sim.viewSends++
			n.transmitted(action.Views)
			peer := sim.nodes[slices.IndexFunc(sim.nodes, func(o *node) bool {
				return hickoryid.InstanceID(fmt.Sprintf("balancer-%d", o.index)) == action.Peer.ID
			})]
			sim.schedule(hickorymodel.Endpoint{}, func() { sim.perform(peer, peer.detector.HandleViews(sim.now, action.Views)) })
		case hickorymember.VerbEject:
			n.ejected = action.Ejected
		case hickorymember.VerbKeepNewPort:
			n.pathMoves++
		case hickorymember.VerbLog:
			sim.logEvents[action.LogEvent.Kind]++
		default:
		}
	}
}

// probe delivers a probe to its host and the answer to the balancer. A paused
// balancer loses the answers that arrive.
func (sim *simulation) probe(n *node, action hickorymember.Action) {
	sim.probes++
	newPort := action.Verb == hickorymember.VerbProbeNewPort
	reply := hickorymember.Reply{Sequence: action.Sequence, Upstream: sim.ids[action.Target], Accepting: true}
	if sim.lost(n.index, action.Target, false, newPort) {
		return
	}
	sim.schedule(action.Target, func() {
		if sim.dead[action.Target] || sim.lost(n.index, action.Target, true, newPort) {
			return
		}
		sim.schedule(action.Target, func() {
			if !sim.now.Before(n.pausedUntil) {
				sim.perform(n, n.detector.HandleReply(sim.now, reply))
			}
		})
	})
}

// countEjecting returns the number of balancers that eject an upstream.
func (sim *simulation) countEjecting(id hickoryid.UpstreamID) int {
	count := 0
	for _, n := range sim.nodes {
		if slices.Contains(n.ejected, id) {
			count++
		}
	}
	return count
}
