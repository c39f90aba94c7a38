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

// inForceLimit is the time within which an accepted version must be in force in
// all balancers.
const inForceLimit = 11 * time.Second

const (
	team hickoryid.TeamName = "pagebound"
	// excludedZone is the zone that the scenarios take out of service.
	excludedZone hickoryid.ZoneName = "tt-north-b"
)

// scenario is a failure under which a guarantee must hold. run returns an error
// when the guarantee is broken.
type scenario struct {
	name string
	// rule is the rule without which run must return an error.
	rule hickoryconfig.Rule
	run  func(t *testing.T, without hickoryconfig.Rule) error
}

var scenarios = []scenario{
	{"stale answer does not restore an older version", hickoryconfig.RuleRisingVersions, staleAnswer},
	{"stale answer confirms nothing", hickoryconfig.RuleStaleReads, staleReader},
	{"restart while the configuration service is stale", hickoryconfig.RuleStartup, restartWhileStale},
	{"restart while the configuration service is down", hickoryconfig.RuleExchange, restartWhileDown},
	{"partition heals", hickoryconfig.RuleExchange, partitionHeals},
	{"paused process resumes", hickoryconfig.RulePause, pausedProcess},
	{"invalid section beside a valid one", hickoryconfig.RuleChecks, badSection},
	{"new instance gets the last valid version from peers", hickoryconfig.RuleExchange, newInstance},
	{"readers die", hickoryconfig.RuleTakeover, readersDie},
	{"zone taken out while a balancer is partitioned", hickoryconfig.RuleFreshWindow, zoneOutPartitioned},
	{"zone taken out by a large section", hickoryconfig.RuleAnnouncedZones, zoneOutLarge},
}

// TestFailures guards against stale, missing or unchecked configuration in force
// while the configuration service, the readers, the network or a process fails.
func TestFailures(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if err := s.run(t, 0); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestFailuresAreFoundWithoutRules guards against checks that can't fail: each
// check must fail when the rule that it covers is switched off.
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

// versionOf returns the version of a section that is in force in a machine; 0 when
// none is.
func (f *fleet) versionOf(m *machine, team hickoryid.TeamName) hickoryid.SectionVersion {
	for _, service := range m.services {
		if service.Team == team {
			return hickoryid.SectionVersion(service.Generation)
		}
	}
	return 0
}

// waitInForce waits until a version is in force in all of the machines that run.
func (f *fleet) waitInForce(version hickoryid.SectionVersion, machines []*machine) error {
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

// watchVersions records the first version that is lower than one in force before,
// or lower than minVersion. A process that has started and has no version in force
// yet is not reported.
func (f *fleet) watchVersions(minVersion hickoryid.SectionVersion) *error {
	var failure error
	last := map[*machine]hickoryid.SectionVersion{}
	f.applied = func(m *machine, _ []hickorymodel.Service) {
		version := f.versionOf(m, team)
		if failure == nil && (version < last[m] || version > 0 && version < minVersion) {
			failure = errors.Errorf("%s put version %d in force after version %d", m.instance.ID, version, max(last[m], minVersion))
		}
		last[m] = max(last[m], version)
	}
	return &failure
}

// newRunningFleet returns a fleet in which the contents were published one after
// the other and reached all machines, and in which the given rules are switched off
// from then on.
func newRunningFleet(t *testing.T, size int, without hickoryconfig.Rule, contents ...string) (*fleet, hickoryid.SectionVersion, error) {
	f := newFleet(t, size, 3)
	version := hickoryid.SectionVersion(0)
	for _, content := range contents {
		version = f.service.publish(team, content)
		if err := f.waitInForce(version, f.machines); err != nil {
			return f, version, errors.Wrap(err, "start fleet")
		}
	}
	f.runUntil(f.now.Add(5 * time.Second))
	f.switchOff(without)
	f.runUntil(f.now.Add(time.Second))
	return f, version, nil
}

func plainSection() string {
	return sectionOf(team, 1, "10.1.0.1:443")
}

// readers returns the machines that watch the configuration service.
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

// staleAnswer gives the readers an answer with the first version of a section,
// after a second one is in force.
func staleAnswer(t *testing.T, without hickoryconfig.Rule) error {
	f, version, err := newRunningFleet(t, 12, without, plainSection(), sectionOf(team, 1, "10.1.0.2:443"))
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

// staleReader cuts one reader off from its peers, while the configuration service
// returns an older state to it. These reads confirm nothing, so the reader must
// stop forwarding.
func staleReader(t *testing.T, without hickoryconfig.Rule) error {
	f, _, err := newRunningFleet(t, 12, without, plainSection(), plainSection())
	if err != nil {
		return err
	}
	isolated := f.readers()[0]
	f.service.stale = 1
	f.cut = func(a, b *machine) bool { return a == isolated || b == isolated }
	f.runUntil(f.now.Add(hickoryconfig.FreshWindow + 500*time.Millisecond))
	if isolated.lease.Allows(f.now) {
		return errors.New("a reader forwards although its reads return only an older state")
	}
	return nil
}

// restartWhileStale restarts a reader that reads an older state from the
// configuration service before it can reach its peers.
func restartWhileStale(t *testing.T, without hickoryconfig.Rule) error {
	f, version, err := newRunningFleet(t, 12, without, plainSection(), plainSection())
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
	if err := f.waitInForce(version, []*machine{reader}); err != nil {
		return err
	}
	return *failure
}

// restartWhileDown restarts a balancer while the configuration service is down. It
// must get the version from its peers, and all balancers must go on forwarding.
func restartWhileDown(t *testing.T, without hickoryconfig.Rule) error {
	f, version, err := newRunningFleet(t, 12, without, plainSection())
	if err != nil {
		return err
	}
	f.service.down = true
	f.runUntil(f.now.Add(10 * time.Second))
	restarted := f.machines[3]
	f.start(restarted)
	if err := f.waitInForce(version, []*machine{restarted}); err != nil {
		return err
	}
	f.runUntil(f.now.Add(2 * time.Second))
	for _, m := range f.machines {
		if !m.lease.Allows(f.now) {
			return errors.Errorf("%s does not forward while the configuration service is down", m.instance.ID)
		}
	}
	return nil
}

// partitionHeals publishes a version while a third of the balancers is cut off from
// the others and from the configuration service. These must stop forwarding within
// FreshWindow and have the version after the partition.
func partitionHeals(t *testing.T, without hickoryconfig.Rule) error {
	f, _, err := newRunningFleet(t, 12, without, plainSection())
	if err != nil {
		return err
	}
	minority := f.machines[:4]
	inMinority := func(m *machine) bool { return m.instance.ID < f.machines[4].instance.ID }
	f.cut = func(a, b *machine) bool { return inMinority(a) != inMinority(b) }
	f.service.readableBy = func(m *machine) bool { return !inMinority(m) }
	// A watch that was pending at the cut still gets its answer.
	f.runUntil(f.now.Add(2 * hickoryconfig.WatchTime))
	version := f.service.publish(team, plainSection())
	if err := f.waitInForce(version, f.machines[4:]); err != nil {
		return err
	}
	f.runUntil(f.now.Add(hickoryconfig.FreshWindow))
	for _, m := range minority {
		if m.lease.Allows(f.now) {
			return errors.Errorf("%s forwards %s after it was cut off", m.instance.ID, hickoryconfig.FreshWindow)
		}
	}
	f.cut = func(_, _ *machine) bool { return false }
	return f.waitInForce(version, f.machines)
}

// pausedProcess takes a zone out of service while a balancer is paused, for times
// shorter and longer than FreshWindow. After the pause the first packet must not go
// to that zone.
func pausedProcess(t *testing.T, without hickoryconfig.Rule) error {
	for _, pause := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 20 * time.Second} {
		f, _, err := newRunningFleet(t, 12, without, plainSection())
		if err != nil {
			return err
		}
		paused := f.machines[5]
		paused.pausedUntil = f.now.Add(pause)
		f.service.publish(team, sectionOf(team, 1, "10.1.0.1:443", zoneOut(excludedZone)))
		f.runUntil(paused.pausedUntil - 1)
		f.now++
		if forwardsToExcluded(paused, f.now) {
			return errors.Errorf("after a pause of %s the first packet goes to the zone out of service", pause)
		}
		violated := f.run(2*time.Second, func() bool { return forwardsToExcluded(paused, f.now) })
		if violated || !paused.lease.Allows(f.now) {
			return errors.Errorf("after a pause of %s: forwards to the zone out of service %t, lease allows forwarding %t", pause, violated, paused.lease.Allows(f.now))
		}
	}
	return nil
}

// forwardsToExcluded reports whether a balancer would send a packet to excludedZone.
func forwardsToExcluded(m *machine, now hickorymodel.Instant) bool {
	if !m.lease.Allows(now) {
		return false
	}
	for _, service := range m.services {
		for _, upstream := range service.Upstreams {
			if upstream.Zone == excludedZone && upstream.State != hickorymodel.UpstreamExcluded {
				return true
			}
		}
	}
	return false
}

// badSection publishes a section whose team differs from its key beside a valid
// one. The first must be held nowhere, the second be in force everywhere.
func badSection(t *testing.T, without hickoryconfig.Rule) error {
	f, version, err := newRunningFleet(t, 12, without, plainSection())
	if err != nil {
		return err
	}
	bad := sectionOf("arboleda", 2, "10.1.0.9:443")
	f.service.publish("other", bad)
	good := f.service.publish(team, plainSection())
	if err := f.waitInForce(good, f.machines); err != nil {
		return errors.Wrapf(err, "valid section after version %d", version)
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
// although an agent has announced a newer version.
func TestNewerGenerationPulls(t *testing.T) {
	f, version, err := newRunningFleet(t, 3, 0, plainSection())
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
		newerGeneration := hickorymessage.NewerGeneration{Service: 1, Generation: step.version}
		for _, action := range m.node.HandleNewerGeneration(f.now, "10.2.1.1:6081", newerGeneration) {
			if action.Verb == hickoryconfig.VerbPull && action.Peer == "10.2.1.1:7000" {
				pulls++
			}
		}
		if pulls != step.pulls {
			t.Fatalf("datagram with version %d: %d pulls, want %d", step.version, pulls, step.pulls)
		}
	}
}

// newInstance starts two instances after a version that is rejected has replaced
// the last valid one in the configuration service. They must get the valid one
// from their peers.
func newInstance(t *testing.T, without hickoryconfig.Rule) error {
	f, version, err := newRunningFleet(t, 12, without, plainSection())
	if err != nil {
		return err
	}
	f.service.publish(team, `{"team": "wrong"}`)
	f.runUntil(f.now.Add(5 * time.Second))
	f.start(f.readers()[0])
	f.start(f.machines[7])
	return f.waitInForce(version, f.machines)
}

// readersDie stops all readers before a version is published. Other balancers must
// take over the reads.
func readersDie(t *testing.T, without hickoryconfig.Rule) error {
	f, _, err := newRunningFleet(t, 24, without, plainSection())
	if err != nil {
		return err
	}
	for _, m := range f.readers() {
		m.down = true
	}
	version := f.service.publish(team, plainSection())
	// The balancer with the next rank reads after 3 s + 3 x 0.5 s, and at most 10 s
	// after its last read; the exchanges take the rest.
	f.runUntil(f.now.Add(4500 * time.Millisecond))
	return f.waitInForce(version, f.machines)
}

// zoneOutPartitioned cuts one balancer off, takes a zone out of service and checks
// that no packet goes there 3 s after the other balancers can have the version.
func zoneOutPartitioned(t *testing.T, without hickoryconfig.Rule) error {
	f, _, err := newRunningFleet(t, 12, without, plainSection())
	if err != nil {
		return err
	}
	isolated := f.machines[2]
	f.cut = func(a, b *machine) bool { return a == isolated || b == isolated }
	f.service.readableBy = func(m *machine) bool { return m != isolated }
	// A watch that was pending at the cut still gets its answer.
	f.runUntil(f.now.Add(2 * hickoryconfig.WatchTime))
	f.service.publish(team, sectionOf(team, 1, "10.1.0.1:443", zoneOut(excludedZone)))
	f.runUntil(f.now.Add(hickoryconfig.FreshWindow))
	if f.run(30*time.Second, func() bool { return f.anyForwardsToExcluded() != "" }) {
		return errors.Errorf("%s sends to a zone out of service at %d ms", f.anyForwardsToExcluded(), f.now/1e6)
	}
	return nil
}

// anyForwardsToExcluded returns a balancer that sends to excludedZone; empty when
// none does.
func (f *fleet) anyForwardsToExcluded() hickoryid.InstanceID {
	for _, m := range f.machines {
		if !m.down && forwardsToExcluded(m, f.now) {
			return m.instance.ID
		}
	}
	return ""
}

// zoneOutLarge takes a zone out of service with a section whose content takes
// longer than 3 s to reach all balancers within the byte budget.
func zoneOutLarge(t *testing.T, without hickoryconfig.Rule) error {
	f, _, err := newRunningFleet(t, 12, without, plainSection())
	if err != nil {
		return err
	}
	large := sectionOf(team, 1, "10.1.0.1:443", zoneOut(excludedZone))
	large += fmt.Sprintf("%200000s", "")
	f.service.publish(team, large)
	f.runUntil(f.now.Add(hickoryconfig.FreshWindow))
	if f.run(5*time.Second, func() bool { return f.anyForwardsToExcluded() != "" }) {
		return errors.Errorf("%s sends to a zone out of service at %d ms", f.anyForwardsToExcluded(), f.now/1e6)
	}
	return nil
}
