package hickoryfabric_test

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"hickoryworks/io/hickoryfabric"
	"hickoryworks/io/hickorylog"
	"hickoryworks/platform"
	"hickoryworks/schema/hickorysettings"
)

// TestFailedOpenLeavesNothingOpen guards against sockets that stay open, and against a
// value that panics when it is closed, after one of its sockets could not be opened.
func TestFailedOpenLeavesNothingOpen(t *testing.T) {
	is := is.New(t)
	occupied, err := net.Listen("tcp", net.JoinHostPort(balancerIP, "0"))
	is.NoErr(err)
	defer func() { is.NoErr(occupied.Close()) }()
	taken := endpoint(balancerIP, occupied.Addr().(*net.TCPAddr).Port)
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(balancerIP)})
	is.NoErr(err)
	data := endpoint(balancerIP, free.LocalAddr().(*net.UDPAddr).Port)
	is.NoErr(free.Close())
	for range 2 { // the second attempt needs the data socket that the first one opened
		balancer, err := hickoryfabric.NewBalancer(hickorysettings.FabricBalancer{
			Instance: "balancer", Zone: "a", DataEndpoint: data, AgentEndpoint: endpoint(balancerIP, 0), ControlEndpoint: taken, ReadyEndpoint: endpoint(balancerIP, 0),
		}, platform.Translation(), newStoreStandin().functions(), hickorylog.New(io.Discard, "balancer"))
		is.True(balancer == nil)
		is.True(err != nil)
		agent, err := hickoryfabric.NewAgent(hickorysettings.FabricAgent{
			Instance: "agent", Zone: "a", Service: "clubroom", DataEndpoint: data, UpstreamEndpoint: endpoint(balancerIP, 1), ReturnEndpoint: endpoint(balancerIP, 0), ReadyEndpoint: taken,
		}, platform.Translation(), hickorylog.New(io.Discard, "agent"))
		is.True(agent == nil)
		is.True(err != nil)
		is.True(err.Error() != "listen udp4: address already in use")
	}
}
