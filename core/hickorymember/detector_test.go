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

// detectionLimit is the sum of what section 9 of the design allows: three
// intervals with jitter, the last timeout, the confirmation, and a second for telling.
const detectionLimit = 3*1100*time.Millisecond + 500*time.Millisecond + 750*time.Millisecond + time.Second

// TestDeadHostIsEjectedAndReadmitted guards detection by all balancers, and that
// a host that answers again gets flows again.
func TestDeadHostIsEjectedAndReadmitted(t *testing.T) {
	is := is.New(t)
	service := newService(10, "a")
	w := newWorld(t, 1, 8, service)
	w.run(5 * time.Second)
	victim := service.Upstreams[4]
	w.dead[victim.Endpoint] = true
	w.run(detectionLimit)
	is.Equal(w.ejecting(victim.ID), 8)
	w.run(time.Minute)
	is.Equal(w.ejecting(victim.ID), 8) // the refresh keeps the views alive
	delete(w.dead, victim.Endpoint)
	w.run(detectionLimit)
	is.Equal(w.ejecting(victim.ID), 0)
}

// TestLiveHostStays guards against ejections that no dead host caused.
func TestLiveHostStays(t *testing.T) {
	lossy := func(w *world) {
		w.lost = func(int, hickorymodel.Endpoint, bool, bool) bool { return w.random.IntN(20) == 0 }
	}
	cases := []struct {
		name    string
		disturb func(w *world)
	}{
		{"one way lost for one observer", func(w *world) {
			first := -1
			w.lost = func(b int, h hickorymodel.Endpoint, reply, _ bool) bool {
				if h.Address[3] == 4 && first < 0 {
					first = b
				}
				return h.Address[3] == 4 && b == first && reply
			}
		}},
		{"observer cut off", func(w *world) { w.lost = func(b int, _ hickorymodel.Endpoint, _, _ bool) bool { return b == 0 } }},
		{"all observers cut off", func(w *world) { w.lost = func(int, hickorymodel.Endpoint, bool, bool) bool { return true } }},
		{"5% loss each way", lossy},
		{"delay 200 ms", func(w *world) { w.delay = func(hickorymodel.Endpoint) time.Duration { return 200 * time.Millisecond } }},
		{"jitter up to 400 ms", func(w *world) {
			w.delay = func(hickorymodel.Endpoint) time.Duration {
				return time.Duration(w.random.Int64N(int64(400 * time.Millisecond)))
			}
		}},
		{"one host answers after 1.4 s", func(w *world) {
			w.delay = func(h hickorymodel.Endpoint) time.Duration {
				if h.Address[3] == 4 {
					return 700 * time.Millisecond
				}
				return time.Millisecond
			}
		}},
		{"observers pause again and again", func(w *world) {
			for range 20 {
				for _, n := range w.nodes {
					n.pausedUntil = w.now.Add(time.Duration(w.random.Int64N(int64(5 * time.Second))))
				}
				w.run(6 * time.Second)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 2, 6, newService(12, "a"))
			w.run(5 * time.Second)
			c.disturb(w)
			w.run(10 * time.Minute)
			is.Equal(w.reports[hickorymember.EventEjected], 0)
		})
	}
}

// TestMissesDuringPauseDoNotCount guards against an observer that suspects its
// targets because it did not run itself. The answers arrive while it is paused.
func TestMissesDuringPauseDoNotCount(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 3, newService(3, "a"))
	w.delay = func(hickorymodel.Endpoint) time.Duration { return 100 * time.Millisecond }
	for range 200 {
		w.run(150 * time.Millisecond)
		w.nodes[0].pausedUntil = w.now.Add(900 * time.Millisecond)
		w.run(900 * time.Millisecond)
	}
	is.Equal(w.reports[hickorymember.EventSuspected], 0)
	is.True(w.reports[hickorymember.EventPaused] >= 190)
}

// TestSilentPathMovesToNewPort guards against a suspicion of a host of which
// only the path of the data has gone silent.
func TestSilentPathMovesToNewPort(t *testing.T) {
	is := is.New(t)
	service := newService(5, "a")
	w := newWorld(t, 4, 3, service)
	w.run(3 * time.Second)
	w.lost = func(b int, h hickorymodel.Endpoint, _, newPort bool) bool {
		return w.nodes[b].moved == 0 && h == service.Upstreams[1].Endpoint && !newPort
	}
	w.run(detectionLimit)
	for _, n := range w.nodes {
		is.Equal(n.moved, 1)
	}
	w.run(time.Minute)
	is.Equal(w.reports[hickorymember.EventSuspected], 0)
}

// TestDoubtfulObserverWithdraws guards that an observer in doubt reports nothing,
// although its targets do not answer it.
func TestDoubtfulObserverWithdraws(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 5, 3, newService(10, "a"))
	w.nodes[0].told = func(views []hickorymember.View) {
		for _, view := range views {
			is.True(view.Observer != "balancer-0" || len(view.Suspects) == 0)
		}
	}
	w.run(3 * time.Second)
	w.lost = func(b int, _ hickorymodel.Endpoint, _, _ bool) bool { return b == 0 }
	w.run(time.Minute)
	is.Equal(w.reports[hickorymember.EventIsolated], 1)
}

// TestEjectionLimits guards that suspicions can't take a service down.
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
			w := newWorld(t, 6, 3, service)
			var suspects []hickoryid.UpstreamID
			for _, index := range c.suspects {
				suspects = append(suspects, service.Upstreams[index].ID)
			}
			n := w.nodes[0]
			for _, observer := range []hickoryid.InstanceID{"balancer-1", "balancer-2", "stranger"} {
				w.perform(n, n.detector.HandleViews(w.now, []hickorymember.View{{Observer: observer, Sequence: 5, Suspects: suspects}}))
				is.True(observer != "balancer-1" || len(n.ejected) == 0) // one observer is no quorum
			}
			is.Equal(len(n.ejected), c.want)
			w.perform(n, n.detector.HandleViews(w.now, []hickorymember.View{{Observer: "balancer-1", Sequence: 4}}))
			is.Equal(len(n.ejected), c.want) // an older view changes nothing
			w.perform(n, n.detector.HandleViews(w.now, []hickorymember.View{{Observer: "balancer-1", Sequence: 6}}))
			is.Equal(len(n.ejected), 0)
		})
	}
}

// TestObserversPerHost guards that each host has three observers, that an excluded
// host has none, and that a leaving balancer moves only its own hosts.
func TestObserversPerHost(t *testing.T) {
	is := is.New(t)
	service := newService(200, "a")
	service.Upstreams[7].State = hickorymodel.UpstreamExcluded
	list := balancerList(20)
	targets := func(list []hickorymember.Balancer) int {
		total := 0
		for _, self := range list {
			d := hickorymember.NewDetector(self, 1, newWorld(t, 7, 0, service).random)
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

// TestTellingStaysInBudget guards the limit of 1 KB/s for the calls of a balancer
// while every host of the zone comes and goes.
func TestTellingStaysInBudget(t *testing.T) {
	is := is.New(t)
	service := newService(60, "a")
	w := newWorld(t, 8, 6, service)
	w.lost = func(int, hickorymodel.Endpoint, bool, bool) bool { return w.random.IntN(4) == 0 }
	const span = 10 * time.Minute
	bytes := 0
	w.nodes[0].told = func(views []hickorymember.View) { bytes += encodedCall(is, views) }
	w.run(span)
	t.Logf("%d bytes told in %s, %d calls of all balancers", bytes, span, w.tells)
	is.True(bytes > 0)
	is.True(bytes <= 24000+1000*int(span/time.Second))
}

// TestZoneOutOfServiceObservesNothing guards P4: a balancer in a zone that is out
// of service must not probe, since the answers would be packets into the zone.
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
	is.True(probes() > 0) // zone a has one balancer only, so zone b helps out
	service.ExcludedZones = []hickoryid.ZoneName{"b"}
	is.Equal(probes(), 0)
}
