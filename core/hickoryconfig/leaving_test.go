package hickoryconfig_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

const (
	// leavingLimit is P8: from then on a leaving upstream gets no new work.
	leavingLimit = 3 * time.Second
	listInterval = time.Second
	leaver       = hickoryid.UpstreamID(team + "-1")
)

var leavingScenarios = []scenario{
	{"leaving upstream with 1% loss", hickoryconfig.RuleMarkRelay, leavingWithLoss},
	{"leaving upstream while two readers of each zone die", hickoryconfig.RuleMarkRelay, leavingTwoReadersDie},
	{"leaving upstream while all readers die", hickoryconfig.RuleTakeover, leavingReadersDie},
	{"leaving upstream with a stale list", hickoryconfig.RuleRevokeDelay, leavingStaleList},
	{"leaving upstream after a partition", hickoryconfig.RuleMarkRelay, leavingPartition},
	{"wrong leaving heals", hickoryconfig.RuleRevokeMarks, wrongLeavingHeals},
}

// TestLeaving guards P8 when only readers read the list.
func TestLeaving(t *testing.T) {
	for _, s := range leavingScenarios {
		t.Run(s.name, func(t *testing.T) {
			if err := s.run(t, 0); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestLeavingIsFoundWithoutRules guards the checks of TestLeaving: each must
// fail when its rule is switched off.
func TestLeavingIsFoundWithoutRules(t *testing.T) {
	for _, s := range leavingScenarios {
		t.Run(s.name, func(t *testing.T) {
			err := s.run(t, s.rule)
			if err == nil {
				t.Fatal("the check passes without the rule")
			}
			t.Log(err)
		})
	}
}

// pollLists makes readers read the list that leaving describes, once a second.
func (f *fleet) pollLists(leaving func(m *machine) []hickoryid.UpstreamID) {
	for _, m := range f.machines {
		f.pollList(m, leaving)
	}
}

func (f *fleet) pollList(m *machine, leaving func(m *machine) []hickoryid.UpstreamID) {
	wait := time.Duration(f.random.Int64N(int64(listInterval)))
	var poll func()
	poll = func() {
		if m.node.ReadsList(f.now) && f.random.Float64() >= f.loss {
			f.perform(m, m.node.SetInstances(f.now, f.list(leaving(m))))
		}
		f.on(m, f.now.Add(listInterval), poll)
	}
	f.on(m, f.now.Add(wait), poll)
}

func (f *fleet) list(leaving []hickoryid.UpstreamID) hickoryplatform.Instances {
	var list hickoryplatform.Instances
	for _, m := range f.machines {
		list.Instances = append(list.Instances, m.instance)
	}
	for _, upstream := range leaving {
		list.Instances = append(list.Instances, hickoryplatform.Instance{
			ID: hickoryid.InstanceID("agent-" + upstream), Role: hickoryplatform.RoleAgent, Zone: "tt-north-b",
			Region: "tt-north", State: hickoryplatform.InstanceStateLeaving, Upstream: &upstream,
		})
	}
	return list
}

func leaves(*machine) []hickoryid.UpstreamID { return []hickoryid.UpstreamID{leaver} }
func stays(*machine) []hickoryid.UpstreamID  { return nil }

// sendsNewWork returns a balancer that sends new flows to the leaving upstream.
func (f *fleet) sendsNewWork() hickoryid.InstanceID {
	for _, m := range f.machines {
		if !m.down && m.lease.Allows(f.now) && m.stateOf(leaver) == hickorymodel.UpstreamAccepting {
			return m.instance.ID
		}
	}
	return ""
}

// stateOf returns the state in force; an upstream that is not in force gets no work.
func (m *machine) stateOf(upstream hickoryid.UpstreamID) hickorymodel.UpstreamState {
	for _, service := range m.services {
		for _, u := range service.Upstreams {
			if u.ID == upstream {
				return u.State
			}
		}
	}
	return hickorymodel.UpstreamExcluded
}

// noNewWork waits for a limit and then watches for a while.
func (f *fleet) noNewWork(limit, watch time.Duration) error {
	f.runUntil(f.now.Add(limit))
	if f.run(watch, func() bool { return f.sendsNewWork() != "" }) {
		return errors.Errorf("%s sends new work to a leaving upstream at %d ms", f.sendsNewWork(), f.now/1e6)
	}
	return nil
}

// leavingFleet returns a fleet in which all balancers send new work to the upstream.
func leavingFleet(t *testing.T, without hickoryconfig.Rule) (*fleet, error) {
	f, _, err := started(t, 36, without, plain())
	f.loss = spreadLoss
	if err == nil && f.sendsNewWork() == "" {
		err = errors.New("no balancer sends new work before the upstream leaves")
	}
	return f, err
}

func leavingWithLoss(t *testing.T, without hickoryconfig.Rule) error {
	f, err := leavingFleet(t, without)
	if err != nil {
		return err
	}
	f.pollLists(leaves)
	return f.noNewWork(leavingLimit, 10*time.Second)
}

func leavingTwoReadersDie(t *testing.T, without hickoryconfig.Rule) error {
	f, err := leavingFleet(t, without)
	if err != nil {
		return err
	}
	dead := map[hickoryid.ZoneName]int{}
	for _, m := range f.readers() {
		if zone := m.instance.Zone; dead[zone] < 2 {
			m.down = true
			dead[zone]++
		}
	}
	f.pollLists(leaves)
	return f.noNewWork(leavingLimit, 10*time.Second)
}

// leavingReadersDie kills all readers at the moment at which the upstream leaves.
// The first in line takes over after 4.5 s; the limit counts from then.
func leavingReadersDie(t *testing.T, without hickoryconfig.Rule) error {
	f, err := leavingFleet(t, without)
	if err != nil {
		return err
	}
	for _, m := range f.readers() {
		m.down = true
	}
	f.pollLists(leaves)
	return f.noNewWork(4500*time.Millisecond+leavingLimit, 10*time.Second)
}

// leavingStaleList shows half of the readers the former list for 20 s.
func leavingStaleList(t *testing.T, without hickoryconfig.Rule) error {
	f, err := leavingFleet(t, without)
	if err != nil {
		return err
	}
	stale := map[*machine]bool{}
	for i, m := range f.readers() {
		stale[m] = i%2 == 0
	}
	f.pollLists(func(m *machine) []hickoryid.UpstreamID {
		if stale[m] {
			return stays(m)
		}
		return leaves(m)
	})
	return f.noNewWork(leavingLimit, 20*time.Second)
}

// leavingPartition cuts a third of the balancers off, which can't read the
// platform either, while the upstream leaves. The rule is off from the heal on.
func leavingPartition(t *testing.T, without hickoryconfig.Rule) error {
	f, err := leavingFleet(t, 0)
	if err != nil {
		return err
	}
	minority := func(m *machine) bool { return m.instance.ID < f.machines[12].instance.ID }
	f.cut = func(a, b *machine) bool { return minority(a) != minority(b) }
	f.service.readableBy = func(m *machine) bool { return !minority(m) }
	f.runUntil(f.now.Add(2 * hickoryconfig.WatchTime))
	for _, m := range f.machines {
		if !minority(m) {
			f.pollList(m, leaves)
		}
	}
	if err := f.noNewWork(leavingLimit, 10*time.Second); err != nil {
		return err
	}
	f.switchOff(without)
	f.cut = func(_, _ *machine) bool { return false }
	return f.noNewWork(leavingLimit, 10*time.Second)
}

// wrongLeavingHeals shows one reader a wrong list once.
func wrongLeavingHeals(t *testing.T, without hickoryconfig.Rule) error {
	f, err := leavingFleet(t, without)
	if err != nil {
		return err
	}
	wrong := f.readers()[0]
	f.perform(wrong, wrong.node.SetInstances(f.now, f.list(leaves(wrong))))
	f.pollLists(stays)
	if err := f.noNewWork(leavingLimit, time.Second); err != nil {
		return errors.Wrap(err, "the mark did not spread")
	}
	f.runUntil(f.now.Add(hickoryconfig.MarkRevokeDelay))
	healed := f.run(leavingLimit, func() bool {
		for _, m := range f.machines {
			if m.stateOf(leaver) != hickorymodel.UpstreamAccepting {
				return false
			}
		}
		return true
	})
	if !healed {
		return errors.Errorf("a wrong mark is still in force %s after the list showed it last", hickoryconfig.MarkRevokeDelay+2*leavingLimit)
	}
	return nil
}
