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
	// leavingLimit is the limit of guarantee P8: later than this after an upstream
	// is listed as leaving, it gets no new flows.
	leavingLimit    = 3 * time.Second
	listInterval    = time.Second
	leavingUpstream = hickoryid.UpstreamID(team + "-1")
)

var leavingScenarios = []scenario{
	{"leaving upstream with 1% loss", hickoryconfig.RuleMarkRelay, leavingWithLoss},
	{"leaving upstream while two readers of each zone die", hickoryconfig.RuleMarkRelay, leavingTwoReadersDie},
	{"leaving upstream while all readers die", hickoryconfig.RuleTakeover, leavingReadersDie},
	{"leaving upstream with a stale list", hickoryconfig.RuleRevokeDelay, leavingStaleList},
	{"leaving upstream after a partition", hickoryconfig.RuleMarkRelay, leavingPartition},
	{"wrong leaving mark is revoked", hickoryconfig.RuleRevokeMarks, wrongMarkIsRevoked},
}

// TestLeaving guards against new flows to an upstream later than 3 s after it was
// listed as leaving (guarantee P8), when only readers read the instance list and
// messages, readers, lists or the network fail.
func TestLeaving(t *testing.T) {
	for _, s := range leavingScenarios {
		t.Run(s.name, func(t *testing.T) {
			if err := s.run(t, 0); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestLeavingIsFoundWithoutRules guards against checks of TestLeaving that can't
// fail: each must fail when its rule is switched off.
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

// pollLists makes readers read an instance list once a second, in which the
// upstreams that leaving returns are leaving.
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

func listLeaving(*machine) []hickoryid.UpstreamID { return []hickoryid.UpstreamID{leavingUpstream} }
func listNone(*machine) []hickoryid.UpstreamID    { return nil }

// sendsNewFlows returns a balancer that sends new flows to the leaving upstream;
// empty when none does.
func (f *fleet) sendsNewFlows() hickoryid.InstanceID {
	for _, m := range f.machines {
		if !m.down && m.lease.Allows(f.now) && m.stateOf(leavingUpstream) == hickorymodel.UpstreamAccepting {
			return m.instance.ID
		}
	}
	return ""
}

// stateOf returns the state of an upstream that is in force; an upstream that is
// not in force gets no flows, as an excluded one.
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

// noNewFlows waits for the time limit, and then checks for the time watch that no
// balancer sends new flows to the leaving upstream.
func (f *fleet) noNewFlows(limit, watch time.Duration) error {
	f.runUntil(f.now.Add(limit))
	if f.run(watch, func() bool { return f.sendsNewFlows() != "" }) {
		return errors.Errorf("%s sends new flows to a leaving upstream at %d ms", f.sendsNewFlows(), f.now/1e6)
	}
	return nil
}

// leavingFleet returns a fleet in which new flows are sent to the upstream.
func leavingFleet(t *testing.T, without hickoryconfig.Rule) (*fleet, error) {
	f, _, err := newRunningFleet(t, 36, without, plainSection())
	f.loss = spreadLoss
	if err == nil && f.sendsNewFlows() == "" {
		err = errors.New("no balancer sends new flows before the upstream leaves")
	}
	return f, err
}

func leavingWithLoss(t *testing.T, without hickoryconfig.Rule) error {
	f, err := leavingFleet(t, without)
	if err != nil {
		return err
	}
	f.pollLists(listLeaving)
	return f.noNewFlows(leavingLimit, 10*time.Second)
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
	f.pollLists(listLeaving)
	return f.noNewFlows(leavingLimit, 10*time.Second)
}

// leavingReadersDie stops all readers at the moment at which the upstream leaves.
// The balancer with the next rank takes over after 4.5 s; the limit counts from then.
func leavingReadersDie(t *testing.T, without hickoryconfig.Rule) error {
	f, err := leavingFleet(t, without)
	if err != nil {
		return err
	}
	for _, m := range f.readers() {
		m.down = true
	}
	f.pollLists(listLeaving)
	return f.noNewFlows(4500*time.Millisecond+leavingLimit, 10*time.Second)
}

// leavingStaleList gives half of the readers the earlier list, and checks for 20 s
// after leavingLimit, which together is less than MarkRevokeDelay.
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
			return listNone(m)
		}
		return listLeaving(m)
	})
	return f.noNewFlows(leavingLimit, 20*time.Second)
}

// leavingPartition cuts off a third of the balancers, also from the platform, while
// the upstream leaves. The rule is switched off from the end of the partition on.
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
			f.pollList(m, listLeaving)
		}
	}
	if err := f.noNewFlows(leavingLimit, 10*time.Second); err != nil {
		return err
	}
	f.switchOff(without)
	f.cut = func(_, _ *machine) bool { return false }
	return f.noNewFlows(leavingLimit, 10*time.Second)
}

// wrongMarkIsRevoked gives one reader, once, a list in which the upstream is leaving
// although it is not. The mark reaches all balancers and must then be revoked.
func wrongMarkIsRevoked(t *testing.T, without hickoryconfig.Rule) error {
	f, err := leavingFleet(t, without)
	if err != nil {
		return err
	}
	wrong := f.readers()[0]
	f.perform(wrong, wrong.node.SetInstances(f.now, f.list(listLeaving(wrong))))
	f.pollLists(listNone)
	if err := f.noNewFlows(leavingLimit, time.Second); err != nil {
		return errors.Wrap(err, "the mark did not reach all balancers")
	}
	f.runUntil(f.now.Add(hickoryconfig.MarkRevokeDelay))
	revoked := f.run(leavingLimit, func() bool {
		for _, m := range f.machines {
			if m.stateOf(leavingUpstream) != hickorymodel.UpstreamAccepting {
				return false
			}
		}
		return true
	})
	if !revoked {
		return errors.Errorf("a wrong mark is still in force %s after the list showed it last", hickoryconfig.MarkRevokeDelay+2*leavingLimit)
	}
	return nil
}
