package hickoryprogram_test

import (
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryworks/io/hickoryagent"
	"hickoryworks/io/hickorybalancer"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickorysettings"
)

// TestCloseEndsGoroutines guards against goroutines of a daemon that still run after
// Close. It does not end, and so fails by its timeout, when one of them stays.
func TestCloseEndsGoroutines(t *testing.T) {
	is := is.New(t)
	platform, err := hickorystandin.NewPlatform()
	is.NoErr(err)
	defer platform.Close()
	urls := hickorysettings.Platform{ConfigurationURL: platform.ConfigurationURL(), InstancesURL: platform.InstancesURL()}
	logger := hickorylog.New(io.Discard, "test")
	agent, err := hickoryagent.New(hickorysettings.Agent{
		Instance: "agent", Zone: "a", Region: "r", Service: "clubroom", Upstream: "clubroom-0", Platform: urls,
		DataEndpoint: "127.0.0.1:0", ControlEndpoint: "127.0.0.1:0", DeliveryEndpoint: "127.0.0.1:9",
	}, logger)
	is.NoErr(err)
	balancer, err := hickorybalancer.New(hickorysettings.Balancer{
		Instance: "balancer", Zone: "a", Region: "r", Platform: urls,
		DataEndpoint: "127.0.0.1:0", ControlEndpoint: "127.0.0.1:0",
	}, logger)
	is.NoErr(err)
	is.NoErr(agent.Start(t.Context()))
	is.NoErr(balancer.Start(t.Context()))
	is.NoErr(agent.Drain(t.Context()))
	is.NoErr(balancer.Drain(t.Context()))
	is.NoErr(agent.Close())
	is.NoErr(balancer.Close())
	for _, name := range []string{"hickoryagent", "hickorybalancer", "hickorysocket", "hickoryrpc", "hickorywatch", "hickoryduty", "suture"} {
		for strings.Contains(goroutineStacks(), name+".") {
			runtime.Gosched()
		}
	}
}

// goroutineStacks returns the stacks of all goroutines.
func goroutineStacks() string {
	buffer := make([]byte, 1<<20)
	return string(buffer[:runtime.Stack(buffer, true)])
}
