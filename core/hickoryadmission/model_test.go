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

// modelFlow is a flow of the model. at is the time at which its opening was
// sent or, once it is open, at which it ends. coldResets is the number of cold
// resets of the gate at its admission.
type modelFlow struct {
	at         hickorymodel.Instant
	coldResets uint32
}

// upstreamModel is an upstream whose capacity for openings and flows grows with
// its warmth, from 0 (cold) to 1 (warm). Above its capacity it collapses: it
// answers nothing until the load has fallen to half of the capacity.
type upstreamModel struct {
	limits    hickoryadmission.Limits
	warmth    float64
	collapsed bool
	// opening and open are in the order of the times at which openings were
	// sent and at which open flows end.
	opening []modelFlow
	open    []modelFlow
	// peakLoad is the highest load as a multiple of the capacity.
	peakLoad float64
}

func (u *upstreamModel) openingCapacity() float64 {
	return 1 + u.warmth*float64(4*u.limits.Slots-1)
}

func (u *upstreamModel) flowCapacity() float64 {
	return float64(u.limits.Slots) + u.warmth*float64(int(u.limits.Connections)-int(u.limits.Slots))
}

func (u *upstreamModel) load() float64 {
	flows := float64(len(u.open)+len(u.opening)) / u.flowCapacity()
	return max(float64(len(u.opening))/u.openingCapacity(), flows)
}

func (u *upstreamModel) turnCold() {
	u.warmth = 0
	u.open = nil
}

// step simulates one step of time. A cold upstream answers five times more
// slowly than a warm one.
func (u *upstreamModel) step(now hickorymodel.Instant, lifetime time.Duration) (answered int, late, closed []modelFlow) {
	load := u.load()
	u.peakLoad = max(u.peakLoad, load)
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
			u.open = append(u.open, modelFlow{at: now.Add(lifetime), coldResets: flow.coldResets})
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

// simulation runs a gate and its upstream with more demand than the upstream
// can take. fullAt is the time from the start of the last run to the full
// limit; 0 if the run did not reach it.
type simulation struct {
	gate     *hickoryadmission.Gate
	upstream *upstreamModel
	lifetime time.Duration
	// flowsActive is true when open flows send packets.
	flowsActive bool
	now         hickorymodel.Instant
	fullAt      time.Duration
}

func newSimulation(slots, connections int, lifetime time.Duration) *simulation {
	limits := makeLimits(slots, connections)
	return &simulation{
		gate:     hickoryadmission.NewGate(limits),
		upstream: &upstreamModel{limits: limits},
		lifetime: lifetime,
		now:      startTime,
	}
}

func (s *simulation) run(length time.Duration) {
	start := s.now
	s.fullAt = 0
	for s.now.Sub(start) < length {
		s.now = s.now.Add(modelStep)
		answered, late, closed := s.upstream.step(s.now, s.lifetime)
		for i := range answered {
			coldResets := s.gate.ColdResets()
			s.gate.Complete(s.now)
			if s.gate.ColdResets() != coldResets {
				s.gate.Recount()
				s.upstream.open[len(s.upstream.open)-answered+i].coldResets = s.gate.ColdResets()
			}
		}
		for range late {
			s.gate.TimeOut(s.now)
		}
		for _, flow := range append(late, closed...) {
			if flow.coldResets == s.gate.ColdResets() {
				s.gate.Close()
			}
		}
		if s.flowsActive && len(s.upstream.open) > 0 {
			s.gate.RecordActivity(s.now)
		}
		s.gate.Advance(s.now)
		for range 4 {
			if s.gate.TryOpen(s.now) {
				s.upstream.opening = append(s.upstream.opening, modelFlow{at: s.now, coldResets: s.gate.ColdResets()})
			}
		}
		if s.fullAt == 0 && s.gate.Load().Limit >= 4*int(s.upstream.limits.Slots) {
			s.fullAt = s.now.Sub(start)
		}
	}
}

// TestColdStartStaysBearable guards guarantee P3: the load of an upstream that
// starts cold never exceeds its capacity, neither with flows that end soon nor
// with flows that stay open, and the upstream reaches full load.
func TestColdStartStaysBearable(t *testing.T) {
	for _, size := range []struct{ slots, connections int }{{6, 2000}, {2, 2000}, {6, 100}, {6, 10}} {
		for _, lifetime := range []time.Duration{20 * time.Millisecond, time.Second, time.Hour} {
			s := newSimulation(size.slots, size.connections, lifetime)
			s.run(60 * time.Second)
			t.Logf("%+v, lifetime %v: highest load %.3f, full after %v", size, lifetime, s.upstream.peakLoad, s.fullAt)
			if s.upstream.peakLoad > 1 {
				t.Errorf("%+v, lifetime %v: load %.3f times the capacity", size, lifetime, s.upstream.peakLoad)
			}
			if s.fullAt == 0 {
				t.Errorf("%+v, lifetime %v: not at full load after 60 s", size, lifetime)
			}
		}
	}
}

// TestTurnsColdWithoutWarning guards against new load on an upstream that
// turned cold without a message to the agent. The openings in flight at that
// time cannot be taken back; after one opening timeout the load must stay
// within the capacity until full load.
func TestTurnsColdWithoutWarning(t *testing.T) {
	for _, slots := range []int{6, 2} {
		for _, lifetime := range []time.Duration{20 * time.Millisecond, time.Second} {
			s := newSimulation(slots, 2000, lifetime)
			s.run(60 * time.Second)
			s.upstream.turnCold()
			s.upstream.peakLoad = 0
			s.run(s.upstream.limits.OpeningTimeout + 100*time.Millisecond)
			during := s.upstream.peakLoad
			s.upstream.peakLoad = 0
			s.run(60 * time.Second)
			t.Logf("slots %d, lifetime %v: load %.2f until detected, then %.3f, full after %v", slots, lifetime, during, s.upstream.peakLoad, s.fullAt)
			if s.upstream.peakLoad > 1 || s.fullAt == 0 {
				t.Errorf("slots %d, lifetime %v: load %.3f after the detection, full after %v", slots, lifetime, s.upstream.peakLoad, s.fullAt)
			}
		}
	}
}

// TestFullGateNoticesRestart guards against an upstream that restarts while its
// lost flows fill the gate, so that it receives no opening until they expire.
// Its load must stay within its capacity on the way back to full load.
func TestFullGateNoticesRestart(t *testing.T) {
	for _, size := range []struct{ slots, connections int }{{6, 2000}, {2, 2000}, {6, 10}} {
		for _, flowsActive := range []bool{true, false} {
			s := newSimulation(size.slots, size.connections, time.Hour)
			s.flowsActive = flowsActive
			s.run(60 * time.Second)
			held := len(s.upstream.open)
			s.upstream.turnCold()
			s.upstream.peakLoad = 0
			s.run(3 * time.Minute)
			t.Logf("%+v, flows active %v: %d flows lost, highest load %.3f, %d flows after 3 min", size, flowsActive, held, s.upstream.peakLoad, len(s.upstream.open))
			if held != size.connections || len(s.upstream.open) < size.connections {
				t.Errorf("%+v: %d flows before, %d after the restart", size, held, len(s.upstream.open))
			}
			if s.upstream.peakLoad > 1 {
				t.Errorf("%+v: load %.3f times the capacity", size, s.upstream.peakLoad)
			}
		}
	}
}

// TestProbesOfFullUpstream guards against probes that overload an upstream
// which still holds its flows. While flows send packets there must be no probe;
// while all are idle, one more flow at a time.
func TestProbesOfFullUpstream(t *testing.T) {
	for _, c := range []struct {
		flowsActive bool
		maxFlows    int
	}{{true, 2000}, {false, 2001}} {
		s := newSimulation(6, 2000, time.Hour)
		s.flowsActive = c.flowsActive
		s.run(20 * time.Minute)
		load := int(s.upstream.peakLoad*2000 + 0.5)
		t.Logf("flows active %v: highest number of flows %d", c.flowsActive, load)
		if load > c.maxFlows || len(s.upstream.open) != 2000 || s.gate.ColdResets() != 0 {
			t.Errorf("flows active %v: up to %d flows, %d open, %d cold resets", c.flowsActive, load, len(s.upstream.open), s.gate.ColdResets())
		}
	}
}

// TestEndpointsOnlyLower guards against health and load endpoints that report
// more than the upstream can handle, and against a limit that stays low after a
// report of full capacity.
func TestEndpointsOnlyLower(t *testing.T) {
	cases := []struct {
		name  string
		share float64
		limit int
	}{
		{"reports a hundred times its capacity", 100, 1},
		{"reports full capacity", 1, 1},
		{"reports no capacity", 0, 1},
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
	s := newSimulation(6, 2000, time.Second)
	s.run(60 * time.Second)
	for _, step := range []struct {
		share float64
		limit int
	}{{0.5, 12}, {0, 1}, {100, 24}} {
		s.gate.SetCeiling(step.share)
		if got := s.gate.Load().Limit; got != step.limit {
			t.Errorf("warm, reported share %v: limit %d, want %d", step.share, got, step.limit)
		}
	}
}

// TestLowReportDoesNotStarve guards against an endpoint that reports no
// capacity permanently, or alternates between low values, although openings
// complete.
func TestLowReportDoesNotStarve(t *testing.T) {
	for _, lifetime := range []time.Duration{20 * time.Millisecond, time.Second, time.Hour} {
		s := newSimulation(6, 2000, lifetime)
		s.flowsActive = true
		s.run(60 * time.Second)
		for i := range 60 {
			s.gate.SetCeiling(float64(i%2) / 48)
			if limit := s.gate.Load().Limit; i == 0 && limit != 1 {
				t.Errorf("lifetime %v: limit %d after the first report", lifetime, limit)
			}
			s.run(time.Second)
		}
		t.Logf("lifetime %v: limit %d after 60 s of low reports, cold resets %d", lifetime, s.gate.Load().Limit, s.gate.ColdResets())
		if s.gate.Load().Limit != 24 || s.gate.ColdResets() != 0 || s.upstream.peakLoad > 1 {
			t.Errorf("lifetime %v: limit %d, %d cold resets, load %.3f", lifetime, s.gate.Load().Limit, s.gate.ColdResets(), s.upstream.peakLoad)
		}
	}
}

// TestLowReportIsNoProbe guards against a gate that treats a limit lowered by a
// report as a full upstream, probes, and stops counting flows that the upstream
// holds.
func TestLowReportIsNoProbe(t *testing.T) {
	s := newSimulation(6, 2000, time.Hour)
	s.run(15 * time.Second)
	open := len(s.upstream.open)
	for i := range 30 {
		s.gate.SetCeiling(float64(29-i) / 64) // each report resets the extra openings
		s.run(10 * time.Second)
	}
	if s.gate.ColdResets() != 0 || len(s.upstream.open) < open {
		t.Errorf("%d cold resets, %d of %d flows open", s.gate.ColdResets(), len(s.upstream.open), open)
	}
}

// TestReportProvesNothing guards against an opening limit that rises while a
// low report keeps the openings below it. A later report of full capacity would
// put that untested limit in force.
func TestReportProvesNothing(t *testing.T) {
	for _, lifetime := range []time.Duration{20 * time.Millisecond, time.Second, time.Hour} {
		s := newSimulation(6, 2000, lifetime)
		s.run(5 * time.Second)
		before := s.gate.Load().Limit
		s.gate.SetCeiling(0)
		s.run(3 * time.Second)
		s.gate.SetCeiling(1)
		if after := s.gate.Load().Limit; after > before {
			t.Errorf("lifetime %v: limit %d before a low report, %d after it", lifetime, before, after)
		}
		s.run(60 * time.Second)
		if s.upstream.peakLoad > 1 || s.fullAt == 0 {
			t.Errorf("lifetime %v: load %.3f, full after %v", lifetime, s.upstream.peakLoad, s.fullAt)
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
