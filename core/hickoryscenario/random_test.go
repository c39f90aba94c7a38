package hickoryscenario

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"hickoryworks/core/hickorymodel"
)

var (
	randomSeeds  = flag.Int("randomSeeds", 30, "number of random fault schedules")
	plannedSeeds = flag.Int("plannedSeeds", 10, "number of random schedules of planned changes alone")
	randomSteps  = flag.Int("randomSteps", 20, "number of actions in one random schedule, about 3 s apart")
	firstSeed    = flag.Uint64("firstSeed", 1, "seed of the first random fault schedule")
)

// TestRandomFaults guards against combinations of faults that no script names:
// two owners, a first packet at two upstreams, a wrong service, a zone that is
// out of service, a version that goes back.
func TestRandomFaults(t *testing.T) {
	runSchedules(t, func(s *schedule) []func() {
		return append(s.planned(), s.faults()...)
	}, *randomSeeds, false)
}

// TestRandomPlannedChanges guards against planned changes that break a flow.
func TestRandomPlannedChanges(t *testing.T) {
	runSchedules(t, (*schedule).planned, *plannedSeeds, true)
}

func runSchedules(t *testing.T, actions func(*schedule) []func(), seeds int, survival bool) {
	for i := range seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			skipKnownRed(t)
			t.Parallel()
			s := newSchedule(seed)
			s.run(actions(s), *randomSteps)
			err := s.w.log.check()
			if err == nil && survival {
				err = s.w.log.checkSurvival()
			}
			if err != nil {
				t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(s.done, "\n"))
			}
		})
	}
}

// TestRandomRegressions keeps schedules of random faults that have failed.
func TestRandomRegressions(t *testing.T) {
	cases := []struct {
		cause string
		seed  uint64
		steps int
	}{
		{"agents of a returned zone took the silence of an owner that did not know of the return for its death", 36, 20},
		{"the same, with another owner", 144, 20},
		{"the same, later in the schedule", 36, 30},
		{"an agent sent a first packet that had waited for it after a redirect entry from before its pause", 5, 30},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("seed%d-%d", c.seed, c.steps), func(t *testing.T) {
			t.Parallel()
			s := newSchedule(c.seed)
			s.run(append(s.planned(), s.faults()...), c.steps)
			if err := s.w.log.check(); err != nil {
				t.Fatalf("%s: %v\n%s", c.cause, err, strings.Join(s.done, "\n"))
			}
		})
	}
}

// schedule draws actions and keeps what is needed to undo them.
type schedule struct {
	w *world
	// live, leaving and out hold names of agents and zones.
	live, leaving []string
	zoneOut       bool
	flippedAt     hickorymodel.Instant
	paused        string
	crashed       bool
	opened        int
	added         int
	done          []string
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{w: newWorld(seed)}
	clubroom := s.w.addSection("clubroom")
	count := 3 + s.w.random.IntN(6)
	for i := range count {
		s.add(clubroom, i)
	}
	s.w.addUpstream(s.w.addSection("packetdesk"), "p1@z1")
	s.w.publish(nil)
	for _, name := range []string{"b1", "b2", "b3"} {
		s.w.startBalancer(name)
	}
	return s
}

func (s *schedule) add(to *section, zone int) {
	s.added++
	name := fmt.Sprintf("a%d", s.added)
	s.w.addUpstream(to, fmt.Sprintf("%s@z%d", name, zone%3+1))
	s.live = append(s.live, name)
}

// run takes a number of actions drawn from a list.
func (s *schedule) run(actions []func(), steps int) {
	for range steps {
		s.traffic()
		actions[s.w.random.IntN(len(actions))]()
		s.w.wait(time.Duration(500+s.w.random.IntN(5000)) * time.Millisecond)
	}
	s.w.rules = nil
	if s.paused != "" {
		s.resume()
	}
	s.w.publish(nil)
	s.sprayAll()
	s.w.wait(20 * time.Second)
}

func (s *schedule) note(format string, args ...any) {
	at := time.Duration(s.w.now) - time.Hour
	s.done = append(s.done, at.String()+" "+fmt.Sprintf(format, args...))
}

// traffic opens, repeats and uses some flows. Callers repeat no first packet that
// was answered; the network may for a short time.
func (s *schedule) traffic() {
	for i := range 3 {
		protocol := hickorymodel.ProtocolTCP
		if i == 0 {
			protocol = hickorymodel.ProtocolUDP
		}
		s.opened++
		s.w.open(s.w.newFlow(fmt.Sprintf("f%d", s.opened), protocol, s.w.sections["clubroom"], ""))
	}
	f := s.w.flows[s.w.random.IntN(len(s.w.flows))]
	switch {
	case f.closed:
		s.w.open(f)
	case !f.established || s.w.now.Sub(f.openedAt) < 3*time.Second:
		s.w.sendVia("", s.w.newPacket(f, true, false))
	case f.established:
		s.w.closeFlow(f)
	}
	s.sprayAll()
}

func (s *schedule) sprayAll() {
	for _, f := range s.w.flows {
		s.w.spray(f)
	}
}

// planned returns the changes that operators make.
func (s *schedule) planned() []func() {
	return []func(){s.addOne, s.drainOne, s.removeOne, s.replaceOne, s.restartBalancer, s.publishLate}
}

func (s *schedule) addOne() {
	if s.added >= 14 {
		return
	}
	s.add(s.w.sections["clubroom"], s.w.random.IntN(3))
	s.note("add a%d", s.added)
	s.publishPart()
}

func (s *schedule) drainOne() {
	if len(s.live) < 3 {
		return
	}
	name := s.take()
	s.leaving = append(s.leaving, name)
	s.w.setState(name, hickorymodel.UpstreamLeaving)
	s.note("drain %s", name)
	s.publishPart()
}

// take removes a random agent from the live ones.
func (s *schedule) take() string {
	i := s.w.random.IntN(len(s.live))
	name := s.live[i]
	s.live = append(s.live[:i:i], s.live[i+1:]...)
	return name
}

func (s *schedule) removeOne() {
	if len(s.leaving) == 0 {
		return
	}
	s.w.removeUpstream(s.leaving[0])
	s.note("remove %s", s.leaving[0])
	s.leaving = s.leaving[1:]
	s.publishPart()
}

func (s *schedule) replaceOne() {
	if len(s.live) < 3 || s.added >= 14 {
		return
	}
	old := s.take()
	s.added++
	name := fmt.Sprintf("a%d", s.added)
	s.w.replaceUpstream(old, name)
	s.live = append(s.live, name)
	s.note("replace %s %s", old, name)
	s.publishPart()
}

func (s *schedule) restartBalancer() {
	s.w.startBalancer("b2")
	s.note("restart b2")
}

// publishPart publishes to some processes now and to the others within the 11 s
// in which a change takes effect everywhere.
func (s *schedule) publishPart() {
	var first, later []string
	for _, name := range s.w.names {
		if s.w.random.IntN(2) == 0 {
			first = append(first, name)
		} else {
			later = append(later, name)
		}
	}
	first = append(first, s.w.names[0])
	s.w.publish(first)
	var services []hickorymodel.Service
	for _, section := range s.w.sortedSections() {
		services = append(services, section.published)
	}
	for _, name := range later {
		s.w.after(time.Duration(s.w.random.Int64N(int64(8*time.Second))), func() {
			for _, service := range services {
				s.w.put(name, service)
			}
		})
	}
	s.note("publish first at %v", first)
}

func (s *schedule) publishLate() {
	s.publishPart()
}

// faults returns what goes wrong.
func (s *schedule) faults() []func() {
	return []func(){s.crashOne, s.pauseOne, s.resume, s.partitionAgents, s.loseMessages, s.heal, s.flipZone}
}

// crashOne lets balancers suspect the agent after 4 s.
func (s *schedule) crashOne() {
	if s.crashed || len(s.live) < 3 {
		return
	}
	s.crashed = true
	name := s.take()
	s.w.kill(name)
	s.note("crash %s", name)
	s.w.after(4*time.Second, func() { s.suspect(name) })
}

// pauseOne pauses an agent or a balancer. An agent is suspected after 4 s.
func (s *schedule) pauseOne() {
	if s.paused != "" {
		return
	}
	name := s.w.names[s.w.random.IntN(len(s.w.names))]
	if s.w.processOf(name).dead {
		return
	}
	s.paused = name
	s.w.pause(name, true)
	s.note("pause %s", name)
	if a, ok := s.w.agents[name]; ok {
		s.w.after(4*time.Second, func() {
			if a.paused && a.section.states[a.upstream] == hickorymodel.UpstreamAccepting {
				s.suspect(name)
			}
		})
	}
}

// suspect goes by the id, which may have passed to another agent.
func (s *schedule) suspect(name string) {
	if s.w.agents[name].named() {
		s.w.setState(name, hickorymodel.UpstreamSuspected)
		s.w.distribute(nil)
	}
}

func (s *schedule) resume() {
	if s.paused == "" {
		return
	}
	name := s.paused
	s.paused = ""
	s.w.pause(name, false)
	s.note("resume %s", name)
	a, ok := s.w.agents[name]
	if ok && a.named() && a.section.states[a.upstream] == hickorymodel.UpstreamSuspected && !a.dead {
		s.w.setState(name, hickorymodel.UpstreamAccepting)
		s.w.distribute(nil)
	}
}

func (s *schedule) partitionAgents() {
	from, to := s.w.names[s.w.random.IntN(len(s.w.names))], s.w.names[s.w.random.IntN(len(s.w.names))]
	s.w.rules = append(s.w.rules, rule{kind: "*", from: from, to: to, loss: 1})
	s.note("partition oneway %s %s", from, to)
}

func (s *schedule) loseMessages() {
	kinds := []string{"ownerQuery", "ownerReply", "redirectEntry", "loadNotice", "packet", "reply"}
	r := rule{kind: kinds[s.w.random.IntN(len(kinds))], from: "*", to: "*", loss: 0.3, delay: 5 * time.Millisecond, jitter: 50 * time.Millisecond, repeat: s.w.random.IntN(2)}
	s.w.rules = append(s.w.rules, r)
	s.note("link %s loss 0.3 jitter 50ms repeat %d", r.kind, r.repeat)
}

func (s *schedule) heal() {
	s.w.rules = nil
	s.note("heal")
}

// flipZone takes a zone out or back in. A change takes effect everywhere within
// 11 s; an agent that never saw its zone go out can't know that flows were lost.
func (s *schedule) flipZone() {
	if s.w.now.Sub(s.flippedAt) < 12*time.Second {
		return
	}
	s.flippedAt = s.w.now
	s.zoneOut = !s.zoneOut
	s.w.setZone("z1", s.zoneOut)
	s.note("zone z1 out=%t", s.zoneOut)
	s.publishPart()
}
