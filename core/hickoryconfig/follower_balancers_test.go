package hickoryconfig_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickoryconfig"
)

// replaceBalancers stops all balancers of the list that the agents read. Other
// balancers of the zone must have been named in replies before, so that the agents
// need not read the list.
func replaceBalancers(t *testing.T, without hickoryconfig.Rule) error {
	f := newFleet(t, 24, 1)
	f.service.publish(team, f.largeSection(spreadUpstreams))
	f.runUntil(f.now.Add(10 * time.Second))
	f.switchOff(without)
	all := f.machines
	f.machines = all[:4]
	agents := f.startAgents(20)
	f.machines = all
	f.runUntil(f.now.Add(30 * time.Second))
	for _, m := range all[:4] {
		m.down = true
	}
	f.runUntil(f.now.Add(20 * time.Second))
	for i, a := range agents {
		if !a.follower.Lease(f.now).Allows(f.now) || a.follower.NeedsList(f.now) {
			return errors.Errorf("agent %d has no balancer and needs the list", i)
		}
	}
	return nil
}

// TestAgentsLearnBalancers guards against agents that must read the whole instance
// list again each time balancers are replaced.
func TestAgentsLearnBalancers(t *testing.T) {
	if err := replaceBalancers(t, 0); err != nil {
		t.Fatal(err)
	}
	err := replaceBalancers(t, hickoryconfig.RuleNearBalancers)
	if err == nil {
		t.Fatal("the check passes without the rule")
	}
	t.Log(err)
}
