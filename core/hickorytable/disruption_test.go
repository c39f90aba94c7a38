package hickorytable_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
)

const (
	// maxDisruption is the target of section 1.4 of the design: the number of moved
	// flows divided by the number of flows that have to move.
	maxDisruption = 1.05
	sampleFlows   = 1 << 14
)

// disruptionSeeds returns the number of seeds, fewer for services that take long
// to build.
func disruptionSeeds(hosts int) uint64 {
	if hosts > 64 {
		return 1
	}
	return 2
}

// firstCandidates returns the first candidate of each sampled flow.
func firstCandidates(table *hickorytable.Table, keys []hickorymodel.FlowKey) []hickorymodel.Endpoint {
	result := make([]hickorymodel.Endpoint, len(keys))
	var choice hickorytable.Choice
	for i := range keys {
		table.Choose(0, &keys[i], &choice)
		result[i] = choice.Candidates[0].Endpoint
	}
	return result
}

// disruption returns the number of flows that moved divided by the number of flows
// that had to move, which are those of the host that only one table has.
func disruption(larger, smaller []hickorymodel.Endpoint, host hickorymodel.Endpoint) float64 {
	moved, forced := 0, 0
	for i := range larger {
		if larger[i] != smaller[i] {
			moved++
		}
		if larger[i] == host {
			forced++
		}
	}
	return float64(moved) / float64(max(forced, 1))
}

// TestDisruptionOnChange guards against table changes that move flows between two
// hosts that both stay, when one host is added or removed. The sizes lie on both
// sides of the one from which the lists of a service are stored.
func TestDisruptionOnChange(t *testing.T) {
	for _, hosts := range []int{3, 7, 9, 17, 40, 500} {
		for seed := range disruptionSeeds(hosts) {
			random := rand.New(rand.NewPCG(seed, 0))
			keys := make([]hickorymodel.FlowKey, sampleFlows)
			for i := range keys {
				keys[i] = randomKey(random, 1)
			}
			with := makeService(1, hosts)
			without := with
			removedIndex := random.IntN(hosts)
			host := with.Upstreams[removedIndex].Endpoint
			without.Upstreams = append(append([]hickorymodel.Upstream(nil), with.Upstreams[:removedIndex]...), with.Upstreams[removedIndex+1:]...)
			builder := hickorytable.NewBuilder(0)
			larger := firstCandidates(builder.Build(0, []hickorymodel.Service{with}), keys)
			builder.Build(0, []hickorymodel.Service{without})
			end := hickorymodel.Instant(0).Add(hickorytable.TransitionTime)
			smaller := firstCandidates(builder.Build(end, []hickorymodel.Service{without}), keys)
			ratio := disruption(larger, smaller, host)
			if ratio > maxDisruption {
				t.Errorf("hosts %d, seed %d: moved %.2f times the minimum", hosts, seed, ratio)
			}
		}
	}
}

// TestIncrementalBuild guards against lists that are derived from the previous ones
// and differ from lists that are built anew: two balancers would then use different
// lists for the same services.
func TestIncrementalBuild(t *testing.T) {
	for _, hosts := range []int{5, 20} {
		const seed = 7
		random := rand.New(rand.NewPCG(seed, uint64(hosts)))
		keys := make([]hickorymodel.FlowKey, 4096)
		for i := range keys {
			keys[i] = randomKey(random, 1)
		}
		service := makeService(1, hosts)
		builder := hickorytable.NewBuilder(0)
		now := hickorymodel.Instant(0)
		for step := range 4 {
			service.Generation++
			service.Upstreams = changeUpstreams(random, service.Upstreams, hosts+step)
			builder.Build(now, []hickorymodel.Service{service})
			now = now.Add(hickorytable.TransitionTime)
			// The second build drops the retired hosts, which a new builder never had.
			derived := builder.Build(now, []hickorymodel.Service{service})
			fresh := hickorytable.NewBuilder(now).Build(now, []hickorymodel.Service{service})
			compareTables(t, fmt.Sprintf("hosts %d, seed %d, step %d", hosts, seed, step), derived, fresh, keys)
		}
	}
}

// changeUpstreams removes one host, adds another and changes the state of a third.
func changeUpstreams(random *rand.Rand, before []hickorymodel.Upstream, added int) []hickorymodel.Upstream {
	removedIndex := random.IntN(len(before))
	after := append([]hickorymodel.Upstream(nil), before[:removedIndex]...)
	after = append(after, before[removedIndex+1:]...)
	after = append(after, makeUpstream(1, added))
	changed := &after[random.IntN(len(after)-1)]
	if changed.State == hickorymodel.UpstreamAccepting {
		changed.State = hickorymodel.UpstreamLeaving
	} else {
		changed.State = hickorymodel.UpstreamAccepting
	}
	return after
}

func compareTables(t *testing.T, step string, a, b *hickorytable.Table, keys []hickorymodel.FlowKey) {
	t.Helper()
	var first, second hickorytable.Choice
	for i := range keys {
		a.Choose(0, &keys[i], &first)
		b.Choose(0, &keys[i], &second)
		if first.Candidates != second.Candidates {
			t.Fatalf("%s: flow %v: derived %v, fresh %v", step, keys[i], first.Candidates, second.Candidates)
		}
	}
}
