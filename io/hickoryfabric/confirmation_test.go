package hickoryfabric

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryframe"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickorysettings"
)

// unknownFlow is a flow that the balancer of a confirmationFixture does not know.
var unknownFlow = hickorymodel.FlowKey{
	Source:      hickorymodel.NewSocketAddress(netip.MustParseAddrPort("127.0.0.1:40001")),
	Destination: hickorymodel.NewSocketAddress(netip.MustParseAddrPort("198.51.100.1:443")),
	Protocol:    hickorymodel.ProtocolTCP,
}

// confirmationFixture has the duties of a balancer that keep the directory and decide,
// without goroutines: the test says which of them runs.
type confirmationFixture struct {
	is      *is.I
	decider *balancerDecider
	updater *directoryUpdater
}

func newConfirmationFixture(t *testing.T) *confirmationFixture {
	f := &confirmationFixture{is: is.New(t)}
	loopback := hickoryid.Endpoint("127.0.0.1:0")
	translation := Translation{
		DecodePacket: func(data []byte, packet *hickorysteering.Packet) error {
			*packet = hickorysteering.Packet{Flow: unknownFlow, Data: 1, Bytes: data}
			return nil
		},
		EncodeReset: func(hickorymodel.FlowKey, uint32) []byte { return []byte("reset") },
		Readiness:   func(func() bool) http.Handler { return http.NotFoundHandler() },
	}
	b, err := NewBalancer(hickorysettings.FabricBalancer{
		Instance: "balancer", Zone: "a", DataEndpoint: loopback, AgentEndpoint: loopback, ControlEndpoint: loopback, ReadyEndpoint: loopback,
	}, translation, Store{Close: func() error { return nil }}, hickorylog.New(io.Discard, "balancer"))
	f.is.NoErr(err)
	t.Cleanup(func() { f.is.NoErr(b.Close()) })
	f.decider = b.newDecider()
	f.updater = b.newDirectoryUpdater(nil)
	return f
}

// answer passes an answer of the store to the directoryUpdater.
func (f *confirmationFixture) answer(batch *hickorydirectory.Batch) {
	f.updater.handleStoreAnswer(hickoryring.StoreAnswer{Scope: hickorydirectory.ScopeAll, Batch: batch, SentAt: f.updater.clock.Now()})
}

// takeUpdate passes what waits in the ring to the decide duty.
func (f *confirmationFixture) takeUpdate(t *testing.T) {
	f.decider.applyUpdate(t.Context(), <-f.decider.rings.views.Items())
}

// denial returns the answer of an agent whose upstream does not hold the flow.
func denial() []byte {
	return answerOf(hickorysteering.ReasonNotHeld)
}

// answerOf returns the answer of an agent about the flow.
func answerOf(reason hickorysteering.Reason) []byte {
	return encodeFrame(&hickorysteering.Action{Verb: hickorysteering.VerbAnswers, Header: hickoryframe.Header{
		Version: hickorysteering.FrameVersion, Kind: uint8(hickorysteering.KindAnswers),
	}, Answers: []hickoryframe.Answer{{Flow: hickorysteering.NoticeOf(unknownFlow), Reason: uint8(reason)}}})
}

// deny answers the last search packet or query to an agent: it does not hold the flow.
func (f *confirmationFixture) deny(t *testing.T, upstream string) {
	agent, err := hickorymodel.ParseEndpoint(hickoryid.Endpoint(upstream))
	f.is.NoErr(err)
	agent.Port = f.decider.dataPort
	f.decider.handleFrame(t.Context(), hickoryring.Frame{Peer: agent, Bytes: denial()})
}

// listing is a configuration with one upstream.
func listing() *hickorydirectory.Batch {
	return &hickorydirectory.Batch{Through: 1, Complete: true, Changes: []hickorydirectory.Change{
		{Table: &hickorymessage.RouteTable{
			Version: 1, IdleTimeout: "15s",
			Routes: []hickorymessage.Route{{Name: "live", Address: "198.51.100.1:443", Targets: []hickorymessage.RouteTarget{{Service: "clubroom", Weight: 1}}}},
		}},
		{Upstream: upstreamAt("u-1", 1, "10.0.0.1:8000")},
	}}
}

func upstreamAt(id hickoryid.UpstreamID, revision int, endpoint hickoryid.Endpoint) *hickorymessage.ListedUpstream {
	return &hickorymessage.ListedUpstream{ID: id, Revision: revision, Service: "clubroom", Zone: "a", Endpoint: endpoint, Slots: 2, ColdTime: "0s"}
}

// TestOnlyAnswersConfirm guards against changes that count as read while a watch is
// pending or after it has failed: the store may not have received it, and a flow was
// reset whose upstream had just been published.
func TestOnlyAnswersConfirm(t *testing.T) {
	f := newConfirmationFixture(t)
	f.answer(listing())
	confirmed := <-f.decider.rings.views.Items()
	f.is.True(confirmed.ConfirmedUntil > 0)
	follower := testFollower(Store{Watch: func(context.Context, hickorydirectory.Scope, hickorydirectory.Revision, time.Duration, time.Duration) (*hickorydirectory.Batch, error) {
		f.is.Equal(len(f.decider.rings.views.Items()), 0)
		return nil, errFailed
	}})
	follower.listed = true
	_, err := follower.callStore(t.Context())
	f.updater.handleStoreAnswer(hickoryring.StoreAnswer{Scope: hickorydirectory.ScopeAll, Err: err, SentAt: f.updater.clock.Now()})
	f.is.Equal(len(f.decider.rings.views.Items()), 0)
	f.is.Equal(f.updater.confirmedUntil, confirmed.ConfirmedUntil)
}

// TestConfirmationFollowsItsView guards against the reset of a flow at an upstream whose
// entry waits in the ring to the decide duty, while a later answer of the store already
// counts as a confirmation that there is no such entry.
func TestConfirmationFollowsItsView(t *testing.T) {
	f := newConfirmationFixture(t)
	f.answer(listing())
	f.is.True(f.updater.directory.Settle(f.updater.clock.Now()))
	f.updater.publish("test")
	f.takeUpdate(t)
	f.decider.handlePacket(t.Context(), hickoryring.Frame{Bytes: []byte("data")})
	f.deny(t, "10.0.0.1:8000")
	f.answer(&hickorydirectory.Batch{Through: 2, Changes: []hickorydirectory.Change{{Upstream: upstreamAt("u-2", 2, "10.0.0.2:8000")}}})
	f.answer(&hickorydirectory.Batch{Through: 2})
	f.decider.tick(t.Context())
	f.is.Equal(f.decider.rings.toCallers.Len(), 0) // the new upstream was not asked
	f.takeUpdate(t)
	f.decider.tick(t.Context())
	f.is.Equal(f.decider.rings.toCallers.Len(), 0)
	f.deny(t, "10.0.0.2:8000")
	f.decider.tick(t.Context())
	f.is.Equal(f.decider.rings.toCallers.Len(), 1)
}

// TestIncompleteStateSettlesNobody guards against a balancer that takes its upstreams for
// all that may run, because another one said so that has no configuration yet and
// therefore sent no state. The flows of upstreams that it lacks would be reset.
func TestIncompleteStateSettlesNobody(t *testing.T) {
	f := newConfirmationFixture(t)
	f.answer(&hickorydirectory.Batch{Through: 1, Complete: true})
	f.updater.directory.Settle(f.updater.clock.Now())
	replies := make(chan hickorymessage.StateReply, 1)
	f.updater.handleStateCall(hickoryring.StateCall{Request: &hickorymessage.StateRequest{Sender: "10.0.0.9:7000"}, Reply: replies})
	reply := <-replies
	f.is.True(reply.State == nil)
	f.is.True(!reply.Settled)
}

// TestOnlyUpstreamsConfirm guards against the reset of a flow at an upstream that has just
// been published, because the store has answered a later call for the zones or the
// configuration, which says nothing of upstreams.
func TestOnlyUpstreamsConfirm(t *testing.T) {
	f := newConfirmationFixture(t)
	f.answer(listing())
	confirmed := (<-f.decider.rings.views.Items()).ConfirmedUntil
	for _, part := range []hickorydirectory.Scope{hickorydirectory.ScopeZones, hickorydirectory.ScopeTable} {
		batch := &hickorydirectory.Batch{Scope: part, Since: 1, Through: 9}
		f.updater.handleStoreAnswer(hickoryring.StoreAnswer{Scope: part, Batch: batch, SentAt: f.updater.clock.Now()})
		f.is.Equal((<-f.decider.rings.views.Items()).ConfirmedUntil, confirmed)
	}
}
