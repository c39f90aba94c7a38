package hickoryconfig_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
)

const (
	// fleetSize is the number of processes at the target size, in 11 zones;
	// readLimit is the number of reads a second that the configuration service allows.
	fleetSize  = 16_500
	fleetZones = 11
	readLimit  = 2_000
)

// maxReadsInSecond restarts all processes at once, with all exchanges lost, and
// returns the largest number of reads in a second.
func maxReadsInSecond(t *testing.T, without hickoryconfig.Rule, rank func(i int) int) int {
	s := seed(t)
	all := make([]*hickoryconfig.ReadScheduler, fleetSize)
	for i := range all {
		all[i] = hickoryconfig.NewReadScheduler(rand.New(rand.NewPCG(s, uint64(i))))
		all[i].SwitchOff(without)
	}
	worst := 0
	for now := second; now < 40*second; now += second {
		count := 0
		for step := hickorymodel.Instant(0); step < second; step += hickorymodel.Instant(hickoryconfig.TickInterval) {
			for i, reads := range all {
				state := hickoryconfig.ReadState{Rank: rank(i)}
				if _, ok := reads.Next(now+step, state); ok {
					count++
					reads.Done(now+step, state, false)
				}
			}
		}
		worst = max(worst, count)
	}
	return worst
}

// TestFleetRestartStaysBelowReadLimit guards against an overload of the
// configuration service when all processes start in the same second and can't reach
// each other.
func TestFleetRestartStaysBelowReadLimit(t *testing.T) {
	cases := []struct {
		name string
		rank func(i int) int
	}{
		{"ranks of the instance list", func(i int) int { return i / fleetZones }},
		{"all have the first rank after the readers", func(int) int { return hickoryconfig.ReadersPerZone }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			worst := maxReadsInSecond(t, 0, c.rank)
			t.Logf("worst second: %d reads", worst)
			if worst >= readLimit {
				t.Fatalf("%d reads in one second, limit %d", worst, readLimit)
			}
			without := maxReadsInSecond(t, hickoryconfig.RuleReadLimit, c.rank)
			t.Logf("worst second without the rule: %d reads", without)
			if without < readLimit {
				t.Fatalf("the check passes without the rule: %d reads", without)
			}
		})
	}
}

// TestWatchesArePaced guards against readers that call the configuration service
// without a pause because it answers watches at once.
func TestWatchesArePaced(t *testing.T) {
	f := newFleet(t, 12, 3)
	f.service.ignoreWait = true
	f.runUntil(f.now.Add(10 * time.Second))
	readers := 3 * hickoryconfig.ReadersPerZone
	limit := readers * int(time.Second/hickoryconfig.WatchTime)
	for at, count := range f.service.reads {
		if count > limit {
			t.Fatalf("%d calls of %d readers in second %d, limit %d", count, readers, at, limit)
		}
	}
}
