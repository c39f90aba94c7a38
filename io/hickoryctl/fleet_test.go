package hickoryctl_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"

	"hickoryworks/io/hickoryagent"
	"hickoryworks/io/hickorybalancer"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
	"hickoryworks/schema/hickorysettings"
)

// fleet is a balancer and two agents that the scripts of testdata/fleet query. The
// zone of the second agent is out of service.
type fleet struct {
	is       *is.I
	platform *hickorystandin.Platform
	settings hickorysettings.Platform
	logger   *hickorylog.Logger
	// section is the text of the section; each agent that is started adds its upstream.
	section string
}

func startFleet(t *testing.T) *fleet {
	is := is.New(t)
	platform, err := hickorystandin.NewPlatform()
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(platform.Close()) })
	f := &fleet{is: is, platform: platform, logger: hickorylog.New(io.Discard, "fleet")}
	f.settings = hickorysettings.Platform{ConfigurationURL: platform.ConfigurationURL(), InstancesURL: platform.InstancesURL()}
	f.section = `
team: pagebound
zones: [{name: a, region: r, state: inService}, {name: b, region: r, state: outOfService}]
services:
- name: clubroom
  number: 1
  slots: 6
  connections: 2000
  addresses: [{endpoint: "10.1.0.1:443", protocol: tcp}]
  upstreams:
`
	f.startBalancer(t)
	f.startAgent(t, "clubroom-1", "a")
	f.startAgent(t, "clubroom-2", "b")
	platform.Publish("sections/pagebound", f.section)
	f.awaitServices(t.Context())
	return f
}

func (f *fleet) startBalancer(t *testing.T) {
	settings := hickorysettings.Balancer{
		Instance: "balancer-1", Zone: "a", Region: "r",
		DataEndpoint: "127.0.0.1:0", ControlEndpoint: "127.0.0.1:0", Platform: f.settings,
	}
	balancer, err := hickorybalancer.New(settings, f.logger)
	f.is.NoErr(err)
	f.platform.AddInstance(hickoryplatform.Instance{
		ID: settings.Instance, Role: hickoryplatform.RoleBalancer, Zone: "a", Region: "r", State: hickoryplatform.InstanceStateLive,
		DataEndpoint: balancer.Endpoint().ID(), ControlEndpoint: balancer.ControlEndpoint(),
	})
	f.is.NoErr(balancer.Start(t.Context()))
	t.Cleanup(func() { f.is.NoErr(balancer.Close()) })
}

func (f *fleet) startAgent(t *testing.T, id hickoryid.UpstreamID, zone hickoryid.ZoneName) {
	service := hickoryid.ServiceName("clubroom")
	settings := hickorysettings.Agent{
		Instance: hickoryid.InstanceID("agent-" + id), Zone: zone, Region: "r", Service: service, Upstream: id,
		DataEndpoint: "127.0.0.1:0", ControlEndpoint: "127.0.0.1:0", DeliveryEndpoint: "127.0.0.1:9", Platform: f.settings,
	}
	agent, err := hickoryagent.New(settings, f.logger)
	f.is.NoErr(err)
	f.platform.AddInstance(hickoryplatform.Instance{
		ID: settings.Instance, Role: hickoryplatform.RoleAgent, Zone: zone, Region: "r", State: hickoryplatform.InstanceStateLive,
		Service: &service, Upstream: &id, DataEndpoint: agent.Endpoint().ID(), ControlEndpoint: agent.ControlEndpoint(),
	})
	f.section += fmt.Sprintf("  - {id: %s, zone: %s, endpoint: %q}\n", id, zone, agent.Endpoint())
	f.is.NoErr(agent.Start(t.Context()))
	t.Cleanup(func() { f.is.NoErr(agent.Close()) })
}

// awaitServices waits until every instance uses the section.
func (f *fleet) awaitServices(ctx context.Context) {
	client := hickoryrpc.NewClient()
	defer client.Close()
	for _, endpoint := range f.platform.ListedControlEndpoints() {
		for {
			var reply hickorymessage.StatusReply
			err := client.Call(ctx, endpoint, "status.Status", hickorymessage.StatusRequest{}, &reply)
			f.is.NoErr(err)
			if len(reply.Services) == 1 {
				break
			}
		}
	}
}

// TestFleetScripts runs the scripts of testdata/fleet, which check the output and the
// exit codes of the commands that call instances. DEAD_URL is an instance list whose
// only instance does not answer.
func TestFleetScripts(t *testing.T) {
	f := startFleet(t)
	dead := hickoryplatform.Instance{
		ID: "agent-dead", Role: hickoryplatform.RoleAgent, Zone: "a", Region: "r", State: hickoryplatform.InstanceStateLive,
		DataEndpoint: "127.0.0.1:1", ControlEndpoint: "127.0.0.1:1",
	}
	deadPlatform, err := hickorystandin.NewPlatform()
	f.is.NoErr(err)
	t.Cleanup(func() { f.is.NoErr(deadPlatform.Close()) })
	deadPlatform.AddInstance(dead)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/fleet",
		Setup: func(env *testscript.Env) error {
			env.Setenv("HICKORY_INSTANCES_URL", string(f.settings.InstancesURL))
			env.Setenv("DEAD_URL", string(deadPlatform.InstancesURL()))
			return nil
		},
	})
}
