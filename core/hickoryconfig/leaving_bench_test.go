package hickoryconfig_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

const (
	// leavingWindow is the time over which the bytes of one change are counted.
	leavingWindow = 10 * time.Second
	// replacementSeconds is the time between two replacements of instances, in
	// seconds, at 2,400 replacements a day.
	replacementSeconds = 36
)

// leavingRun is the result of one run: the seconds from the time at which the list
// shows the state, and the bytes that a node sends and receives in addition to
// those of an idle one.
type leavingRun struct {
	balancers, agents, bytes float64
}

// BenchmarkLeaving prints how long it takes until an upstream is in force as
// leaving in all balancers and all agents of the service, and the bytes that this
// costs a node.
func BenchmarkLeaving(b *testing.B) {
	for range b.N {
		fmt.Printf("\n%9s %7s %8s %8s %8s %8s %9s %9s\n", "balancers", "agents", "median s", "worst s", "agents s", "worst s", "B/change", "B/s")
		var x, worstBalancers, worstAgents, bytes []float64
		for _, size := range spreadSizes {
			var balancers, agents []float64
			total := 0.0
			for seed := range uint64(spreadSeeds) {
				run := runLeaving(seed+1, size)
				balancers, agents, total = append(balancers, run.balancers), append(agents, run.agents), total+run.bytes
			}
			slices.Sort(balancers)
			slices.Sort(agents)
			middle, last, mean := len(balancers)/2, len(balancers)-1, total/spreadSeeds
			fmt.Printf("%9d %7d %8.2f %8.2f %8.2f %8.2f %9.0f %9.1f\n", size, size*agentsPerBalancer,
				balancers[middle], balancers[last], agents[middle], agents[last], mean, mean/replacementSeconds)
			x, bytes = append(x, math.Log(float64(size))), append(bytes, mean)
			worstBalancers, worstAgents = append(worstBalancers, balancers[last]), append(worstAgents, agents[last])
		}
		printFit("balancers, worst s", x, worstBalancers)
		printFit("agents, worst s", x, worstAgents)
		printFit("B/change", x, bytes)
	}
}

func printFit(name string, x, y []float64) {
	slope, intercept := fit(x, y)
	fmt.Printf("%s = %.2f + %.2f x ln(balancers); at %d: %.2f\n", name, intercept, slope, fullBalancers, intercept+slope*math.Log(fullBalancers))
}

func runLeaving(seed uint64, size int) leavingRun {
	f := newSeededFleet(seed, size, 1)
	content := f.largeSection(spreadUpstreams)
	upstream := f.parsed[content].Services[0].Upstreams[0].ID
	f.service.publish(team, content)
	f.runUntil(f.now.Add(10 * time.Second))
	agents := f.startAgents(size * agentsPerBalancer)
	var leaving []hickoryid.UpstreamID
	f.pollLists(func(*machine) []hickoryid.UpstreamID { return leaving })
	f.runUntil(f.now.Add(10 * time.Second))
	f.loss = spreadLoss
	f.countBytes = true
	f.runUntil(f.now.Add(leavingWindow))
	idle := f.meanBytes()
	leaving = []hickoryid.UpstreamID{upstream}
	start, result := f.now, leavingRun{}
	f.run(leavingWindow, func() bool {
		if result.balancers == 0 && f.leavingInBalancers(upstream) {
			result.balancers = f.now.Sub(start).Seconds()
		}
		if result.agents == 0 && leavingInAgents(agents, upstream) {
			result.agents = f.now.Sub(start).Seconds()
		}
		return false
	})
	if result.balancers == 0 || result.agents == 0 {
		result.balancers, result.agents = math.Inf(1), math.Inf(1)
	}
	result.bytes = f.meanBytes() - 2*idle
	return result
}

func (f *fleet) meanBytes() float64 {
	total := 0
	for _, m := range f.machines {
		total += m.sent + m.received
	}
	return float64(total) / float64(len(f.machines))
}

func (f *fleet) leavingInBalancers(upstream hickoryid.UpstreamID) bool {
	return !slices.ContainsFunc(f.machines, func(m *machine) bool {
		return m.stateOf(upstream) != hickorymodel.UpstreamLeaving
	})
}

func leavingInAgents(agents []*agent, upstream hickoryid.UpstreamID) bool {
	return !slices.ContainsFunc(agents, func(a *agent) bool {
		return !slices.ContainsFunc(a.service.Upstreams, func(u hickorymodel.Upstream) bool {
			return u.ID == upstream && u.State == hickorymodel.UpstreamLeaving
		})
	})
}

// BenchmarkTakeList measures the work of a reader on a decoded instance list of
// the target size; BenchmarkInstanceList of io/hickoryrelay measures the decoding.
func BenchmarkTakeList(b *testing.B) {
	var list hickoryplatform.Instances
	for i := range 16_500 {
		upstream := hickoryid.UpstreamID(fmt.Sprintf("host-%05d", i))
		instance := hickoryplatform.Instance{
			ID: hickoryid.InstanceID(fmt.Sprintf("instance-%05d", i)), Role: hickoryplatform.RoleAgent,
			Zone: hickoryid.ZoneName(fmt.Sprintf("zone-%d", i%11)), Region: "tt-north", State: hickoryplatform.InstanceStateLive,
			DataEndpoint: hickoryid.Endpoint(fmt.Sprintf("10.1.%d.%d:6081", i/250, i%250)), Upstream: &upstream,
		}
		if i < fullBalancers {
			instance.Role, instance.Upstream = hickoryplatform.RoleBalancer, nil
		}
		list.Instances = append(list.Instances, instance)
	}
	self := hickoryconfig.Identity{Instance: "instance-00000", Zone: "zone-0", Region: "tt-north"}
	node := hickoryconfig.NewNode(self, nil, rand.New(rand.NewPCG(1, 1)))
	for b.Loop() {
		node.SetInstances(hickorymodel.Instant(time.Second), list)
	}
}
