package hickoryrelay_test

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickoryduty"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryrelay"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/io/hickorywatch"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

const sectionText = `
team: pagebound
zones: [{name: tt-north-a, region: tt-north, state: inService}]
services:
- name: clubroom
  number: 1
  slots: 6
  connections: 2000
  addresses: [{endpoint: "10.1.0.1:443", protocol: tcp}]
  upstreams: [{id: clubroom-0, zone: tt-north-a, endpoint: "127.0.0.1:6081"}]
`

// process is the relay and the control server of a balancer or an agent.
type process struct {
	relay    *hickoryrelay.Relay
	clock    *hickoryclock.Clock
	services *hickoryring.ServiceRing
	server   *hickoryrpc.Server
	instance hickoryplatform.Instance
}

// newProcess returns a process that is not started and adds it to the instance
// list.
func newProcess(t *testing.T, platform *hickorystandin.Platform, id hickoryid.InstanceID, role hickoryplatform.Role, configuration hickoryid.URL) *process {
	is := is.New(t)
	server, err := hickoryrpc.Listen("127.0.0.1:0")
	is.NoErr(err)
	p := &process{clock: hickoryclock.New(), services: hickoryring.NewServiceRing(), server: server}
	p.instance = hickoryplatform.Instance{
		ID: id, Role: role, Zone: "tt-north-a", Region: "tt-north", State: hickoryplatform.InstanceStateLive,
		DataEndpoint: server.Endpoint(), ControlEndpoint: server.Endpoint(),
	}
	parts := hickoryrelay.Parts{
		Identity: hickoryconfig.Identity{Instance: id, Zone: "tt-north-a", Region: "tt-north"},
		Platform: hickorywatch.NewClient(configuration, platform.InstancesURL()),
		Logger:   hickorylog.New(io.Discard, id),
		Scope:    tally.NoopScope,
		Clock:    p.clock,
		Random:   rand.New(rand.NewPCG(1, 2)),
		Services: []*hickoryring.ServiceRing{p.services},
	}
	if role == hickoryplatform.RoleAgent {
		p.relay = hickoryrelay.NewAgentRelay(parts, "clubroom")
		is.NoErr(p.relay.RegisterAgent(server))
	} else {
		p.relay = hickoryrelay.NewBalancerRelay(parts)
		is.NoErr(p.relay.RegisterBalancer(server))
	}
	platform.AddInstance(p.instance)
	return p
}

func (p *process) start(t *testing.T) {
	is := is.New(t)
	group := hickoryduty.New(string(p.instance.ID), hickorylog.New(io.Discard, p.instance.ID))
	p.relay.AddTo(group)
	group.Add("control", p.server.Serve)
	group.Start(t.Context())
	t.Cleanup(func() {
		is.NoErr(group.Close())
		is.NoErr(p.relay.Close())
		is.NoErr(p.server.Close())
	})
}

// awaitServices waits for the set of services of a section version and returns it.
func (p *process) awaitServices(ctx context.Context, t *testing.T, version hickoryid.SectionVersion) hickoryring.Services {
	for {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: version %d did not arrive", p.instance.ID, version)
		case services := <-p.services.Items():
			if len(services) == 1 && services[0].Generation == hickorymodel.Generation(version) {
				return services
			}
		}
	}
}

// awaitLease waits until the process may forward packets. The lease is stored after
// the services were put into their ring, so it can be missing when awaitServices
// returns.
func (p *process) awaitLease(ctx context.Context, t *testing.T) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !p.relay.Lease().Allows(p.clock.Now()) {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: no lease", p.instance.ID)
		case <-ticker.C:
		}
	}
}

// TestRelayReachesProcessesWithoutService guards against a section that doesn't get
// to processes which can't reach the configuration service: one balancer reads it,
// a second balancer and an agent must receive it from their peers.
func TestRelayReachesProcessesWithoutService(t *testing.T) {
	is := is.New(t)
	platform, err := hickorystandin.NewPlatform()
	is.NoErr(err)
	defer platform.Close()
	unreachable := hickoryid.URL("http://127.0.0.1:1/v1/values")
	all := []*process{
		newProcess(t, platform, "balancer-0", hickoryplatform.RoleBalancer, platform.ConfigurationURL()),
		newProcess(t, platform, "balancer-1", hickoryplatform.RoleBalancer, unreachable),
		newProcess(t, platform, "agent-0", hickoryplatform.RoleAgent, unreachable),
	}
	for _, p := range all {
		p.start(t)
	}
	for range 2 {
		version := platform.Publish("sections/pagebound", sectionText)
		for _, p := range all {
			services := p.awaitServices(t.Context(), t, version)
			is.Equal(services[0].Name, hickoryid.ServiceName("clubroom"))
			p.awaitLease(t.Context(), t)
		}
	}
}

// TestDecodeRejects guards against content that is accepted although it can't be
// decoded, and against content that unpacks to a text that exhausts the memory.
func TestDecodeRejects(t *testing.T) {
	cases := []struct {
		name, content string
		problems      int
	}{
		{"valid", hickoryrelay.Pack(sectionText), 0},
		{"not base64", "%%%", 1},
		{"not gzip", "aGVsbG8=", 1},
		{"not YAML", hickoryrelay.Pack("{"), 1},
		{"unknown key", hickoryrelay.Pack("team: pagebound\nspeed: 1"), 1},
		{"too large", hickoryrelay.Pack("team: pagebound\n#" + string(make([]byte, 2<<20))), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, problems := hickoryrelay.Decode(c.content)
			is.Equal(len(problems), c.problems)
		})
	}
}
