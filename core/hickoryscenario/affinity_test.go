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
	apply func(w *world)
	// settle is the time from this change to the next.
	settle time.Duration
}

func affinityChanges() []affinityChange {
	clubroom := func(w *world) *section { return w.sections["clubroom"] }
	drain := func(names ...string) func(w *world) {
		return func(w *world) {
			for _, name := range names {
				w.setState(name, hickorymodel.UpstreamLeaving)
			}
		}
	}
	return []affinityChange{
		{"add one", func(w *world) { w.addUpstream(clubroom(w), "a8@z2") }, 20 * time.Second},
		{"drain one", drain("a1"), 20 * time.Second},
		{"add two", func(w *world) { w.addUpstream(clubroom(w), "a9@z1"); w.addUpstream(clubroom(w), "a10@z2") }, 20 * time.Second},
		{"remove the drained one", func(w *world) { w.removeUpstream("a1") }, 140 * time.Second},
		{"replace one", func(w *world) { w.replaceUpstream("a2", "c2") }, 140 * time.Second},
		{"drain two", drain("a3", "a4"), 20 * time.Second},
		{"remove both", func(w *world) { w.removeUpstream("a3"); w.removeUpstream("a4") }, 140 * time.Second},
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
		w := newWorld(1)
		w.overrides = way.overrides
		broken := runAffinity(w)
		t.Logf("seed 1 | %s | %s | redirectEntry %d, ownerQuery %d, forwards %d", way.name,
			strings.Trim(strings.Join(strings.Fields(fmt.Sprint(broken)), " | "), "[]"),
			w.log.messages["redirectEntry"], w.log.messages["ownerQuery"], w.log.forwards)
		if way.name == affinityWays()[0].name {
			is.Equal(broken, make([]int, len(broken))) // no flow broken by a planned change
			is.NoErr(w.log.check())
		}
	}
}

// runAffinity returns the number of flows that each change broke.
func runAffinity(w *world) []int {
	s := w.addSection("clubroom")
	for i := range 7 {
		w.addUpstream(s, fmt.Sprintf("a%d@z%d", i+1, i%3+1))
	}
	w.publish(nil)
	w.startBalancer("b1")
	w.startBalancer("b2")
	for i := range *affinityFlows {
		protocol := hickorymodel.ProtocolTCP
		if i%3 == 0 {
			protocol = hickorymodel.ProtocolUDP
		}
		w.open(w.newFlow("f", protocol, s, ""))
		w.wait(openInterval)
	}
	w.wait(20 * time.Second)
	var counts []int
	for _, change := range affinityChanges() {
		counts = append(counts, w.runChange(change))
	}
	return counts
}

// runChange applies a change and sends data on all flows. The balancer b2 receives the
// change 3 s after the others. Flows that were broken are opened again at the end. It
// returns the number of flows that the change broke.
func (w *world) runChange(change affinityChange) int {
	before := len(w.log.broken)
	change.apply(w)
	w.publish(withoutName(w.names, "b2"))
	w.after(3*time.Second, func() { w.deliverService("b2", w.sections["clubroom"].published) })
	for end := w.now.Add(change.settle); w.now.Before(end); {
		for _, f := range w.flows {
			w.sendData(f)
		}
		w.wait(4 * time.Second)
	}
	count := len(w.log.broken) - before
	for _, f := range w.flows {
		if f.broken != "" {
			w.open(f)
			w.wait(openInterval)
		}
	}
	w.wait(20 * time.Second)
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
func (w *world) queryAllForOwner(a *agent, packet *hickoryflow.Packet) {
	kept := *packet
	clear(kept.Candidates[1:])
	w.log.messages["ownerQuery"] += len(a.service.Upstreams) - 1
	w.after(2*defaultDelay, func() {
		for _, upstream := range a.service.Upstreams {
			other := w.agents[w.nameOf(upstream.Endpoint)]
			if other == nil || other == a || other.dead || !other.tracker.Owns(kept.Key) {
				continue
			}
			w.perform(a, a.tracker.HandleDatagram(w.now, other.endpoint, &hickorymessage.Datagram{
				RedirectEntry: &hickorymessage.RedirectEntry{
					Service: a.service.Number,
					Owner:   other.endpoint.ID(),
					Flows:   []hickorymessage.Flow{kept.Key.Message()},
				},
			}))
		}
		w.perform(a, a.tracker.Handle(w.now, &kept))
	})
}
