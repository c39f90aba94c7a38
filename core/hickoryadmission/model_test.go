package hickoryadmission_test

import (
	"testing"
	"time"

	"hickoryworks/core/hickoryadmission"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	modelStep = time.Millisecond
	// startTime is far from the origin of the clock, as in a real process.
	startTime = hickorymodel.Instant(time.Hour)
)

// modelFlow has the time at which it was sent or ends, and the falls of the
// gate at its admission.
type modelFlow struct {
	at    hickorymodel.Instant
	falls uint32
}

// upstreamModel is an upstream whose bearable load grows with its warmth. Above
// it the upstream answers nothing until half of the load has gone.
type upstreamModel struct {
	limits    hickoryadmission.Limits
	warmth    float64
	collapsed bool
	// opening and open are in the order of the times at which openings were
	// sent and at which open flows end.
	opening []modelFlow
	open    []modelFlow
	// excess is the largest load over the bearable load.
	excess float64
}

func (u *upstreamModel) bearableOpenings() float64 {
	return 1 + u.warmth*float64(4*u.limits.Slots-1)
}

func (u *upstreamModel) bearableFlows() float64 {
	return float64(u.limits.Slots) + u.warmth*float64(int(u.limits.Connections)-int(u.limits.Slots))
}

func (u *upstreamModel) load() float64 {
	flows := float64(len(u.open)+len(u.opening)) / u.bearableFlows()
	return max(float64(len(u.opening))/u.bearableOpenings(), flows)
}

func (u *upstreamModel) turnCold() {
	u.warmth = 0
	u.open = nil
}

// step lets time pass. A cold upstream answers five times more slowly.
func (u *upstreamModel) step(now hickorymodel.Instant, lifetime time.Duration) (answered int, late, closed []modelFlow) {
	load := u.load()
	u.excess = max(u.excess, load)
	u.collapsed = load > 1 || u.collapsed && load > 0.5
	answerTime := time.Duration(float64(25*time.Millisecond) - u.warmth*float64(20*time.Millisecond))
	if !u.collapsed && len(u.open)+len(u.opening) > 0 {
		u.warmth = min(1, u.warmth+float64(modelStep)/float64(u.limits.RampTime))
	}
	for len(u.opening) > 0 {
		flow := u.opening[0]
		age := now.Sub(flow.at)
		isAnswered := !u.collapsed && age >= answerTime
		if !isAnswered && age < u.limits.OpeningTimeout {
			break
		}
		if isAnswered {
			answered++
			u.open = append(u.open, modelFlow{at: now.Add(lifetime), falls: flow.falls})
		} else {
			late = append(late, flow)
		}
		u.opening = u.opening[1:]
	}
	for len(u.open) > 0 && !now.Before(u.open[0].at) {
		closed = append(closed, u.open[0])
		u.open = u.open[1:]
	}
	return answered, late, closed
}

// drive runs a gate and its upstream with more demand than the upstream can
// take, and returns the time of the full load, or the end.
type drive struct {
	gate     *hickoryadmission.Gate
	upstream *upstreamModel
	lifetime time.Duration
	// talking is true when open flows send packets.
	talking bool
	now     hickorymodel.Instant
	fullAt  time.Duration
}

func newDrive(slots, connections int, lifetime time.Duration) *drive {
	limits := makeLimits(slots, connections)
	return &drive{
		gate:     hickoryadmission.NewGate(limits),
		upstream: &upstreamModel{limits: limits},
		lifetime: lifetime,
		now:      startTime,
	}
}

func (d *drive) run(length time.Duration) {
	start := d.now
	d.fullAt = 0
	for d.now.Sub(start) < length {
		d.now = d.now.Add(modelStep)
		answered, late, closed := d.upstream.step(d.now, d.lifetime)
		for i := range answered {
			falls := d.gate.ColdResets()
			d.gate.Complete(d.now)
			if d.gate.ColdResets() != falls {
				d.gate.Recount()
				d.upstream.open[len(d.upstream.open)-answered+i].falls = d.gate.ColdResets()
			}
		}
		for range late {
			d.gate.TimeOut(d.now)
		}
		for _, flow := range append(late, closed...) {
			if flow.falls == d.gate.ColdResets() {
				d.gate.Close()
			}
		}
		if d.talking && len(d.upstream.open) > 0 {
			d.gate.RecordActivity(d.now)
		}
		d.gate.Advance(d.now)
		for range 4 {
			if d.gate.TryOpen(d.now) {
				d.upstream.opening = append(d.upstream.opening, modelFlow{at: d.now, falls: d.gate.ColdResets()})
			}
		}
		if d.fullAt == 0 && d.gate.Load().Limit >= 4*int(d.upstream.limits.Slots) {
			d.fullAt = d.now.Sub(start)
		}
	}
}

// TestColdStartStaysBearable guards P3: an upstream that starts cold is never
// above its bearable load, with flows that end soon and flows that stay open,
// and it reaches full load.
func TestColdStartStaysBearable(t *testing.T) {
	for _, size := range []struct{ slots, connections int }{{6, 2000}, {2, 2000}, {6, 100}, {6, 10}} {
		for _, lifetime := range []time.Duration{20 * time.Millisecond, time.Second, time.Hour} {
			d := newDrive(size.slots, size.connections, lifetime)
			d.run(60 * time.Second)
			t.Logf("%+v, lifetime %v: highest load %.3f, full after %v", size, lifetime, d.upstream.excess, d.fullAt)
			if d.upstream.excess > 1 {
				t.Errorf("%+v, lifetime %v: load %.3f times the bearable load", size, lifetime, d.upstream.excess)
			}
			if d.fullAt == 0 {
				t.Errorf("%+v, lifetime %v: not at full load after 60 s", size, lifetime)
			}
		}
	}
}

// TestTurnsColdWithoutWarning guards against new load on an upstream that
// turned cold. The openings in flight at that time can't be called back; after
// one opening timeout the load is bearable and stays so up to the full load.
func TestTurnsColdWithoutWarning(t *testing.T) {
	for _, slots := range []int{6, 2} {
		for _, lifetime := range []time.Duration{20 * time.Millisecond, time.Second} {
			d := newDrive(slots, 2000, lifetime)
			d.run(60 * time.Second)
			d.upstream.turnCold()
			d.upstream.excess = 0
			d.run(d.upstream.limits.OpeningTimeout + 100*time.Millisecond)
			during := d.upstream.excess
			d.upstream.excess = 0
			d.run(60 * time.Second)
			t.Logf("slots %d, lifetime %v: load %.2f until detected, then %.3f, full after %v", slots, lifetime, during, d.upstream.excess, d.fullAt)
			if d.upstream.excess > 1 || d.fullAt == 0 {
				t.Errorf("slots %d, lifetime %v: load %.3f after the detection, full after %v", slots, lifetime, d.upstream.excess, d.fullAt)
			}
		}
	}
}

// TestFullGateNoticesRestart guards against an upstream that restarts while its
// lost flows fill the gate and that gets no opening until they expire. It must
// not get more than it can bear on the way back to full load.
func TestFullGateNoticesRestart(t *testing.T) {
	for _, size := range []struct{ slots, connections int }{{6, 2000}, {2, 2000}, {6, 10}} {
		for _, talking := range []bool{true, false} {
			d := newDrive(size.slots, size.connections, time.Hour)
			d.talking = talking
			d.run(60 * time.Second)
			held := len(d.upstream.open)
			d.upstream.turnCold()
			d.upstream.excess = 0
			d.run(3 * time.Minute)
			t.Logf("%+v, talking %v: %d flows lost, highest load %.3f, %d flows after 3 min", size, talking, held, d.upstream.excess, len(d.upstream.open))
			if held != size.connections || len(d.upstream.open) < size.connections {
				t.Errorf("%+v: %d flows before, %d after the restart", size, held, len(d.upstream.open))
			}
			if d.upstream.excess > 1 {
				t.Errorf("%+v: load %.3f times the bearable load", size, d.upstream.excess)
			}
		}
	}
}

// TestProbesOfFullUpstream guards against probes that overload an upstream
// which still holds its flows: talking flows allow none, silent flows one more
// flow at a time.
func TestProbesOfFullUpstream(t *testing.T) {
	for _, c := range []struct {
		talking bool
		most    int
	}{{true, 2000}, {false, 2001}} {
		d := newDrive(6, 2000, time.Hour)
		d.talking = c.talking
		d.run(20 * time.Minute)
		load := int(d.upstream.excess*2000 + 0.5)
		t.Logf("talking %v: highest number of flows %d", c.talking, load)
		if load > c.most || len(d.upstream.open) != 2000 || d.gate.ColdResets() != 0 {
			t.Errorf("talking %v: up to %d flows, %d open, %d falls", c.talking, load, len(d.upstream.open), d.gate.ColdResets())
		}
	}
}

// TestEndpointsOnlyLower guards against health and load endpoints that claim
// more than the upstream bears, and against a limit that stays low after them.
func TestEndpointsOnlyLower(t *testing.T) {
	cases := []struct {
		name  string
		share float64
		limit int
	}{
		{"claims a hundred times its capacity", 100, 1},
		{"claims full capacity", 1, 1},
		{"claims none", 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			gate := hickoryadmission.NewGate(makeLimits(6, 2000))
			gate.SetCeiling(c.share)
			if got := gate.Load().Limit; got != c.limit {
				t.Errorf("cold limit %d, want %d", got, c.limit)
			}
		})
	}
	d := newDrive(6, 2000, time.Second)
	d.run(60 * time.Second)
	for _, step := range []struct {
		share float64
		limit int
	}{{0.5, 12}, {0, 1}, {100, 24}} {
		d.gate.SetCeiling(step.share)
		if got := d.gate.Load().Limit; got != step.limit {
			t.Errorf("warm, reported share %v: limit %d, want %d", step.share, got, step.limit)
		}
	}
}

// TestLowReportDoesNotStarve guards against an endpoint that reports no capacity
// for good, or alternates between low values, although openings complete.
func TestLowReportDoesNotStarve(t *testing.T) {
	for _, lifetime := range []time.Duration{20 * time.Millisecond, time.Second, time.Hour} {
		d := newDrive(6, 2000, lifetime)
		d.talking = true
		d.run(60 * time.Second)
		for i := range 60 {
			d.gate.SetCeiling(float64(i%2) / 48)
			if limit := d.gate.Load().Limit; i == 0 && limit != 1 {
				t.Errorf("lifetime %v: limit %d after the first report", lifetime, limit)
			}
			d.run(time.Second)
		}
		t.Logf("lifetime %v: limit %d after 60 s of low reports, falls %d", lifetime, d.gate.Load().Limit, d.gate.ColdResets())
		if d.gate.Load().Limit != 24 || d.gate.ColdResets() != 0 || d.upstream.excess > 1 {
			t.Errorf("lifetime %v: limit %d, %d falls, load %.3f", lifetime, d.gate.Load().Limit, d.gate.ColdResets(), d.upstream.excess)
		}
	}
}

// TestLowReportIsNoProbe guards against a gate that takes a low report for a
// full upstream and forgets flows that the upstream holds.
func TestLowReportIsNoProbe(t *testing.T) {
	d := newDrive(6, 2000, time.Hour)
	d.run(15 * time.Second)
	open := len(d.upstream.open)
	for i := range 30 {
		d.gate.SetCeiling(float64(29-i) / 64) // each report ends the credit
		d.run(10 * time.Second)
	}
	if d.gate.ColdResets() != 0 || len(d.upstream.open) < open {
		t.Errorf("%d falls, %d of %d flows open", d.gate.ColdResets(), len(d.upstream.open), open)
	}
}

// TestReportProvesNothing guards against a limit that rises while a low report
// keeps openings below it, and that a later report of full capacity uncovers.
func TestReportProvesNothing(t *testing.T) {
	for _, lifetime := range []time.Duration{20 * time.Millisecond, time.Second, time.Hour} {
		d := newDrive(6, 2000, lifetime)
		d.run(5 * time.Second)
		before := d.gate.Load().Limit
		d.gate.SetCeiling(0)
		d.run(3 * time.Second)
		d.gate.SetCeiling(1)
		if after := d.gate.Load().Limit; after > before {
			t.Errorf("lifetime %v: limit %d before a low report, %d after it", lifetime, before, after)
		}
		d.run(60 * time.Second)
		if d.upstream.excess > 1 || d.fullAt == 0 {
			t.Errorf("lifetime %v: load %.3f, full after %v", lifetime, d.upstream.excess, d.fullAt)
		}
	}
}

func makeLimits(slots, connections int) hickoryadmission.Limits {
	return hickoryadmission.Limits{
		Slots:          hickoryid.Slots(slots),
		Connections:    hickoryid.Connections(connections),
		RampTime:       20 * time.Second,
		OpeningTimeout: 2 * time.Second,
	}
}
