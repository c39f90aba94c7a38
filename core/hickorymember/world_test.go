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

const step = 10 * time.Millisecond

// world runs detectors and hosts in virtual time.
type world struct {
	now    hickorymodel.Instant
	random *rand.Rand
	nodes  []*node
	dead   map[hickorymodel.Endpoint]bool
	ids    map[hickorymodel.Endpoint]hickoryid.UpstreamID
	// lost says whether a datagram between a balancer and a host is lost;
	// delay is the time it takes in one direction.
	lost  func(balancer int, host hickorymodel.Endpoint, reply, newPort bool) bool
	delay func(host hickorymodel.Endpoint) time.Duration
	// flying holds the datagrams under way.
	flying []flight
	// reports counts by kind; tells and probes count messages.
	reports map[hickorymember.EventKind]int
	tells   int
	probes  int
}

type node struct {
	detector    *hickorymember.Detector
	index       int
	pausedUntil hickorymodel.Instant
	ejected     []hickoryid.UpstreamID
	moved       int
	told        func(views []hickorymember.View)
}

type flight struct {
	at   hickorymodel.Instant
	land func()
}

// newWorld prints its seed, which repeats a run.
func newWorld(t testing.TB, seed uint64, balancers int, service hickorymodel.Service) *world {
	t.Logf("seed %d", seed)
	w := &world{
		now:     1,
		random:  rand.New(rand.NewPCG(seed, 0)),
		dead:    map[hickorymodel.Endpoint]bool{},
		ids:     map[hickorymodel.Endpoint]hickoryid.UpstreamID{},
		lost:    func(int, hickorymodel.Endpoint, bool, bool) bool { return false },
		delay:   func(hickorymodel.Endpoint) time.Duration { return time.Millisecond },
		reports: map[hickorymember.EventKind]int{},
	}
	for _, upstream := range service.Upstreams {
		w.ids[upstream.Endpoint] = upstream.ID
	}
	list := balancerList(balancers)
	for i, self := range list {
		n := &node{index: i, told: func([]hickorymember.View) {}}
		n.detector = hickorymember.NewDetector(self, 1, rand.New(rand.NewPCG(seed, uint64(i+1))))
		w.nodes = append(w.nodes, n)
		w.perform(n, n.detector.SetBalancers(w.now, list))
		w.perform(n, n.detector.SetServices(w.now, []hickorymodel.Service{service}))
	}
	return w
}

func balancerList(count int) []hickorymember.Balancer {
	var list []hickorymember.Balancer
	for i := range count {
		list = append(list, hickorymember.Balancer{ID: hickoryid.InstanceID(fmt.Sprintf("balancer-%d", i)), Zone: "a", Region: "r"})
	}
	return list
}

// newService spreads upstreams over zones; zone a comes first.
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

func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now < end; {
		w.now = w.now.Add(step)
		due := w.flying
		w.flying = nil
		for _, f := range due {
			if w.now.Before(f.at) {
				w.flying = append(w.flying, f)
				continue
			}
			f.land()
		}
		for _, n := range w.nodes {
			if !w.now.Before(n.pausedUntil) && w.now.Sub(0)/step%(hickorymember.TickInterval/step) == 0 {
				w.perform(n, n.detector.Tick(w.now))
			}
		}
	}
}

func (w *world) fly(host hickorymodel.Endpoint, land func()) {
	w.flying = append(w.flying, flight{at: w.now.Add(w.delay(host)), land: land})
}

func (w *world) perform(n *node, actions []hickorymember.Action) {
	for _, action := range slices.Clone(actions) {
		switch action.Verb {
		case hickorymember.VerbProbe, hickorymember.VerbProbeNewPort:
			w.probe(n, action)
		case hickorymember.VerbSendViews:
			w.tells++
			n.told(action.Views)
			peer := w.nodes[slices.IndexFunc(w.nodes, func(o *node) bool {
				return hickoryid.InstanceID(fmt.Sprintf("balancer-%d", o.index)) == action.Peer.ID
			})]
			w.fly(hickorymodel.Endpoint{}, func() { w.perform(peer, peer.detector.HandleViews(w.now, action.Views)) })
		case hickorymember.VerbEject:
			n.ejected = action.Ejected
		case hickorymember.VerbKeepNewPort:
			n.moved++
		case hickorymember.VerbLog:
			w.reports[action.LogEvent.Kind]++
		default:
		}
	}
}

// probe carries a probe to its host and the answer back. A paused balancer
// loses the answers that reach it.
func (w *world) probe(n *node, action hickorymember.Action) {
	w.probes++
	newPort := action.Verb == hickorymember.VerbProbeNewPort
	reply := hickorymember.Reply{Sequence: action.Sequence, Upstream: w.ids[action.Target], Accepting: true}
	if w.lost(n.index, action.Target, false, newPort) {
		return
	}
	w.fly(action.Target, func() {
		if w.dead[action.Target] || w.lost(n.index, action.Target, true, newPort) {
			return
		}
		w.fly(action.Target, func() {
			if !w.now.Before(n.pausedUntil) {
				w.perform(n, n.detector.HandleReply(w.now, reply))
			}
		})
	})
}

// ejecting returns the number of balancers that eject an upstream.
func (w *world) ejecting(id hickoryid.UpstreamID) int {
	count := 0
	for _, n := range w.nodes {
		if slices.Contains(n.ejected, id) {
			count++
		}
	}
	return count
}
