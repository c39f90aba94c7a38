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

// agentsPerBalancer is 14,000 agents over 2,500 balancers, rounded up.
const agentsPerBalancer = 6

// agent is one simulated agent.
type agent struct {
	follower *hickoryconfig.Follower
	version  hickorymodel.Generation
	service  hickorymodel.Service
}

// startAgents adds agents to a fleet, all of the same service. This is the worst
// case for the balancers that hold a new version first.
func (f *fleet) startAgents(count int) []*agent {
	list := hickoryplatform.Instances{}
	for _, m := range f.machines {
		list.Instances = append(list.Instances, m.instance)
	}
	agents := make([]*agent, count)
	for i := range agents {
		self := hickoryconfig.Identity{
			Instance: hickoryid.InstanceID(fmt.Sprintf("agent-%d", i)),
			Zone:     f.machines[i%len(f.machines)].instance.Zone,
			Region:   "tt-north",
		}
		random := rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
		a := &agent{follower: hickoryconfig.NewFollower(self, "service-0", f.decode, random)}
		agents[i] = a
		a.follower.SetInstances(f.now, list)
		f.at(f.now.Add(time.Duration(f.random.Int64N(int64(time.Second)))), func() { f.tickAgent(a) })
	}
	return agents
}

func (f *fleet) tickAgent(a *agent) {
	f.performAgent(a, a.follower.Tick(f.now))
	f.at(f.now.Add(hickoryconfig.TickInterval), func() { f.tickAgent(a) })
}

// performAgent carries out the actions of an agent; a lost message ends in a timeout.
func (f *fleet) performAgent(a *agent, actions []hickoryconfig.Action) {
	for _, action := range append([]hickoryconfig.Action(nil), actions...) {
		switch action.Verb {
		case hickoryconfig.VerbApply:
			a.version = action.Services[0].Generation
			a.service = action.Services[0]
		case hickoryconfig.VerbFollow, hickoryconfig.VerbPull:
			f.callFromAgent(a, action)
		default:
		}
	}
}

func (f *fleet) callFromAgent(a *agent, action hickoryconfig.Action) {
	peer, sentAt := f.byPeer[action.Peer], f.now
	if peer.down || f.random.Float64() < 2*f.loss {
		f.at(f.now.Add(callTimeout), func() {
			if action.Verb == hickoryconfig.VerbPull {
				f.performAgent(a, a.follower.PullFailed(f.now, action.Peer, action.Pull.Team))
				return
			}
			f.performAgent(a, a.follower.CallFailed(f.now, action.Peer))
		})
		return
	}
	f.at(f.now.Add(2*linkDelay), func() {
		if action.Verb == hickoryconfig.VerbPull {
			reply := peer.node.AnswerPull(f.now, *action.Pull)
			f.performAgent(a, a.follower.HandlePullReply(f.now, action.Peer, reply))
			return
		}
		reply := peer.node.AnswerFollow(f.now, *action.Follow)
		f.performAgent(a, a.follower.HandleFollowReply(f.now, sentAt, action.Peer, reply))
	})
}

// BenchmarkAgents prints how long it takes until a version is in force in all
// agents, when every agent of the fleet belongs to the same service.
func BenchmarkAgents(b *testing.B) {
	for range b.N {
		fmt.Printf("\n%9s %7s %9s %9s\n", "balancers", "agents", "median s", "worst s")
		var x, y []float64
		for _, size := range spreadSizes {
			var seconds []float64
			for seed := range uint64(spreadSeeds) {
				seconds = append(seconds, runAgents(seed+1, size))
			}
			slices.Sort(seconds)
			fmt.Printf("%9d %7d %9.2f %9.2f\n", size, size*agentsPerBalancer, seconds[len(seconds)/2], seconds[len(seconds)-1])
			x, y = append(x, math.Log(float64(size))), append(y, seconds[len(seconds)-1])
		}
		slope, intercept := fit(x, y)
		fmt.Printf("worst = %.2f s + %.2f s x ln(balancers); at %d: %.1f s\n", intercept, slope, fullBalancers, intercept+slope*math.Log(fullBalancers))
	}
}

func runAgents(seed uint64, size int) float64 {
	f := newSeededFleet(seed, size, 1)
	f.service.publish(team, f.largeSection(spreadUpstreams))
	f.runUntil(f.now.Add(10 * time.Second))
	agents := f.startAgents(size * agentsPerBalancer)
	f.runUntil(f.now.Add(10 * time.Second))
	f.loss = spreadLoss
	version := f.service.publish(team, f.largeSection(spreadUpstreams))
	f.run(time.Minute, func() bool { return f.behind(version) < size })
	f.service.down = true
	start := f.now
	f.run(spreadLimit, func() bool {
		return !slices.ContainsFunc(agents, func(a *agent) bool { return a.version != hickorymodel.Generation(version) })
	})
	return f.now.Sub(start).Seconds()
}
