package hickorymember_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorymember"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// detectionLimit is the time that section 9 of the design allows: three intervals
// with jitter, the last timeout, the confirmation, and a second to send the views.
const detectionLimit = 3*1100*time.Millisecond + 500*time.Millisecond + 750*time.Millisecond + time.Second

// TestDeadHostIsEjectedAndReadmitted guards against balancers that don't eject a
// dead host in time, or don't readmit it after it answers again.
func TestDeadHostIsEjectedAndReadmitted(t *testing.T) {
	is := is.New(t)
	service := newService(10, "a")
	sim := newSimulation(t, 1, 8, service)
	sim.run(5 * time.Second)
	deadHost := service.Upstreams[4]
	sim.dead[deadHost.Endpoint] = true
	sim.run(detectionLimit)
	is.Equal(sim.countEjecting(deadHost.ID), 8)
	sim.run(time.Minute)
	is.Equal(sim.countEjecting(deadHost.ID), 8) // refreshes keep the views from expiring
	delete(sim.dead, deadHost.Endpoint)
	sim.run(detectionLimit)
	is.Equal(sim.countEjecting(deadHost.ID), 0)
}

// TestLiveHostStays guards against the ejection of live hosts because of packet
// loss, delays, or observers that are paused or cut off.
func TestLiveHostStays(t *testing.T) {
	lossEachWay := func(sim *simulation) {
		sim.lost = func(int, hickorymodel.Endpoint, bool, bool) bool { return sim.random.IntN(20) == 0 }
	}
	cases := []struct {
		name   string
		inject func(sim *simulation)
	}{
		{"one way lost for one observer", func(sim *simulation) {
			first := -1
			sim.lost = func(b int, h hickorymodel.Endpoint, reply, _ bool) bool {
				if h.Address[3] == 4 && first < 0 {
					first = b
				}
				return h.Address[3] == 4 && b == first && reply
			}
		}},
		{"observer cut off", func(sim *simulation) {
			sim.lost = func(b int, _ hickorymodel.Endpoint, _, _ bool) bool { return b == 0 }
		}},
		{"all observers cut off", func(sim *simulation) { sim.lost = func(int, hickorymodel.Endpoint, bool, bool) bool { return true } }},
		{"5% loss each way", lossEachWay},
		{"delay 200 ms", func(sim *simulation) {
			sim.delay = func(hickorymodel.Endpoint) time.Duration { return 200 * time.Millisecond }
		}},
		{"jitter up to 400 ms", func(sim *simulation) {
			sim.delay = func(hickorymodel.Endpoint) time.Duration {
				return time.Duration(sim.random.Int64N(int64(400 * time.Millisecond)))
			}
		}},
		{"one host answers after 1.4 s", func(sim *simulation) {
			sim.delay = func(h hickorymodel.Endpoint) time.Duration {
				if h.Address[3] == 4 {
					return 700 * time.Millisecond
				}
				return time.Millisecond
			}
		}},
		{"observers pause again and again", func(sim *simulation) {
			for range 20 {
				for _, n := range sim.nodes {
					n.pausedUntil = sim.now.Add(time.Duration(sim.random.Int64N(int64(5 * time.Second))))
				}
				sim.run(6 * time.Second)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 2, 6, newService(12, "a"))
			sim.run(5 * time.Second)
			c.inject(sim)
			sim.run(10 * time.Minute)
			is.Equal(sim.logEvents[hickorymember.EventEjected], 0)
		})
	}
}

// TestMissesDuringPauseDoNotCount guards against an observer that suspects its
// targets because it did not run itself: the answers arrive while it is paused,
// and are lost.
func TestMissesDuringPauseDoNotCount(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3, 3, newService(3, "a"))
	sim.delay = func(hickorymodel.Endpoint) time.Duration { return 100 * time.Millisecond }
	for range 200 {
		sim.run(150 * time.Millisecond)
		sim.nodes[0].pausedUntil = sim.now.Add(900 * time.Millisecond)
		sim.run(900 * time.Millisecond)
	}
	is.Equal(sim.logEvents[hickorymember.EventSuspected], 0)
	is.True(sim.logEvents[hickorymember.EventPaused] >= 190)
}

// TestSilentPathMovesToNewPort guards against a suspicion of a host that only
// the source port of the data no longer reaches. The data must move to a new port.
func TestSilentPathMovesToNewPort(t *testing.T) {
	is := is.New(t)
	service := newService(5, "a")
	sim := newSimulation(t, 4, 3, service)
	sim.run(3 * time.Second)
	sim.lost = func(b int, h hickorymodel.Endpoint, _, newPort bool) bool {
		return sim.nodes[b].pathMoves == 0 && h == service.Upstreams[1].Endpoint && !newPort
	}
	sim.run(detectionLimit)
	for _, n := range sim.nodes {
		is.Equal(n.pathMoves, 1)
	}
	sim.run(time.Minute)
	is.Equal(sim.logEvents[hickorymember.EventSuspected], 0)
}

// TestDoubtfulObserverWithdraws guards against suspicions sent by an isolated
// observer: it is cut off itself, so none of its targets answers it.
func TestDoubtfulObserverWithdraws(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 5, 3, newService(10, "a"))
	sim.nodes[0].transmitted = func(views []hickorymember.View) {
		for _, view := range views {
			is.True(view.Observer != "balancer-0" || len(view.Suspects) == 0)
		}
	}
	sim.run(3 * time.Second)
	sim.lost = func(b int, _ hickorymodel.Endpoint, _, _ bool) bool { return b == 0 }
	sim.run(time.Minute)
	is.Equal(sim.logEvents[hickorymember.EventIsolated], 1)
}

// TestEjectionLimits guards against suspicions that take a service down: too many
// of its upstreams, or all of a second zone, would be ejected.
func TestEjectionLimits(t *testing.T) {
	cases := []struct {
		name      string
		upstreams int
		zones     []hickoryid.ZoneName
		suspects  []int
		want      int
	}{
		{"one of three", 3, []hickoryid.ZoneName{"a", "b", "c"}, []int{0, 1}, 1},
		{"the only one", 1, []hickoryid.ZoneName{"a"}, []int{0}, 1},
		{"20% of ten", 10, []hickoryid.ZoneName{"a"}, []int{0, 1, 2, 3, 4}, 2},
		{"one zone of five", 10, []hickoryid.ZoneName{"a", "a", "a", "a", "a", "a", "a", "a", "b", "c"}, []int{8, 9}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			service := newService(c.upstreams, c.zones...)
			sim := newSimulation(t, 6, 3, service)
			var suspects []hickoryid.UpstreamID
			for _, index := range c.suspects {
				suspects = append(suspects, service.Upstreams[index].ID)
			}
			n := sim.nodes[0]
			for _, observer := range []hickoryid.InstanceID{"balancer-1", "balancer-2", "unlisted"} {
				sim.perform(n, n.detector.HandleViews(sim.now, []hickorymember.View{{Observer: observer, Sequence: 5, Suspects: suspects}}))
				is.True(observer != "balancer-1" || len(n.ejected) == 0) // one observer is no quorum
			}
			is.Equal(len(n.ejected), c.want)
			sim.perform(n, n.detector.HandleViews(sim.now, []hickorymember.View{{Observer: "balancer-1", Sequence: 4}}))
			is.Equal(len(n.ejected), c.want) // an older view changes nothing
			sim.perform(n, n.detector.HandleViews(sim.now, []hickorymember.View{{Observer: "balancer-1", Sequence: 6}}))
			is.Equal(len(n.ejected), 0)
		})
	}
}

// TestObserversPerHost guards against hosts with more or fewer than three
// observers, before and after a balancer leaves, and against an observer of an
// excluded host.
func TestObserversPerHost(t *testing.T) {
	is := is.New(t)
	service := newService(200, "a")
	service.Upstreams[7].State = hickorymodel.UpstreamExcluded
	list := balancerList(20)
	targets := func(list []hickorymember.Balancer) int {
		total := 0
		for _, self := range list {
			d := hickorymember.NewDetector(self, 1, newSimulation(t, 7, 0, service).random)
			d.SetBalancers(1, list)
			d.SetServices(1, []hickorymodel.Service{service})
			total += d.Footprint().Targets
		}
		return total
	}
	is.Equal(targets(list), 199*3)
	is.Equal(targets(slices.Delete(slices.Clone(list), 3, 4)), 199*3)
	is.Equal(targets(list[:2]), 199*2)
}

// TestTellingStaysInBudget guards against calls of a balancer that take more than
// 1 KB/s, while packet loss makes the suspicions of all hosts come and go.
func TestTellingStaysInBudget(t *testing.T) {
	is := is.New(t)
	service := newService(60, "a")
	sim := newSimulation(t, 8, 6, service)
	sim.lost = func(int, hickorymodel.Endpoint, bool, bool) bool { return sim.random.IntN(4) == 0 }
	const span = 10 * time.Minute
	bytes := 0
	sim.nodes[0].transmitted = func(views []hickorymember.View) { bytes += encodedCall(is, views) }
	sim.run(span)
	t.Logf("%d bytes sent in %s, %d calls by all balancers", bytes, span, sim.viewSends)
	is.True(bytes > 0)
	is.True(bytes <= 24000+1000*int(span/time.Second))
}

// TestZoneOutOfServiceObservesNothing guards against probes by a balancer in a
// zone that is out of service: the answers would be packets into the zone, which
// must receive none (guarantee P4 of the design).
func TestZoneOutOfServiceObservesNothing(t *testing.T) {
	is := is.New(t)
	self := hickorymember.Balancer{ID: "balancer-b", Zone: "b", Region: "r"}
	detector := hickorymember.NewDetector(self, 1, rand.New(rand.NewPCG(1, 1)))
	detector.SetBalancers(1, []hickorymember.Balancer{{ID: "balancer-a", Zone: "a", Region: "r"}, self})
	service := hickorymodel.Service{Name: "clubroom", Number: 1, Upstreams: []hickorymodel.Upstream{{
		ID: "clubroom-1", Zone: "a", Endpoint: hickorymodel.Endpoint{Address: [4]byte{10, 0, 0, 1}, Port: 1},
	}}}
	now := hickorymodel.Instant(time.Second)
	probes := func() int {
		detector.SetServices(now, []hickorymodel.Service{service})
		count := 0
		for range 20 {
			now = now.Add(200 * time.Millisecond)
			for _, action := range detector.Tick(now) {
				if action.Verb == hickorymember.VerbProbe || action.Verb == hickorymember.VerbProbeNewPort {
					count++
				}
			}
		}
		return count
	}
	is.True(probes() > 0) // zone a has one balancer only, so the one of zone b probes too
	service.ExcludedZones = []hickoryid.ZoneName{"b"}
	is.Equal(probes(), 0)
}
