package hickoryfabric

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// useUpstreams passes a configuration with many upstreams to the decide duty, from a
// settled directory.
func (f *confirmationFixture) useUpstreams(t *testing.T, count int) {
	batch := listing()
	batch.Changes = batch.Changes[:1]
	for i := range count {
		endpoint := hickoryid.Endpoint(fmt.Sprintf("10.1.%d.%d:8000", i>>8, i&255))
		batch.Changes = append(batch.Changes, hickorydirectory.Change{Upstream: upstreamAt(hickoryid.UpstreamID(fmt.Sprint("u-", i)), 1, endpoint)})
	}
	f.answer(batch)
	f.is.True(f.updater.directory.Settle(f.updater.clock.Now()))
	f.updater.publish("test")
	f.takeUpdate(t)
	f.drain()
}

// drain takes the frames that wait for agents and returns their receivers, without
// those of hellos.
func (f *confirmationFixture) drain() []hickorymodel.Endpoint {
	receivers := []hickorymodel.Endpoint{}
	for f.decider.rings.toAgents.Len() > 0 {
		frame := <-f.decider.rings.toAgents.Items()
		var decoded decodedFrame
		f.is.NoErr(decodeFrame(frame.Bytes, &decoded))
		if hickorysteering.Kind(decoded.header.Kind) != hickorysteering.KindHello {
			receivers = append(receivers, frame.Peer)
		}
	}
	return receivers
}

// handleFrames handles the frames that wait from agents.
func (f *confirmationFixture) handleFrames(t *testing.T) {
	for f.decider.rings.fromAgents.Len() > 0 {
		f.decider.handleFrame(t.Context(), <-f.decider.rings.fromAgents.Items())
	}
}

// TestFullRingsEndInSilence guards against the reset of a flow after a ring was full: the
// agents whose query or answer was dropped have not denied it. It also guards against a
// search that never ends then.
func TestFullRingsEndInSilence(t *testing.T) {
	cases := []struct {
		name      string
		upstreams int
		// drained is true if the frames to agents are sent as they come.
		drained bool
	}{
		{"answers are dropped", 2 * receiveCapacity, true},
		{"queries are dropped", sendCapacity + 100, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newConfirmationFixture(t)
			f.useUpstreams(t, c.upstreams)
			f.decider.handlePacket(t.Context(), hickoryring.Frame{Bytes: []byte("data")})
			asked := 0
			ticker := time.NewTicker(hickorysteering.SearchTickInterval)
			defer ticker.Stop()
			answer := func() {
				receivers := f.drain()
				asked += len(receivers)
				for _, agent := range receivers {
					f.decider.rings.fromAgents.Put(t.Context(), hickoryring.Frame{Peer: agent, Bytes: denial()})
				}
				f.handleFrames(t)
			}
			for range 30 {
				if c.drained {
					answer()
				}
				<-ticker.C
				f.decider.tick(t.Context())
			}
			for len(f.decider.rings.toAgents.Items()) > 0 {
				answer()
			}
			f.answer(&hickorydirectory.Batch{Through: 1})
			f.takeUpdate(t)
			drops := f.decider.rings.fromAgents.Drops() + f.decider.rings.toAgents.Drops()
			f.is.True(drops > 0)
			f.is.True(asked > c.upstreams/2)
			f.is.Equal(f.decider.rings.toCallers.Len(), 0)
			for range 200 { // the caller's next packets ask the others again
				<-ticker.C
				f.decider.handlePacket(t.Context(), hickoryring.Frame{Bytes: []byte("data")})
				f.decider.tick(t.Context())
				answer()
			}
			f.is.Equal(f.decider.rings.toCallers.Len(), 1)
		})
	}
}

// TestFullCallRingsRefuseCalls guards against a balancer that waits for an answer which
// never comes, because the call met a full ring: it asks another one after the error.
func TestFullCallRingsRefuseCalls(t *testing.T) {
	is := is.New(t)
	receiver := &stateReceiver{stateCalls: hickoryring.NewStateRing(), changesCalls: hickoryring.NewChangesRing(), tableCalls: hickoryring.NewTableRing()}
	for receiver.stateCalls.Put(hickoryring.StateCall{}) {
	}
	for receiver.changesCalls.Put(hickoryring.ChangesCall{}) {
	}
	for receiver.tableCalls.Put(hickoryring.TableCall{}) {
	}
	var table hickorymessage.TableReply
	is.True(receiver.Table(hickorymessage.TableRequest{}, &table) != nil)
	var state hickorymessage.StateReply
	is.True(receiver.State(hickorymessage.StateRequest{}, &state) != nil)
	var changes hickorymessage.ChangesReply
	is.True(receiver.Changes(hickorymessage.ChangesRequest{WaitMillis: 10000}, &changes) != nil)
}

// TestManyWaitingCalls guards against a call for changes that is held beyond the bound, or
// whose answer claims newer knowledge than the balancer has.
func TestManyWaitingCalls(t *testing.T) {
	f := newConfirmationFixture(t)
	f.answer(listing())
	request := &hickorymessage.ChangesRequest{Sender: "10.0.0.9:7000", Zone: "a", Revision: 1, ZonesRevision: 1, TableRevision: 1, Version: 1, WaitMillis: 10000}
	replies := make(chan hickorymessage.ChangesReply, maxChangesWaiters+1)
	for range maxChangesWaiters {
		f.updater.handleChangesCall(hickoryring.ChangesCall{Request: request, Reply: replies})
	}
	f.is.Equal(len(replies), 0) // nothing is new
	f.updater.handleChangesCall(hickoryring.ChangesCall{Request: request, Reply: replies})
	f.is.Equal(len(replies), 1)
	reply := <-replies
	f.is.True(reply.State == nil)
	f.is.Equal(reply.HeldMillis, 0)
}

// TestAnswersComeBeforeTimers guards against a search that asks the agents of other services,
// although the owner's answer has arrived and waits in a process that was busy.
func TestAnswersComeBeforeTimers(t *testing.T) {
	f := newConfirmationFixture(t)
	f.useUpstreams(t, 40)
	f.decider.handlePacket(t.Context(), hickoryring.Frame{Bytes: []byte("data")})
	asked := f.drain()
	f.is.True(len(asked) > 0)
	<-time.After(time.Second / 10) // further rounds are due
	f.decider.rings.fromAgents.Put(t.Context(), hickoryring.Frame{Peer: asked[0], Bytes: answerOf(hickorysteering.ReasonOpen)})
	for range 2 {
		f.decider.advance(t.Context())
		f.is.Equal(len(f.drain()), 0)
	}
}
