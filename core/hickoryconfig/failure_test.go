package hickoryconfig_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

// inForceLimit is the time in which an accepted version is in force everywhere.
const inForceLimit = 11 * time.Second

const (
	team hickoryid.TeamName = "pagebound"
	// zoneTaken is the zone that is taken out of service.
	zoneTaken hickoryid.ZoneName = "tt-north-b"
)

// scenario is a failure under which a promise must hold. It returns an error
// when the promise is broken.
type scenario struct {
	name string
	// rule is the rule without which run must return an error.
	rule hickoryconfig.Rule
	run  func(t *testing.T, without hickoryconfig.Rule) error
}

var scenarios = []scenario{
	{"stale answer rolls nothing back", hickoryconfig.RuleRisingVersions, staleAnswer},
	{"stale answer confirms nothing", hickoryconfig.RuleStaleReads, staleReader},
	{"restart while the service is stale", hickoryconfig.RuleStartup, restartWhileStale},
	{"restart while the service is down", hickoryconfig.RuleExchange, restartWhileDown},
	{"partition heals", hickoryconfig.RuleExchange, partitionHeals},
	{"paused process wakes", hickoryconfig.RulePause, pausedProcess},
	{"bad section beside a good one", hickoryconfig.RuleChecks, badSection},
	{"new instance learns the last good version", hickoryconfig.RuleExchange, newInstance},
	{"readers die", hickoryconfig.RuleTakeover, readersDie},
	{"zone taken out while a balancer is partitioned", hickoryconfig.RuleFreshWindow, zoneOutPartitioned},
	{"zone taken out by a large section", hickoryconfig.RuleAnnouncedZones, zoneOutLarge},
}

// TestFailures guards the promises of the configuration under each failure.
func TestFailures(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if err := s.run(t, 0); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestFailuresAreFoundWithoutRules guards the checks themselves: each must fail
// when the rule that it covers is switched off.
func TestFailuresAreFoundWithoutRules(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			err := s.run(t, s.rule)
			if err == nil {
				t.Fatal("the check passes without the rule")
			}
			t.Log(err)
		})
	}
}

func (f *fleet) versionOf(m *machine, team hickoryid.TeamName) hickoryid.SectionVersion {
	for _, service := range m.services {
		if service.Team == team {
			return hickoryid.SectionVersion(service.Generation)
		}
	}
	return 0
}

// settle waits until a version is in force in all of the machines.
func (f *fleet) settle(version hickoryid.SectionVersion, machines []*machine) error {
	behind := 0
	ok := f.run(inForceLimit, func() bool {
		behind = 0
		for _, m := range machines {
			if !m.down && f.versionOf(m, team) != version {
				behind++
			}
		}
		return behind == 0
	})
	if !ok {
		return errors.Errorf("version %d is not in force in %d of %d instances after %s", version, behind, len(machines), inForceLimit)
	}
	return nil
}

// watchVersions reports versions that go back, and versions below the floor. A
// process that has started and has none in force yet is not reported.
func (f *fleet) watchVersions(floor hickoryid.SectionVersion) *error {
	var failure error
	last := map[*machine]hickoryid.SectionVersion{}
	f.applied = func(m *machine, _ []hickorymodel.Service) {
		version := f.versionOf(m, team)
		if failure == nil && (version < last[m] || version > 0 && version < floor) {
			failure = errors.Errorf("%s put version %d in force after version %d", m.instance.ID, version, max(last[m], floor))
		}
		last[m] = max(last[m], version)
	}
	return &failure
}

// started returns a fleet in which a section has been in force for a while, and
// in which the given rules are off from then on.
func started(t *testing.T, size int, without hickoryconfig.Rule, contents ...string) (*fleet, hickoryid.SectionVersion, error) {
	f := newFleet(t, size, 3)
	version := hickoryid.SectionVersion(0)
	for _, content := range contents {
		version = f.service.publish(team, content)
		if err := f.settle(version, f.machines); err != nil {
			return f, version, errors.Wrap(err, "start")
		}
	}
	f.runUntil(f.now.Add(5 * time.Second))
	f.switchOff(without)
	f.runUntil(f.now.Add(time.Second))
	return f, version, nil
}

func plain() string {
	return sectionOf(team, 1, "10.1.0.1:443")
}

// readers returns the machines that watch the service.
func (f *fleet) readers() []*machine {
	counts := map[*machine]int{}
	f.service.readableBy = func(m *machine) bool { counts[m]++; return true }
	f.runUntil(f.now.Add(2 * time.Second))
	f.service.readableBy = nil
	var found []*machine
	for _, m := range f.machines {
		if counts[m] > 0 {
			found = append(found, m)
		}
	}
	return found
}

func staleAnswer(t *testing.T, without hickoryconfig.Rule) error {
	f, version, err := started(t, 12, without, plain(), sectionOf(team, 1, "10.1.0.2:443"))
	if err != nil {
		return err
	}
	failure := f.watchVersions(version)
	f.service.stale = 1
	for _, m := range f.readers() {
		f.perform(m, m.node.HandleValues(f.now, f.now, f.service.after(0)))
	}
	f.runUntil(f.now.Add(10 * time.Second))
	return *failure
}

// staleReader cuts one reader off from its peers, while the service shows it an
// older state. Its reads confirm nothing, so it must stop.
func staleReader(t *testing.T, without hickoryconfig.Rule) error {
	f, _, err := started(t, 12, without, plain(), plain())
	if err != nil {
		return err
	}
	alone := f.readers()[0]
	f.service.stale = 1
	f.cut = func(a, b *machine) bool { return a == alone || b == alone }
	f.runUntil(f.now.Add(hickoryconfig.FreshWindow + 500*time.Millisecond))
	if alone.lease.Allows(f.now) {
		return errors.New("a reader that sees an older state only still forwards")
	}
	return nil
}

// restartWhileStale restarts a reader that can read an older state from the
// service before it can reach its peers.
func restartWhileStale(t *testing.T, without hickoryconfig.Rule) error {
	f, version, err := started(t, 12, without, plain(), plain())
	if err != nil {
		return err
	}
	reader := f.readers()[0]
	f.service.stale = 1
	failure := f.watchVersions(version)
	f.cut = func(a, b *machine) bool { return a == reader || b == reader }
	f.start(reader)
	f.runUntil(f.now.Add(2 * time.Second))
	f.cut = func(_, _ *machine) bool { return false }
	if err := f.settle(version, []*machine{reader}); err != nil {
		return err
	}
	return *failure
}

func restartWhileDown(t *testing.T, without hickoryconfig.Rule) error {
	f, version, err := started(t, 12, without, plain())
	if err != nil {
		return err
	}
	f.service.down = true
	f.runUntil(f.now.Add(10 * time.Second))
	restarted := f.machines[3]
	f.start(restarted)
	if err := f.settle(version, []*machine{restarted}); err != nil {
		return err
	}
	f.runUntil(f.now.Add(2 * time.Second))
	for _, m := range f.machines {
		if !m.lease.Allows(f.now) {
			return errors.Errorf("%s does not forward while the service is down", m.instance.ID)
		}
	}
	return nil
}

func partitionHeals(t *testing.T, without hickoryconfig.Rule) error {
	f, _, err := started(t, 12, without, plain())
	if err != nil {
		return err
	}
	minority := f.machines[:4]
	inMinority := func(m *machine) bool { return m.instance.ID < f.machines[4].instance.ID }
	f.cut = func(a, b *machine) bool { return inMinority(a) != inMinority(b) }
	f.service.readableBy = func(m *machine) bool { return !inMinority(m) }
	// A watch that was pending at the cut still gets its answer.
	f.runUntil(f.now.Add(2 * hickoryconfig.WatchTime))
	version := f.service.publish(team, plain())
	if err := f.settle(version, f.machines[4:]); err != nil {
		return err
	}
	f.runUntil(f.now.Add(hickoryconfig.FreshWindow))
	for _, m := range minority {
		if m.lease.Allows(f.now) {
			return errors.Errorf("%s forwards %s after it was cut off", m.instance.ID, hickoryconfig.FreshWindow)
		}
	}
	f.cut = func(_, _ *machine) bool { return false }
	return f.settle(version, f.machines)
}

// pausedProcess takes a zone out of service while a balancer is paused for less
// than the freshness window.
func pausedProcess(t *testing.T, without hickoryconfig.Rule) error {
	for _, pause := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 20 * time.Second} {
		f, _, err := started(t, 12, without, plain())
		if err != nil {
			return err
		}
		paused := f.machines[5]
		paused.pausedUntil = f.now.Add(pause)
		f.service.publish(team, sectionOf(team, 1, "10.1.0.1:443", zoneOut(zoneTaken)))
		f.runUntil(paused.pausedUntil - 1)
		f.now++
		if forwardsToTaken(paused, f.now) {
			return errors.Errorf("after a pause of %s the first packet goes to the zone out of service", pause)
		}
		violated := f.run(2*time.Second, func() bool { return forwardsToTaken(paused, f.now) })
		if violated || !paused.lease.Allows(f.now) {
			return errors.Errorf("after a pause of %s: violated %t, forwards %t", pause, violated, paused.lease.Allows(f.now))
		}
	}
	return nil
}

// forwardsToTaken reports whether a balancer would send a packet to the zone taken out.
func forwardsToTaken(m *machine, now hickorymodel.Instant) bool {
	if !m.lease.Allows(now) {
		return false
	}
	for _, service := range m.services {
		for _, upstream := range service.Upstreams {
			if upstream.Zone == zoneTaken && upstream.State != hickorymodel.UpstreamExcluded {
				return true
			}
		}
	}
	return false
}

func badSection(t *testing.T, without hickoryconfig.Rule) error {
	f, version, err := started(t, 12, without, plain())
	if err != nil {
		return err
	}
	bad := sectionOf("arboleda", 2, "10.1.0.9:443")
	f.service.publish("other", bad)
	good := f.service.publish(team, plain())
	if err := f.settle(good, f.machines); err != nil {
		return errors.Wrapf(err, "good section above version %d", version)
	}
	f.runUntil(f.now.Add(5 * time.Second))
	for _, m := range f.machines {
		if _, held := m.node.Store().Held("other"); held {
			return errors.Errorf("%s holds a section whose team differs from its key", m.instance.ID)
		}
	}
	return nil
}

// TestNewerGenerationPulls guards against a balancer that waits for its peers
// although an agent has told it of a newer version.
func TestNewerGenerationPulls(t *testing.T) {
	f, version, err := started(t, 3, 0, plain())
	if err != nil {
		t.Fatal(err)
	}
	m := f.machines[0]
	list := hickoryplatform.Instances{Instances: []hickoryplatform.Instance{m.instance, {
		ID: "agent-0", Role: hickoryplatform.RoleAgent, Zone: "tt-north-a", Region: "tt-north",
		State: hickoryplatform.InstanceStateLive, DataEndpoint: "10.2.1.1:6081", ControlEndpoint: "10.2.1.1:7000",
	}}}
	m.node.SetInstances(f.now, list)
	for _, step := range []struct {
		version hickoryid.SectionVersion
		pulls   int
	}{{version, 0}, {version + 1, 1}} {
		pulls := 0
		notice := hickorymessage.NewerGeneration{Service: 1, Generation: step.version}
		for _, action := range m.node.HandleNewerGeneration(f.now, "10.2.1.1:6081", notice) {
			if action.Verb == hickoryconfig.VerbPull && action.Peer == "10.2.1.1:7000" {
				pulls++
			}
		}
		if pulls != step.pulls {
			t.Fatalf("notice of version %d: %d pulls, want %d", step.version, pulls, step.pulls)
		}
	}
}

// newInstance starts an instance after a version that is rejected has replaced
// the last good one in the service.
func newInstance(t *testing.T, without hickoryconfig.Rule) error {
	f, version, err := started(t, 12, without, plain())
	if err != nil {
		return err
	}
	f.service.publish(team, `{"team": "wrong"}`)
	f.runUntil(f.now.Add(5 * time.Second))
	f.start(f.readers()[0])
	f.start(f.machines[7])
	return f.settle(version, f.machines)
}

func readersDie(t *testing.T, without hickoryconfig.Rule) error {
	f, _, err := started(t, 24, without, plain())
	if err != nil {
		return err
	}
	for _, m := range f.readers() {
		m.down = true
	}
	version := f.service.publish(team, plain())
	// The first in line reads after 3 s + 3 x 0.5 s, and at most 10 s after the
	// read before; the relay takes the rest.
	f.runUntil(f.now.Add(4500 * time.Millisecond))
	return f.settle(version, f.machines)
}

// zoneOutPartitioned cuts one balancer off, takes a zone out of service and
// checks that no packet goes there 3 s after the others could know of it.
func zoneOutPartitioned(t *testing.T, without hickoryconfig.Rule) error {
	f, _, err := started(t, 12, without, plain())
	if err != nil {
		return err
	}
	alone := f.machines[2]
	f.cut = func(a, b *machine) bool { return a == alone || b == alone }
	f.service.readableBy = func(m *machine) bool { return m != alone }
	// A watch that was pending at the cut still gets its answer.
	f.runUntil(f.now.Add(2 * hickoryconfig.WatchTime))
	f.service.publish(team, sectionOf(team, 1, "10.1.0.1:443", zoneOut(zoneTaken)))
	f.runUntil(f.now.Add(hickoryconfig.FreshWindow))
	if f.run(30*time.Second, func() bool { return f.anyForwardsToTaken() != "" }) {
		return errors.Errorf("%s sends to a zone out of service at %d ms", f.anyForwardsToTaken(), f.now/1e6)
	}
	return nil
}

// anyForwardsToTaken returns a balancer that sends to the zone taken out.
func (f *fleet) anyForwardsToTaken() hickoryid.InstanceID {
	for _, m := range f.machines {
		if !m.down && forwardsToTaken(m, f.now) {
			return m.instance.ID
		}
	}
	return ""
}

// zoneOutLarge takes a zone out of service with a section whose content takes
// longer than 3 s to reach everyone within the byte budget.
func zoneOutLarge(t *testing.T, without hickoryconfig.Rule) error {
	f, _, err := started(t, 12, without, plain())
	if err != nil {
		return err
	}
	large := sectionOf(team, 1, "10.1.0.1:443", zoneOut(zoneTaken))
	large += fmt.Sprintf("%200000s", "")
	f.service.publish(team, large)
	f.runUntil(f.now.Add(hickoryconfig.FreshWindow))
	if f.run(5*time.Second, func() bool { return f.anyForwardsToTaken() != "" }) {
		return errors.Errorf("%s sends to a zone out of service at %d ms", f.anyForwardsToTaken(), f.now/1e6)
	}
	return nil
}
