package hickoryagent_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryagent"
	"hickoryworks/io/hickorybalancer"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
	"hickoryworks/schema/hickorysettings"
)

// maxSends is the largest number of copies of a packet that deliver sends.
const maxSends = 200

// transferFixture is one upstream with its platform and a balancer. sender stands for
// the balancers, agents and successors that send to the agent under test, upstream
// for the upstream.
type transferFixture struct {
	is       *is.I
	platform *hickorystandin.Platform
	client   *hickoryrpc.Client
	sender   *net.UDPConn
	upstream *net.UDPConn
	codec    *hickorygeneve.Codec
	log      *hickorylog.Recorder
	// listed is the agent's endpoint that packets name as their candidate.
	listed hickorymodel.Endpoint
}

func newTransferFixture(t *testing.T) *transferFixture {
	is := is.New(t)
	platform, err := hickorystandin.NewPlatform()
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(platform.Close()) })
	f := &transferFixture{is: is, platform: platform, client: hickoryrpc.NewClient(), codec: hickorygeneve.NewCodec(), log: hickorylog.NewRecorder()}
	for _, conn := range []**net.UDPConn{&f.sender, &f.upstream} {
		*conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		t.Cleanup(func() { (*conn).Close() })
	}
	t.Cleanup(func() { f.client.Close() })
	f.startBalancer(t)
	return f
}

// startBalancer starts the balancer from which the agents get their section.
func (f *transferFixture) startBalancer(t *testing.T) {
	settings := hickorysettings.Balancer{
		Instance: "balancer", Zone: "a", Region: "r",
		DataEndpoint: "127.0.0.1:0", ControlEndpoint: "127.0.0.1:0",
		Platform: hickorysettings.Platform{ConfigurationURL: f.platform.ConfigurationURL(), InstancesURL: f.platform.InstancesURL()},
	}
	balancer, err := hickorybalancer.New(settings, hickorylog.New(io.Discard, settings.Instance))
	f.is.NoErr(err)
	f.platform.AddInstance(hickoryplatform.Instance{
		ID: settings.Instance, Role: hickoryplatform.RoleBalancer, Zone: "a", Region: "r", State: hickoryplatform.InstanceStateLive,
		DataEndpoint: balancer.Endpoint().ID(), ControlEndpoint: balancer.ControlEndpoint(),
	})
	f.is.NoErr(balancer.Start(t.Context()))
	t.Cleanup(func() { f.is.NoErr(balancer.Close()) })
}

// start starts an agent. With a predecessor it is the successor in a planned
// restart; without one, its endpoint is published.
func (f *transferFixture) start(t *testing.T, predecessor *hickoryagent.Agent) *hickoryagent.Agent {
	settings := hickorysettings.Agent{
		Instance: "agent", Zone: "a", Region: "r", Service: "clubroom", Upstream: "clubroom-0",
		DataEndpoint: "127.0.0.1:0", ControlEndpoint: "127.0.0.1:0",
		DeliveryEndpoint: hickoryid.Endpoint(f.upstream.LocalAddr().String()),
		Platform:         hickorysettings.Platform{ConfigurationURL: f.platform.ConfigurationURL(), InstancesURL: f.platform.InstancesURL()},
	}
	if predecessor != nil {
		endpoint := predecessor.ControlEndpoint()
		settings.PredecessorEndpoint = &endpoint
	}
	random := rand.New(rand.NewPCG(1, 1))
	agent, err := hickoryagent.New(settings, hickorylog.New(f.log, settings.Instance), hickoryagent.WithRandom(random))
	f.is.NoErr(err)
	if predecessor == nil {
		f.publish(agent.Endpoint())
	}
	f.is.NoErr(agent.Start(t.Context()))
	return agent
}

// publish publishes a section that states an endpoint for the agent.
func (f *transferFixture) publish(endpoint hickorymodel.Endpoint) {
	f.listed = endpoint
	f.platform.Publish("sections/pagebound", fmt.Sprintf(`
team: pagebound
zones: [{name: a, region: r, state: inService}]
services:
- name: clubroom
  number: 1
  slots: 6
  connections: 4000
  rampTime: 50ms
  addresses: [{endpoint: "10.1.0.1:443", protocol: tcp}]
  upstreams: [{id: clubroom-0, zone: a, endpoint: %q}]
`, endpoint))
}

// deliver sends copies of a packet of a flow to an agent until the upstream gets
// one, and returns the source port of the delivery, which identifies the agent
// process that delivered it. flow is the flow's source port.
func (f *transferFixture) deliver(to hickorymodel.Endpoint, flow uint16, first bool) int {
	segment := hickorystandin.Segment{
		Source:      netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), flow),
		Destination: netip.MustParseAddrPort("10.1.0.1:443"),
		SYN:         first,
		ACK:         !first,
	}
	payload, err := segment.Encode()
	f.is.NoErr(err)
	p := &hickoryflow.Packet{Payload: payload}
	p.Service = 1
	p.Candidates[0] = hickorymodel.Candidate{Endpoint: f.listed, State: hickorymodel.CandidateAccepting}
	buffer := make([]byte, 2048)
	for range maxSends {
		encoded, err := f.codec.EncodePacket(p)
		f.is.NoErr(err)
		_, err = f.sender.WriteToUDPAddrPort(encoded, to.AddrPort())
		f.is.NoErr(err)
		f.upstream.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		for {
			n, from, err := f.upstream.ReadFromUDPAddrPort(buffer)
			if err != nil {
				break
			}
			var decoded hickorygeneve.Decoded
			_, ok := f.codec.DecodePlain(buffer[:n], &decoded)
			if ok && decoded.Packet.Key.Source.Port == flow && decoded.Packet.First == first {
				return int(from.Port())
			}
		}
	}
	f.is.Fail() // the packet was not delivered
	return 0
}

// open makes an agent the owner of count flows with source ports from first on.
func (f *transferFixture) open(at hickorymodel.Endpoint, first, count uint16) {
	for flow := first; flow < first+count; flow++ {
		f.deliver(at, flow, true)
		f.deliver(at, flow, false)
	}
}

// transfer makes one call of a successor.
func (f *transferFixture) transfer(ctx context.Context, agent *hickoryagent.Agent, step hickorymessage.TransferStep) hickorymessage.TransferReply {
	request := hickorymessage.TransferRequest{
		Successor: "successor",
		Endpoint:  hickoryid.Endpoint(f.sender.LocalAddr().String()),
		Step:      step,
	}
	var reply hickorymessage.TransferReply
	f.is.NoErr(f.client.Call(ctx, agent.ControlEndpoint(), "agent.TransferFlows", request, &reply))
	return reply
}

// query sends a query about a flow, as another agent of the service does, and
// returns the status in the reply. Like such an agent, it accepts only a reply
// that comes from the queried endpoint.
func (f *transferFixture) query(to hickorymodel.Endpoint, flow uint16) hickorymessage.OwnerStatus {
	encoded, err := f.codec.EncodeMessage(&hickorymessage.Datagram{OwnerQuery: &hickorymessage.OwnerQuery{
		Query: 1, Service: 1, Flow: hickorymessage.Flow{Protocol: 6, Source: hickoryid.Endpoint(fmt.Sprintf("10.9.0.1:%d", flow)), Destination: "10.1.0.1:443"},
	}})
	f.is.NoErr(err)
	_, err = f.sender.WriteToUDPAddrPort(encoded, to.AddrPort())
	f.is.NoErr(err)
	buffer := make([]byte, 2048)
	var decoded hickorygeneve.Decoded
	for {
		n, from, err := f.sender.ReadFromUDPAddrPort(buffer)
		f.is.NoErr(err)
		_, ok := f.codec.DecodePlain(buffer[:n], &decoded)
		if ok && from == to.AddrPort() && decoded.Message != nil && decoded.Message.OwnerReply != nil {
			return decoded.Message.OwnerReply.Status
		}
	}
}

// TestPlannedRestartKeepsFlows guards against flows that break, and new flows that
// do not open, between the start of a successor and the end of its predecessor.
// It also guards against replies that are sent from another endpoint than the one
// that was queried.
func TestPlannedRestartKeepsFlows(t *testing.T) {
	f := newTransferFixture(t)
	const flows = 1500 // more than one part of a transfer
	predecessor := f.start(t, nil)
	f.open(predecessor.Endpoint(), 10_000, flows)
	predecessorPort := f.deliver(predecessor.Endpoint(), 10_000, false)
	successor := f.start(t, predecessor)
	f.log.Await(hickoryevent.TransferComplete, 2) // one event of each process
	for flow := uint16(10_000); flow < 10_000+flows; flow++ {
		f.is.True(f.deliver(predecessor.Endpoint(), flow, false) != predecessorPort)
	}
	f.is.Equal(f.query(predecessor.Endpoint(), 10_000), hickorymessage.OwnerStatusOwn)
	f.open(predecessor.Endpoint(), 20_000, 100)
	listed := f.listed
	f.publish(successor.Endpoint())
	f.is.NoErr(predecessor.Drain(t.Context()))
	f.is.NoErr(predecessor.Close())
	f.log.Await(hickoryevent.PredecessorEnded, 1)
	f.open(successor.Endpoint(), 30_000, 100)
	f.listed = listed // packets as from a balancer with an old table
	for flow := uint16(10_000); flow < 10_000+flows; flow++ {
		f.deliver(successor.Endpoint(), flow, false)
	}
	f.is.NoErr(successor.Close())
}

// TestFlowOpenedDuringTransferIsPassedOn guards against a flow that is missing from
// the transfer because it opened in a part of the table that had been exported.
func TestFlowOpenedDuringTransferIsPassedOn(t *testing.T) {
	f := newTransferFixture(t)
	agent := f.start(t, nil)
	f.open(agent.Endpoint(), 10_000, 1100)
	transferred := map[hickoryid.Endpoint]bool{}
	reply := f.transfer(t.Context(), agent, hickorymessage.TransferStepBegin)
	f.is.True(!reply.Relaying)
	f.open(agent.Endpoint(), 20_000, 50)
	for {
		for _, flow := range reply.Flows {
			transferred[flow.Flow.Source] = true
		}
		if reply.Relaying {
			break
		}
		reply = f.transfer(t.Context(), agent, hickorymessage.TransferStepNext)
	}
	f.is.Equal(len(transferred), 1150)
	f.is.True(reply.OpeningLimit > 1) // the upstream has not restarted, so it is not cold
	f.is.NoErr(agent.Close())
}

// TestDeadSuccessorLeavesPredecessor guards against a predecessor that does not
// deliver to the upstream after its successor has ended without a further call, in
// the middle of the transfer or right after it.
func TestDeadSuccessorLeavesPredecessor(t *testing.T) {
	f := newTransferFixture(t)
	agent := f.start(t, nil)
	f.open(agent.Endpoint(), 10_000, 1100)
	f.is.True(!f.transfer(t.Context(), agent, hickorymessage.TransferStepBegin).Relaying)
	f.deliver(agent.Endpoint(), 10_000, false) // in the middle of the transfer
	f.is.True(f.transfer(t.Context(), agent, hickorymessage.TransferStepNext).Relaying)
	f.log.Await(hickoryevent.TransferTakenBack, 1)
	for flow := uint16(10_000); flow < 11_100; flow++ {
		f.deliver(agent.Endpoint(), flow, false)
	}
	f.is.NoErr(agent.Close())
}
