package hickorymember_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorymember"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// BenchmarkDetection gives the time from the death of a host until the first and
// the last of 8 balancers eject it, over 100 deaths.
func BenchmarkDetection(b *testing.B) {
	var first, last []time.Duration
	for seed := range 100 {
		service := newService(10, "a")
		w := newWorld(b, uint64(seed), 8, service)
		w.run(5*time.Second + time.Duration(w.random.Int64N(int64(time.Second))))
		victim := service.Upstreams[seed%10]
		w.dead[victim.Endpoint] = true
		start := w.now
		for w.ejecting(victim.ID) == 0 {
			w.run(step)
		}
		first = append(first, w.now.Sub(start))
		for w.ejecting(victim.ID) < len(w.nodes) {
			w.run(step)
		}
		last = append(last, w.now.Sub(start))
	}
	slices.Sort(first)
	slices.Sort(last)
	b.ReportMetric(first[50].Seconds(), "first-median-s")
	b.ReportMetric(last[50].Seconds(), "last-median-s")
	b.ReportMetric(last[99].Seconds(), "last-worst-s")
}

// BenchmarkFalseEjection gives the ejections of live hosts per host and hour
// under loss in each direction, and under pauses of the observers.
func BenchmarkFalseEjection(b *testing.B) {
	const hosts, span = 34, 2 * time.Hour // 17 targets each, as at the target size
	for _, percent := range []int{0, 5, 20} {
		b.Run(fmt.Sprintf("loss=%d", percent), func(b *testing.B) {
			w := newWorld(b, uint64(percent), 6, newService(hosts, "a"))
			w.lost = func(int, hickorymodel.Endpoint, bool, bool) bool { return w.random.IntN(100) < percent }
			w.run(span)
			reportFalse(b, w, hosts, span)
		})
	}
	b.Run("pauses", func(b *testing.B) {
		w := newWorld(b, 1, 6, newService(hosts, "a"))
		w.lost = func(int, hickorymodel.Endpoint, bool, bool) bool { return w.random.IntN(100) < 5 }
		for range span / (10 * time.Second) {
			paused := w.nodes[w.random.IntN(len(w.nodes))]
			paused.pausedUntil = w.now.Add(time.Duration(w.random.Int64N(int64(5 * time.Second))))
			w.run(10 * time.Second)
		}
		reportFalse(b, w, hosts, span)
	})
}

func reportFalse(b *testing.B, w *world, hosts int, span time.Duration) {
	hours := float64(hosts) * span.Hours()
	// Each of the balancers reports an ejection of its own.
	ejections := float64(w.reports[hickorymember.EventEjected]) / float64(len(w.nodes))
	b.ReportMetric(ejections/hours, "ejections/host-hour")
	b.ReportMetric(float64(w.reports[hickorymember.EventSuspected])/hours, "suspicions/host-hour")
	b.ReportMetric(float64(w.reports[hickorymember.EventIsolated])/float64(len(w.nodes))/span.Hours(), "doubts/balancer-hour")
}

// BenchmarkBytes gives, at three sizes with the target's ratio of hosts to
// balancers, the time until the last balancer ejects hosts that die at once, and
// what a balancer sends and receives while they stay dead.
func BenchmarkBytes(b *testing.B) {
	for _, balancers := range []int{25, 50, 100} {
		for _, dead := range []int{0, 1, 5} {
			b.Run(fmt.Sprintf("balancers=%d/dead=%d", balancers, dead), func(b *testing.B) {
				measureBytes(b, balancers, dead)
			})
		}
	}
}

func measureBytes(b *testing.B, balancers, dead int) {
	const span = 5 * time.Minute
	service := newService(balancers*14000/2500, "a")
	w := newWorld(b, 1, balancers, service)
	told := 0
	for _, n := range w.nodes {
		n.told = func(views []hickorymember.View) { told += encodedCall(is.New(b), views) }
	}
	w.run(5 * time.Second)
	rack := service.Upstreams[10 : 10+dead]
	for _, upstream := range rack {
		w.dead[upstream.Endpoint] = true
	}
	start := w.now
	for slices.ContainsFunc(rack, func(u hickorymodel.Upstream) bool { return w.ejecting(u.ID) < balancers }) {
		w.run(step)
	}
	b.ReportMetric(w.now.Sub(start).Seconds(), "last-s")
	w.run(time.Minute)
	told, w.probes, w.reports[hickorymember.EventReadmitted] = 0, 0, 0
	w.run(span)
	seconds := float64(balancers) * span.Seconds()
	b.ReportMetric(float64(w.probes*probeBytes(b))/seconds, "probe-B/s")
	b.ReportMetric(2*float64(told)/seconds, "tell-B/s")
	b.ReportMetric(float64(w.reports[hickorymember.EventReadmitted]), "readmitted")
	largest := hickorymember.Footprint{}
	for _, n := range w.nodes {
		if f := n.detector.Footprint(); f.Bytes > largest.Bytes {
			largest = f
		}
	}
	b.ReportMetric(float64(largest.Targets), "targets-max")
	b.ReportMetric(float64(largest.Bytes), "state-B-max")
}

// BenchmarkSetServices gives the time to choose the targets of one balancer at
// the target size: 2,500 balancers and 14,000 hosts in 11 zones.
func BenchmarkSetServices(b *testing.B) {
	zones := []hickoryid.ZoneName{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}
	service := newService(14000, zones...)
	list := balancerList(2500)
	for i := range list {
		list[i].Zone = zones[i%len(zones)]
	}
	d := hickorymember.NewDetector(list[0], 1, rand.New(rand.NewPCG(1, 1)))
	d.SetBalancers(1, list)
	for b.Loop() {
		d.SetServices(1, []hickorymodel.Service{service})
	}
	b.ReportMetric(float64(d.Footprint().Targets), "targets")
}

// probeBytes is the size of a probe and its answer with IP and UDP headers.
func probeBytes(b *testing.B) int {
	const headers = 28
	codec := hickorygeneve.NewCodec()
	total := 0
	for _, message := range []hickorymessage.Datagram{
		{Probe: &hickorymessage.Probe{Sequence: 4_000_000_000, Observer: "balancer-1000"}},
		{ProbeReply: &hickorymessage.ProbeReply{Sequence: 4_000_000_000, Upstream: "clubroom-10000", Accepting: true}},
	} {
		encoded, err := codec.EncodeMessage(&message)
		is.New(b).NoErr(err)
		total += len(encoded) + headers
	}
	return total
}

// connectionBytes are the IP and TCP headers of one call on a new connection, in
// both directions: 12 segments of 52 bytes, the options of the first two, and
// the reply of 60 bytes.
const connectionBytes = 12*52 + 2*8 + 60

// encodedCall returns the bytes that one call takes in both directions.
func encodedCall(is *is.I, views []hickorymember.View) int {
	request := hickorymessage.SuspicionRequest{Sender: "balancer-0"}
	for _, view := range views {
		request.Views = append(request.Views, hickorymessage.ObserverView{
			Observer: view.Observer,
			Sequence: view.Sequence,
			Suspects: view.Suspects,
		})
	}
	encoded, err := json.Marshal(map[string]any{"method": "member.Tell", "params": []any{request}, "id": 1})
	is.NoErr(err)
	return len(encoded) + connectionBytes
}
