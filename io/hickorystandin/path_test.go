package hickorystandin_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryagent"
	"hickoryworks/io/hickorybalancer"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
	"hickoryworks/schema/hickorysettings"
)

const (
	pathBalancers = 2
	pathUpstreams = 3
	pathFlows     = 60
)

// TestPathServesFlows guards against flows that are refused or break on the whole
// path: callers, fabric, balancers, agents and upstreams over real sockets, with
// each packet sprayed to a random balancer.
func TestPathServesFlows(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	logger := hickorylog.New(io.Discard, "test")

	platform, err := hickorystandin.NewPlatform()
	is.NoErr(err)
	defer platform.Close()
	fabric, err := hickorystandin.NewFabric(logger, rand.New(rand.NewPCG(1, 2)))
	is.NoErr(err)
	defer fabric.Close()
	fabric.Start(ctx)

	section := startUpstreams(ctx, t, platform, fabric, logger)
	startBalancers(ctx, t, platform, fabric, logger)
	platform.Publish("sections/pagebound", section)

	caller, err := hickorystandin.NewCaller(fabric.Front(), netip.MustParseAddr("10.9.0.1"), 20*time.Millisecond, logger, rand.New(rand.NewPCG(3, 4)))
	is.NoErr(err)
	defer caller.Close()
	caller.Start(ctx)
	target := hickorystandin.Target{Service: "clubroom", Address: netip.MustParseAddrPort("10.1.0.1:443")}
	caller.Open(target, pathFlows, time.Second)

	report := caller.Report()
	for len(report.OpenByUpstream) < pathUpstreams || report.Count(hickorystandin.FlowOpen) < pathFlows {
		report = caller.Report()
		if report.Broken() > 0 || report.Count(hickorystandin.FlowRefused) > 0 {
			t.Fatalf("flows broke: %+v", report)
		}
		select {
		case <-ctx.Done():
			t.Fatalf("not all flows opened before the test ended: %+v", report)
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Logf("%+v", report)
}

func startUpstreams(ctx context.Context, t *testing.T, platform *hickorystandin.Platform, fabric *hickorystandin.Fabric, logger *hickorylog.Logger) string {
	is := is.New(t)
	section := `
team: pagebound
zones: [{name: tt-north-a, region: tt-north, state: inService}]
services:
- name: clubroom
  number: 1
  slots: 6
  connections: 2000
  rampTime: 100ms
  addresses: [{endpoint: "10.1.0.1:443", protocol: tcp}]
  upstreams:
`
	for i := range pathUpstreams {
		id := hickoryid.UpstreamID(fmt.Sprintf("clubroom-%d", i))
		upstream, err := hickorystandin.NewUpstream(hickorystandin.UpstreamConfig{
			Service: "clubroom",
			ID:      id,
			Number:  1,
			Back:    fabric.Back(),
		}, logger)
		is.NoErr(err)
		upstream.Start(ctx)
		t.Cleanup(func() { is.NoErr(upstream.Close()) })
		agent, err := hickoryagent.New(hickorysettings.Agent{
			Instance:         hickoryid.InstanceID("agent-" + id),
			Zone:             "tt-north-a",
			Region:           "tt-north",
			Service:          "clubroom",
			Upstream:         id,
			DataEndpoint:     "127.0.0.1:0",
			ControlEndpoint:  "127.0.0.1:0",
			DeliveryEndpoint: upstream.Endpoint().ID(),
			Platform:         platformSettings(platform),
		}, logger)
		is.NoErr(err)
		listInstance(platform, hickoryplatform.Instance{
			ID:              hickoryid.InstanceID("agent-" + id),
			Role:            hickoryplatform.RoleAgent,
			Upstream:        &id,
			DataEndpoint:    agent.Endpoint().ID(),
			ControlEndpoint: agent.ControlEndpoint(),
		})
		is.NoErr(agent.Start(ctx))
		t.Cleanup(func() { is.NoErr(agent.Close()) })
		section += fmt.Sprintf("  - {id: %s, zone: tt-north-a, endpoint: %q}\n", id, agent.Endpoint())
	}
	return section
}

func startBalancers(ctx context.Context, t *testing.T, platform *hickorystandin.Platform, fabric *hickorystandin.Fabric, logger *hickorylog.Logger) {
	is := is.New(t)
	var endpoints []hickorymodel.Endpoint
	for i := range pathBalancers {
		balancer, err := hickorybalancer.New(hickorysettings.Balancer{
			Instance:        hickoryid.InstanceID(fmt.Sprintf("balancer-%d", i)),
			Zone:            "tt-north-a",
			Region:          "tt-north",
			DataEndpoint:    "127.0.0.1:0",
			ControlEndpoint: "127.0.0.1:0",
			Platform:        platformSettings(platform),
		}, logger)
		is.NoErr(err)
		listInstance(platform, hickoryplatform.Instance{
			ID:              hickoryid.InstanceID(fmt.Sprintf("balancer-%d", i)),
			Role:            hickoryplatform.RoleBalancer,
			DataEndpoint:    balancer.Endpoint().ID(),
			ControlEndpoint: balancer.ControlEndpoint(),
		})
		is.NoErr(balancer.Start(ctx))
		t.Cleanup(func() { is.NoErr(balancer.Close()) })
		endpoints = append(endpoints, balancer.Endpoint())
	}
	fabric.SetBalancers(endpoints)
}

// listInstance adds a live instance to the platform's list.
func listInstance(platform *hickorystandin.Platform, instance hickoryplatform.Instance) {
	instance.Zone = "tt-north-a"
	instance.Region = "tt-north"
	instance.State = hickoryplatform.InstanceStateLive
	platform.AddInstance(instance)
}

func platformSettings(platform *hickorystandin.Platform) hickorysettings.Platform {
	return hickorysettings.Platform{
		ConfigurationURL: platform.ConfigurationURL(),
		InstancesURL:     platform.InstancesURL(),
	}
}
