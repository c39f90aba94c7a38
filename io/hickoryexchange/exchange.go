// Package hickoryexchange runs the requests of a datagram service on an unmodified
// server on the agent's host. It joins the parts of each request, sends the request
// to the server from a socket of its own, and returns the server's answer to the
// caller as the parts of a response.
package hickoryexchange

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickoryrequest"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// tickInterval is the time between two checks for requests whose deadlines have
	// passed.
	tickInterval = 20 * time.Millisecond
	// maxAnswerBytes is the largest datagram that a server can send.
	maxAnswerBytes = 1 << 16
	// answerCapacity is the number of answers that can be queued for Run.
	answerCapacity = 256
)

// Exchange passes requests from callers to the server and responses back. Run must
// be called by one goroutine only.
type Exchange struct {
	clock            *hickoryclock.Clock
	server           hickorymodel.Endpoint
	responseEndpoint hickorymodel.Endpoint
	drops            *hickorymetric.Drops
	outgoing         *hickoryring.FrameRing
	limits           *hickoryring.LimitRing
	answered         *hickoryring.AnsweredRing

	runner  *hickoryrequest.Runner
	codec   *hickorygeneve.Codec
	service hickoryid.ServiceNumber
	// sockets holds the socket of each running request.
	sockets map[hickorymessage.RequestID]net.Conn
	// answers carries the answers of the server from the goroutines of readAnswer
	// to Run.
	answers chan answer
	// readerEnded carries one value for each goroutine of readAnswer that has ended.
	// closeSocket receives one for each socket, so that none outlives Run.
	readerEnded chan struct{}
}

// answer is the first datagram that the server sent to the socket of a request.
type answer struct {
	request hickorymessage.RequestID
	socket  net.Conn
	body    []byte
}

// Config holds the endpoints, rings and other parts that an Exchange uses.
type Config struct {
	Clock *hickoryclock.Clock
	// Server is the endpoint of the datagram server.
	Server hickorymodel.Endpoint
	// ResponseEndpoint is the host's encapsulating interface, to which responses to
	// callers are sent.
	ResponseEndpoint hickorymodel.Endpoint
	Drops            *hickorymetric.Drops
	Outgoing         *hickoryring.FrameRing
	Limits           *hickoryring.LimitRing
	// Answered carries the flows of answered requests to the decide duty.
	Answered *hickoryring.AnsweredRing
}

// New returns an Exchange without requests.
func New(config Config) *Exchange {
	return &Exchange{
		clock:            config.Clock,
		server:           config.Server,
		responseEndpoint: config.ResponseEndpoint,
		drops:            config.Drops,
		outgoing:         config.Outgoing,
		limits:           config.Limits,
		answered:         config.Answered,
		runner:           hickoryrequest.NewRunner(1),
		codec:            hickorygeneve.NewCodec(),
		sockets:          map[hickorymessage.RequestID]net.Conn{},
		answers:          make(chan answer, answerCapacity),
		readerEnded:      make(chan struct{}, answerCapacity),
	}
}

// Run handles the datagrams of callers and the answers of the server until the
// context ends.
func (e *Exchange) Run(ctx context.Context, requests *hickoryring.RequestRing) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer e.closeSockets()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case limits := <-e.limits.Items():
			e.service = limits.Service
			e.runner.SetSlots(int(limits.Slots))
			e.runner.SetAccepting(limits.Accepting)
		case datagram := <-requests.Items():
			e.receive(ctx, datagram)
		case got := <-e.answers:
			e.handleAnswer(ctx, got)
		case <-ticker.C:
			e.perform(ctx, e.runner.Tick(e.clock.Now()))
			e.limits.SetOpen(e.runner.OpenRequests())
		}
	}
}

func (e *Exchange) receive(ctx context.Context, datagram hickoryring.RequestDatagram) {
	part, err := DecodeRequest(datagram.Payload)
	if err != nil {
		e.drops.Add(hickorymessage.DropReasonMalformed)
		return
	}
	part.Flow = datagram.Flow
	part.CertainSince = datagram.CertainSince
	e.perform(ctx, e.runner.Receive(e.clock.Now(), part))
}

func (e *Exchange) perform(ctx context.Context, actions []hickoryrequest.Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Verb {
		case hickoryrequest.VerbRun:
			e.runRequest(ctx, action)
		case hickoryrequest.VerbAbandon:
			e.closeSocket(action.Request)
		case hickoryrequest.VerbRespond:
			e.respond(ctx, action)
		}
	}
}

// runRequest sends a request to the server. If its socket fails, the request may
// still have reached the server, so it ends at its deadline with outcome unknown.
func (e *Exchange) runRequest(ctx context.Context, action *hickoryrequest.Action) {
	socket, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(e.server.AddrPort()))
	if err != nil {
		e.drops.Add(hickorymessage.DropReasonSendFailed)
		return
	}
	e.sockets[action.Request] = socket
	go func(ctx context.Context, request hickorymessage.RequestID) {
		e.readAnswer(ctx, request, socket)
		e.readerEnded <- struct{}{}
	}(ctx, action.Request)
	if _, err := socket.Write(action.Body); err != nil {
		e.drops.Add(hickorymessage.DropReasonSendFailed)
	}
}

// readAnswer passes the first datagram that the server sends to Run.
func (e *Exchange) readAnswer(ctx context.Context, request hickorymessage.RequestID, socket net.Conn) {
	buffer := make([]byte, maxAnswerBytes)
	n, err := socket.Read(buffer)
	if err != nil {
		return
	}
	select {
	case e.answers <- answer{request: request, socket: socket, body: buffer[:n]}:
	case <-ctx.Done():
	}
}

// handleAnswer handles an answer of the server. It ignores one that was read before
// the socket of its request was closed.
func (e *Exchange) handleAnswer(ctx context.Context, got answer) {
	if e.sockets[got.request] != got.socket {
		return
	}
	e.closeSocket(got.request)
	if flow, open := e.runner.Flow(got.request); open {
		e.answered.Put(flow)
	}
	e.perform(ctx, e.runner.ReceiveAnswer(e.clock.Now(), got.request, got.body))
}

// closeSocket closes the socket of a request, if it is open, and waits for a
// goroutine of readAnswer to end.
func (e *Exchange) closeSocket(request hickorymessage.RequestID) {
	socket, ok := e.sockets[request]
	if !ok {
		return
	}
	delete(e.sockets, request)
	_ = socket.Close()
	<-e.readerEnded
}

// closeSockets closes all sockets and waits for all goroutines of readAnswer to end.
func (e *Exchange) closeSockets() {
	for request := range e.sockets {
		e.closeSocket(request)
	}
}

// respond sends a response to the caller, one datagram for each part.
func (e *Exchange) respond(ctx context.Context, action *hickoryrequest.Action) {
	parts, err := hickoryrequest.Split(action.Body)
	if err != nil {
		parts = [][]byte{{}}
		action.Outcome = hickorymessage.OutcomeUnknown
		action.Reason = reasonResponseTooLarge
	}
	for i, body := range parts {
		err = e.send(ctx, action.Flow, hickorymessage.ResponsePart{
			Request: action.Request,
			Outcome: action.Outcome,
			Reason:  action.Reason,
			Part:    i,
			Parts:   len(parts),
		}, body)
		if err != nil {
			e.drops.Add(hickorymessage.DropReasonSendFailed)
		}
	}
}

// reasonResponseTooLarge means that the request ran, but its response exceeds the
// maximum size, which hickoryrequest.Split checks.
const reasonResponseTooLarge = "responseTooLarge"

// send queues one part of a response as an encapsulated datagram.
func (e *Exchange) send(ctx context.Context, flow hickorymodel.FlowKey, part hickorymessage.ResponsePart, body []byte) error {
	payload, err := EncodeResponse(part, body)
	if err != nil {
		return err
	}
	encoded, err := e.codec.EncodeDatagram(e.service, flow.Destination, flow.Source, payload)
	if err != nil {
		return err
	}
	frame := hickoryring.Frame{Peer: e.responseEndpoint, Bytes: append([]byte(nil), encoded...)}
	if !e.outgoing.Put(ctx, frame) {
		return errors.New("send response: ring of outgoing datagrams is full")
	}
	return nil
}
