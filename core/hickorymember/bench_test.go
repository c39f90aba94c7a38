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

// BenchmarkDetection measures the time from the death of a host until the first and
// the last of 8 balancers eject it, over 100 deaths.
func BenchmarkDetection(b *testing.B) {
	var first, last []time.Duration
	for seed := range 100 {
		service := newService(10, "a")
		sim := newSimulation(b, uint64(seed), 8, service)
		sim.run(5*time.Second + time.Duration(sim.random.Int64N(int64(time.Second))))
		deadHost := service.Upstreams[seed%10]
		sim.dead[deadHost.Endpoint] = true
		start := sim.now
		for sim.countEjecting(deadHost.ID) == 0 {
			sim.run(step)
		}
		first = append(first, sim.now.Sub(start))
		for sim.countEjecting(deadHost.ID) < len(sim.nodes) {
			sim.run(step)
		}
		last = append(last, sim.now.Sub(start))
	}
	slices.Sort(first)
	slices.Sort(last)
	b.ReportMetric(first[50].Seconds(), "first-median-s")
	b.ReportMetric(last[50].Seconds(), "last-median-s")
	b.ReportMetric(last[99].Seconds(), "last-worst-s")
}

// BenchmarkFalseEjection measures the ejections of live hosts per host and hour
// with packet loss in each direction, and with pauses of the observers.
func BenchmarkFalseEjection(b *testing.B) {
	const hosts, span = 34, 2 * time.Hour // 17 targets for each balancer, as with 14,000 hosts and 2,500 balancers
	for _, percent := range []int{0, 5, 20} {
		b.Run(fmt.Sprintf("loss=%d", percent), func(b *testing.B) {
			sim := newSimulation(b, uint64(percent), 6, newService(hosts, "a"))
			sim.lost = func(int, hickorymodel.Endpoint, bool, bool) bool { return sim.random.IntN(100) < percent }
			sim.run(span)
			reportFalse(b, sim, hosts, span)
		})
	}
	b.Run("pauses", func(b *testing.B) {
		sim := newSimulation(b, 1, 6, newService(hosts, "a"))
		sim.lost = func(int, hickorymodel.Endpoint, bool, bool) bool { return sim.random.IntN(100) < 5 }
		for range span / (10 * time.Second) {
			paused := sim.nodes[sim.random.IntN(len(sim.nodes))]
			paused.pausedUntil = sim.now.Add(time.Duration(sim.random.Int64N(int64(5 * time.Second))))
			sim.run(10 * time.Second)
		}
		reportFalse(b, sim, hosts, span)
	})
}

func reportFalse(b *testing.B, sim *simulation, hosts int, span time.Duration) {
	hours := float64(hosts) * span.Hours()
	// Every balancer logs each ejection, so the count is divided by the balancers.
	ejections := float64(sim.logEvents[hickorymember.EventEjected]) / float64(len(sim.nodes))
	b.ReportMetric(ejections/hours, "ejections/host-hour")
	b.ReportMetric(float64(sim.logEvents[hickorymember.EventSuspected])/hours, "suspicions/host-hour")
	b.ReportMetric(float64(sim.logEvents[hickorymember.EventIsolated])/float64(len(sim.nodes))/span.Hours(), "doubts/balancer-hour")
}

// BenchmarkBytes measures the time until the last balancer ejects hosts that die at
// the same time, and the bytes that a balancer sends and receives while they are
// dead. The number of hosts for each balancer is that of the target size, 14,000
// hosts and 2,500 balancers.
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
	sim := newSimulation(b, 1, balancers, service)
	transmitted := 0
	for _, n := range sim.nodes {
		n.transmitted = func(views []hickorymember.View) { transmitted += encodedCall(is.New(b), views) }
	}
	sim.run(5 * time.Second)
	deadHosts := service.Upstreams[10 : 10+dead]
	for _, upstream := range deadHosts {
		sim.dead[upstream.Endpoint] = true
	}
	start := sim.now
	for slices.ContainsFunc(deadHosts, func(u hickorymodel.Upstream) bool { return sim.countEjecting(u.ID) < balancers }) {
		sim.run(step)
	}
	b.ReportMetric(sim.now.Sub(start).Seconds(), "last-s")
	sim.run(time.Minute)
	transmitted, sim.probes, sim.logEvents[hickorymember.EventReadmitted] = 0, 0, 0
	sim.run(span)
	seconds := float64(balancers) * span.Seconds()
	b.ReportMetric(float64(sim.probes*probeBytes(b))/seconds, "probe-B/s")
	b.ReportMetric(2*float64(transmitted)/seconds, "tell-B/s")
	b.ReportMetric(float64(sim.logEvents[hickorymember.EventReadmitted]), "readmitted")
	largest := hickorymember.Footprint{}
	for _, n := range sim.nodes {
		if f := n.detector.Footprint(); f.Bytes > largest.Bytes {
			largest = f
		}
	}
	b.ReportMetric(float64(largest.Targets), "targets-max")
	b.ReportMetric(float64(largest.Bytes), "state-B-max")
}

// BenchmarkSetServices measures the time to choose the targets of one balancer at
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

// probeBytes returns the size of a probe and its answer with IP and UDP headers.
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

// connectionBytes is the size of the IP and TCP headers of one call on a new
// connection, in both directions: 12 segments of 52 bytes, the options of the
// first two, and the reply of 60 bytes.
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
