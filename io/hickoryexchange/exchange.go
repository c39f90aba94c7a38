// Package hickoryexchange runs requests of a datagram service on an unmodified
// server beside the agent: each request has a socket of its own.
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
	tickInterval = 20 * time.Millisecond
	// maxAnswerBytes is the largest datagram that a server can send.
	maxAnswerBytes = 1 << 16
	// answerCapacity bounds the answers that wait for the exchange.
	answerCapacity = 256
)

// Exchange joins callers and the server. One goroutine runs it.
type Exchange struct {
	clock    *hickoryclock.Clock
	server   hickorymodel.Endpoint
	back     hickorymodel.Endpoint
	drops    *hickorymetric.Drops
	outgoing *hickoryring.FrameRing
	limits   *hickoryring.LimitRing
	answered *hickoryring.AnsweredRing

	runner  *hickoryrequest.Runner
	codec   *hickorygeneve.Codec
	service hickoryid.ServiceNumber
	// sockets holds the socket of each running request.
	sockets map[hickorymessage.RequestID]net.Conn
	answers chan answer
	// ended delivers one value for each reader that has ended; run reads it
	// until all have ended.
	ended chan struct{}
}

// answer is what a server sent on the socket of a request.
type answer struct {
	request hickorymessage.RequestID
	socket  net.Conn
	body    []byte
}

// Config holds the parts that an exchange works with.
type Config struct {
	Clock *hickoryclock.Clock
	// Server is the socket of the datagram server.
	Server hickorymodel.Endpoint
	// ResponseEndpoint is the encapsulating interface for answers to callers.
	ResponseEndpoint hickorymodel.Endpoint
	Drops            *hickorymetric.Drops
	Outgoing         *hickoryring.FrameRing
	Limits           *hickoryring.LimitRing
	// Answered tells the duty that decides which flows have been answered.
	Answered *hickoryring.AnsweredRing
}

// New returns an exchange without requests.
func New(config Config) *Exchange {
	return &Exchange{
		clock:    config.Clock,
		server:   config.Server,
		back:     config.ResponseEndpoint,
		drops:    config.Drops,
		outgoing: config.Outgoing,
		limits:   config.Limits,
		answered: config.Answered,
		runner:   hickoryrequest.NewRunner(1),
		codec:    hickorygeneve.NewCodec(),
		sockets:  map[hickorymessage.RequestID]net.Conn{},
		answers:  make(chan answer, answerCapacity),
		ended:    make(chan struct{}, answerCapacity),
	}
}

// Run handles datagrams of callers until the context ends.
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
			e.takeAnswer(ctx, got)
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

// runRequest gives a request to the server. A request whose socket fails may
// have reached the server, so it ends at its deadline as unknown.
func (e *Exchange) runRequest(ctx context.Context, action *hickoryrequest.Action) {
	socket, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(e.server.AddrPort()))
	if err != nil {
		e.drops.Add(hickorymessage.DropReasonSendFailed)
		return
	}
	e.sockets[action.Request] = socket
	go func(ctx context.Context, request hickorymessage.RequestID) {
		e.readAnswer(ctx, request, socket)
		e.ended <- struct{}{}
	}(ctx, action.Request)
	if _, err := socket.Write(action.Body); err != nil {
		e.drops.Add(hickorymessage.DropReasonSendFailed)
	}
}

// readAnswer passes on the first datagram that the server sends.
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

func (e *Exchange) takeAnswer(ctx context.Context, got answer) {
	if e.sockets[got.request] != got.socket {
		return
	}
	e.closeSocket(got.request)
	if flow, open := e.runner.Flow(got.request); open {
		e.answered.Put(flow)
	}
	e.perform(ctx, e.runner.ReceiveAnswer(e.clock.Now(), got.request, got.body))
}

func (e *Exchange) closeSocket(request hickorymessage.RequestID) {
	socket, ok := e.sockets[request]
	if !ok {
		return
	}
	delete(e.sockets, request)
	_ = socket.Close()
	<-e.ended
}

// closeSockets ends the readers and waits for them.
func (e *Exchange) closeSockets() {
	for request := range e.sockets {
		e.closeSocket(request)
	}
}

// respond sends a response to the caller as datagrams of the service.
func (e *Exchange) respond(ctx context.Context, action *hickoryrequest.Action) {
	parts, err := hickoryrequest.Split(action.Body)
	if err != nil {
		parts = [][]byte{{}}
		action.Outcome = hickorymessage.OutcomeUnknown
		action.Reason = reasonTooLarge
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

// reasonTooLarge says that the request ran, but its response does not fit the parts.
const reasonTooLarge = "responseTooLarge"

func (e *Exchange) send(ctx context.Context, flow hickorymodel.FlowKey, part hickorymessage.ResponsePart, body []byte) error {
	payload, err := EncodeResponse(part, body)
	if err != nil {
		return err
	}
	encoded, err := e.codec.EncodeDatagram(e.service, flow.Destination, flow.Source, payload)
	if err != nil {
		return err
	}
	frame := hickoryring.Frame{Peer: e.back, Bytes: append([]byte(nil), encoded...)}
	if !e.outgoing.Put(ctx, frame) {
		return errors.New("send ring is full")
	}
	return nil
}
