package hickoryconfig_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
)

const (
	// fleetSize is the number of processes at full size, 11 zones of them.
	fleetSize  = 16_500
	fleetZones = 11
	readLimit  = 2_000
)

// worstSecond restarts all processes at once, with no beacon getting through,
// and returns the largest number of reads in any second.
func worstSecond(t *testing.T, without hickoryconfig.Rule, rank func(i int) int) int {
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

// TestFleetRestartStaysBelowReadLimit guards the configuration service against
// all processes that start in the same second and can't reach each other.
func TestFleetRestartStaysBelowReadLimit(t *testing.T) {
	cases := []struct {
		name string
		rank func(i int) int
	}{
		{"ranks by the list", func(i int) int { return i / fleetZones }},
		{"all take themselves for the first in line", func(int) int { return hickoryconfig.ReadersPerZone }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			worst := worstSecond(t, 0, c.rank)
			t.Logf("worst second: %d reads", worst)
			if worst >= readLimit {
				t.Fatalf("%d reads in one second, limit %d", worst, readLimit)
			}
			without := worstSecond(t, hickoryconfig.RuleReadLimit, c.rank)
			t.Logf("worst second without the rule: %d reads", without)
			if without < readLimit {
				t.Fatalf("the check passes without the rule: %d reads", without)
			}
		})
	}
}

// TestWatchesArePaced guards the service against readers that call it all the
// time because it does not hold their watches.
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
