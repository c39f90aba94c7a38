package hickoryexchange_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickoryrequest"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickoryexchange"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickorymessage"
)

// startServer starts a datagram server that answers each datagram with its text in
// capitals.
func startServer(t *testing.T) hickorymodel.Endpoint {
	is := is.New(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	ended := make(chan struct{})
	go func(_ context.Context) {
		defer close(ended)
		buffer := make([]byte, 1<<16)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort([]byte(strings.ToUpper(string(buffer[:n]))), from)
		}
	}(t.Context())
	t.Cleanup(func() {
		_ = conn.Close()
		<-ended
	})
	endpoint, _ := hickorymodel.NewEndpoint(conn.LocalAddr().(*net.UDPAddr).AddrPort())
	return endpoint
}

// TestExchangeAnswersRequests guards against requests of several parts that do not
// reach an unmodified server as a whole, and against responses that are incomplete
// or belong to another request.
func TestExchangeAnswersRequests(t *testing.T) {
	is := is.New(t)
	requests := hickoryring.NewRequestRing(1024)
	outgoing := hickoryring.NewFrameRing(4096, hickoryring.DropNewest)
	limits := hickoryring.NewLimitRing()
	limits.Put(hickoryring.RequestLimits{Service: 7, Slots: 2, Accepting: true})
	exchange := hickoryexchange.New(hickoryexchange.Config{
		Clock:            hickoryclock.New(),
		Server:           startServer(t),
		ResponseEndpoint: hickorymodel.Endpoint{Address: [4]byte{127, 0, 0, 1}, Port: 9},
		Drops:            hickorymetric.NewDrops(tally.NoopScope),
		Outgoing:         outgoing,
		Limits:           limits,
		Answered:         hickoryring.NewAnsweredRing(16),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- exchange.Run(ctx, requests) }(ctx)
	defer func() {
		cancel()
		<-ended
	}()

	caller := hickoryrequest.NewCaller(rand.New(rand.NewPCG(1, 1)))
	flow := hickorymodel.FlowKey{
		Source:      hickorymodel.NewSocketAddress(netip.MustParseAddrPort("10.9.0.1:1000")),
		Destination: hickorymodel.NewSocketAddress(netip.MustParseAddrPort("10.1.0.1:53")),
		Protocol:    hickorymodel.ProtocolUDP,
	}
	bodies := map[hickorymessage.RequestID]string{}
	for i := range 5 {
		body := strings.Repeat(string(rune('a'+i)), 1500*(i+1))
		id, sends, err := caller.Start(1, []byte(body), false, 20*time.Second)
		is.NoErr(err)
		bodies[id] = strings.ToUpper(body)
		putParts(t, requests, flow, sends)
	}
	for len(bodies) > 0 {
		result, ended := receiveResponse(t, caller, <-outgoing.Items())
		if !ended {
			continue
		}
		is.Equal(result.Outcome, hickorymessage.OutcomeDone)
		is.Equal(string(result.Body), bodies[result.Request])
		delete(bodies, result.Request)
	}
}

// putParts puts the datagrams of a request into the ring.
func putParts(t *testing.T, ring *hickoryring.RequestRing, flow hickorymodel.FlowKey, sends []hickoryrequest.OutgoingPart) {
	is := is.New(t)
	for _, send := range sends {
		payload, err := hickoryexchange.EncodeRequest(send)
		is.NoErr(err)
		// CertainSince is so long ago that the requests count as never run before.
		is.True(ring.Put(hickoryring.RequestDatagram{Flow: flow, CertainSince: -1 << 62, Payload: payload}))
	}
}

// receiveResponse passes a sent datagram to the caller. It returns true if
// that completes a response.
func receiveResponse(t *testing.T, caller *hickoryrequest.Caller, frame hickoryring.Frame) (hickoryrequest.Result, bool) {
	is := is.New(t)
	var decoded hickorygeneve.Decoded
	_, ok := hickorygeneve.NewCodec().DecodePlain(frame.Bytes, &decoded)
	is.True(ok)
	is.Equal(decoded.Packet.Key.Destination.String(), "10.9.0.1:1000")
	payload, ok := hickorygeneve.UDPPayload(decoded.Packet.Payload)
	is.True(ok)
	part, body, err := hickoryexchange.DecodeResponse(payload)
	is.NoErr(err)
	return caller.Receive(part, body)
}
