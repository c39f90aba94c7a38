package hickoryrelay_test

import (
	"testing"

	"github.com/matryer/is"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

// TestLeavingReachesAgents guards against agents that don't receive the leaving state
// of an instance, which balancers read in the instance list and pass on. It uses
// sockets of the loopback interface.
func TestLeavingReachesAgents(t *testing.T) {
	is := is.New(t)
	platform, err := hickorystandin.NewPlatform()
	is.NoErr(err)
	defer platform.Close()
	all := []*process{
		newProcess(t, platform, "balancer-0", hickoryplatform.RoleBalancer, platform.ConfigurationURL()),
		newProcess(t, platform, "balancer-1", hickoryplatform.RoleBalancer, platform.ConfigurationURL()),
		newProcess(t, platform, "agent-0", hickoryplatform.RoleAgent, platform.ConfigurationURL()),
	}
	for _, p := range all {
		p.start(t)
	}
	version := platform.Publish("sections/pagebound", sectionText)
	for _, p := range all {
		p.awaitServices(t.Context(), t, version)
	}
	upstream := hickoryid.UpstreamID("clubroom-0")
	leaving := all[2].instance
	leaving.State = hickoryplatform.InstanceStateLeaving
	leaving.Upstream = &upstream
	platform.SetInstances([]hickoryplatform.Instance{all[0].instance, all[1].instance, leaving})
	for _, p := range all {
		for {
			services := p.awaitServices(t.Context(), t, version)
			if services[0].Upstreams[0].State == hickorymodel.UpstreamLeaving {
				break
			}
		}
	}
}
