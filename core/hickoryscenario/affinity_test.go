package hickoryscenario

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// affinityWay is a way to send the packets of a flow to the same upstream while the
// table changes.
type affinityWay struct {
	name      string
	overrides overrides
}

func affinityWays() []affinityWay {
	return []affinityWay{
		{name: "list and redirect entries (the product)"},
		{name: "list only", overrides: overrides{dropRedirectEntries: true}},
		{name: "entries pulled by a query only", overrides: overrides{queryOnly: true, dropRedirectEntries: true}},
		{name: "plain hashing", overrides: overrides{skipTracker: func(*sentPacket) bool { return true }}},
	}
}

// affinityChange is one planned change of the scripted run.
type affinityChange struct {
	name  string
	apply func(sim *simulation)
	// settle is the time from this change to the next.
	settle time.Duration
}

func affinityChanges() []affinityChange {
	clubroom := func(sim *simulation) *section { return sim.sections["clubroom"] }
	drain := func(names ...string) func(sim *simulation) {
		return func(sim *simulation) {
			for _, name := range names {
				sim.setState(name, hickorymodel.UpstreamLeaving)
			}
		}
	}
	return []affinityChange{
		{"add one", func(sim *simulation) { sim.addUpstream(clubroom(sim), "a8@z2") }, 20 * time.Second},
		{"drain one", drain("a1"), 20 * time.Second},
		{"add two", func(sim *simulation) {
			sim.addUpstream(clubroom(sim), "a9@z1")
			sim.addUpstream(clubroom(sim), "a10@z2")
		}, 20 * time.Second},
		{"remove the drained one", func(sim *simulation) { sim.removeUpstream("a1") }, 140 * time.Second},
		{"replace one", func(sim *simulation) { sim.replaceUpstream("a2", "c2") }, 140 * time.Second},
		{"drain two", drain("a3", "a4"), 20 * time.Second},
		{"remove both", func(sim *simulation) { sim.removeUpstream("a3"); sim.removeUpstream("a4") }, 140 * time.Second},
	}
}

// affinityFlows is the number of flows of a run; a third of them are UDP.
var (
	affinityFlows = flag.Int("affinityFlows", 60, "number of flows in the comparison of flow affinity")
	allWays       = flag.Bool("allWays", false, "run the ways of flow affinity that are not the product's as well")
)

// TestFlowAffinityWays guards against flows that a planned change breaks. It counts
// the broken flows per change for the way that the product uses and, with the flag
// allWays, for the others; docs/flow-affinity.md holds the table.
func TestFlowAffinityWays(t *testing.T) {
	is := is.New(t)
	ways := affinityWays()
	if !*allWays {
		ways = ways[:1]
	}
	for _, way := range ways {
		sim := newSimulation(1)
		sim.overrides = way.overrides
		broken := runAffinity(sim)
		t.Logf("seed 1 | %s | %s | redirectEntry %d, ownerQuery %d, forwards %d", way.name,
			strings.Trim(strings.Join(strings.Fields(fmt.Sprint(broken)), " | "), "[]"),
			sim.log.messages["redirectEntry"], sim.log.messages["ownerQuery"], sim.log.forwards)
		if way.name == affinityWays()[0].name {
			is.Equal(broken, make([]int, len(broken))) // no flow broken by a planned change
			is.NoErr(sim.log.check())
		}
	}
}

// runAffinity returns the number of flows that each change broke.
func runAffinity(sim *simulation) []int {
	s := sim.addSection("clubroom")
	for i := range 7 {
		sim.addUpstream(s, fmt.Sprintf("a%d@z%d", i+1, i%3+1))
	}
	sim.publish(nil)
	sim.startBalancer("b1")
	sim.startBalancer("b2")
	for i := range *affinityFlows {
		protocol := hickorymodel.ProtocolTCP
		if i%3 == 0 {
			protocol = hickorymodel.ProtocolUDP
		}
		sim.open(sim.newFlow("f", protocol, s, ""))
		sim.wait(openInterval)
	}
	sim.wait(20 * time.Second)
	var counts []int
	for _, change := range affinityChanges() {
		counts = append(counts, sim.runChange(change))
	}
	return counts
}

// runChange applies a change and sends data on all flows. The balancer b2 receives the
// change 3 s after the others. Flows that were broken are opened again at the end. It
// returns the number of flows that the change broke.
func (sim *simulation) runChange(change affinityChange) int {
	before := len(sim.log.broken)
	change.apply(sim)
	sim.publish(withoutName(sim.names, "b2"))
	sim.after(3*time.Second, func() { sim.deliverService("b2", sim.sections["clubroom"].published) })
	for end := sim.now.Add(change.settle); sim.now.Before(end); {
		for _, f := range sim.flows {
			sim.sendData(f)
		}
		sim.wait(4 * time.Second)
	}
	count := len(sim.log.broken) - before
	for _, f := range sim.flows {
		if f.broken != "" {
			sim.open(f)
			sim.wait(openInterval)
		}
	}
	sim.wait(20 * time.Second)
	return count
}

// withoutName returns the names except one.
func withoutName(names []string, removedName string) []string {
	var kept []string
	for _, name := range names {
		if name != removedName {
			kept = append(kept, name)
		}
	}
	return kept
}

// queryAllForOwner queries all upstreams of the section for the owner of a flow, and
// handles the packet when the replies have arrived.
func (sim *simulation) queryAllForOwner(a *agent, packet *hickoryflow.Packet) {
	kept := *packet
	clear(kept.Candidates[1:])
	sim.log.messages["ownerQuery"] += len(a.service.Upstreams) - 1
	sim.after(2*defaultDelay, func() {
		for _, upstream := range a.service.Upstreams {
			other := sim.agents[sim.nameOf(upstream.Endpoint)]
			if other == nil || other == a || other.dead || !other.tracker.Owns(kept.Key) {
				continue
			}
			sim.perform(a, a.tracker.HandleDatagram(sim.now, other.endpoint, &hickorymessage.Datagram{
				RedirectEntry: &hickorymessage.RedirectEntry{
					Service: a.service.Number,
					Owner:   other.endpoint.ID(),
					Flows:   []hickorymessage.Flow{kept.Key.Message()},
				},
			}))
		}
		sim.perform(a, a.tracker.Handle(sim.now, &kept))
	})
}
