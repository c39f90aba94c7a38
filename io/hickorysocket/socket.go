// Package hickorysocket moves datagrams between UDP sockets and the bounded rings of
// hickoryring.
package hickorysocket

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryring"
)

const (
	// MaxDatagram is the size in bytes of the largest datagram that is received whole.
	MaxDatagram = 2048
	// socketBuffer is the size in bytes of the receive and the send buffer. It holds
	// about 20 ms of packets at full load.
	socketBuffer = 4 << 20
)

// Socket sends and receives datagrams on one IPv4 address. It has a first UDP socket,
// which is bound to the endpoint, and paths: further sockets with source ports of
// their own. A frame is sent from the kept path of its peer, or else from the default
// path, or else from the first socket.
type Socket struct {
	conn     *net.UDPConn
	endpoint hickorymodel.Endpoint
	// sendFailed is called with the error of each frame that could not be sent.
	sendFailed func(error)
	// receiveFailed is called with the error of each read by ReceiveBatches that failed
	// while the socket was open.
	receiveFailed func(error)
	// frameCarrier receives each frame to be sent and calls write with it. write is
	// writeFrame, stored once so that no packet needs an allocation for it.
	frameCarrier Carrier
	write        func(hickoryring.Frame)
	received     atomic.Uint64

	pathMutex sync.Mutex
	// newPaths holds the new paths and keptPaths the kept ones. Senders read keptPaths
	// without a lock, so the map is replaced and never changed.
	newPaths  pathMap
	keptPaths atomic.Pointer[pathMap]
	// keptOrder holds the peers of keptPaths in the order in which KeepPath was called.
	keptOrder []hickorymodel.Endpoint
	// defaultPath is the path for peers without a kept path; nil stands for the first
	// socket. previousPath is the default path before the last renewal.
	defaultPath  atomic.Pointer[path]
	previousPath *path
	// closed is true after Close. No path is opened then.
	closed bool
}

// Carrier is a hook for frames to be sent: it receives each frame and calls write with
// it at once, later or never. The stand-ins of
// hickorystandin, which are test doubles, use it to delay and drop packets between
// two sockets.
type Carrier func(frame hickoryring.Frame, write func(hickoryring.Frame))

// Option sets a property of a socket when it is opened.
type Option func(*Socket)

// WithSendFailed sets the function that is called with the error of each frame that
// could not be sent.
func WithSendFailed(sendFailed func(error)) Option {
	return func(s *Socket) {
		s.sendFailed = sendFailed
	}
}

// WithReceiveFailed sets the function that is called with the error of each read by
// ReceiveBatches that failed while the socket was open.
func WithReceiveFailed(receiveFailed func(error)) Option {
	return func(s *Socket) {
		s.receiveFailed = receiveFailed
	}
}

// WithCarrier sets the hook that receives the frames to be sent. A nil Carrier changes
// nothing.
func WithCarrier(frameCarrier Carrier) Option {
	return func(s *Socket) {
		if frameCarrier != nil {
			s.frameCarrier = frameCarrier
		}
	}
}

// writeAtOnce is the Carrier of a socket without WithCarrier.
func writeAtOnce(frame hickoryring.Frame, write func(hickoryring.Frame)) {
	write(frame)
}

// Open binds the first UDP socket to an endpoint. Port 0 stands for any free port.
func Open(endpoint hickorymodel.Endpoint, options ...Option) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(endpoint.AddrPort()))
	if err != nil {
		return nil, errors.Wrapf(err, "open data socket %s", endpoint)
	}
	bound, ok := hickorymodel.NewEndpoint(conn.LocalAddr().(*net.UDPAddr).AddrPort())
	if !ok {
		return nil, errors.Errorf("open data socket %s: no IPv4 address", endpoint)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	s := &Socket{
		conn:          conn,
		endpoint:      bound,
		sendFailed:    func(error) {},
		receiveFailed: func(error) {},
		frameCarrier:  writeAtOnce,
		newPaths:      pathMap{},
	}
	s.keptPaths.Store(&pathMap{})
	s.write = s.writeFrame
	for _, option := range options {
		option(s)
	}
	return s, nil
}

// Endpoint returns the address and port to which the first socket is bound.
func (s *Socket) Endpoint() hickorymodel.Endpoint {
	return s.endpoint
}

// Received returns the number of datagrams received so far on all sockets.
func (s *Socket) Received() uint64 {
	return s.received.Load()
}

// Close closes the first socket and all paths, which ends all calls of Receive and
// ReceiveBatches.
func (s *Socket) Close() error {
	s.closePaths()
	return errors.Wrapf(s.conn.Close(), "close data socket %s", s.endpoint)
}

// Receive reads the datagrams of the first socket into a ring until the context ends
// or the socket is closed, and returns the reason. It ignores reads that fail and
// datagrams without an IPv4 sender.
func (s *Socket) Receive(ctx context.Context, ring *hickoryring.FrameRing) error {
	return s.receiveOn(ctx, s.conn, ring)
}

// receiveOn does for one UDP socket what Receive does for the first one.
func (s *Socket) receiveOn(ctx context.Context, conn *net.UDPConn, ring *hickoryring.FrameRing) error {
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetReadDeadline(time.Now())
	})
	defer stop()
	buffer := make([]byte, MaxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrapf(err, "receive on %s", s.endpoint)
		}
		peer, ok := hickorymodel.NewEndpoint(from)
		if err != nil || !ok {
			continue
		}
		s.received.Add(1)
		ring.Put(ctx, hickoryring.Frame{Peer: peer, Bytes: append([]byte(nil), buffer[:n]...)})
	}
}

// SendAll sends the frames of a ring one by one until the context ends.
func (s *Socket) SendAll(ctx context.Context, ring *hickoryring.FrameRing) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-ring.Items():
			s.Send(frame)
		}
	}
}

// Send passes one frame to the carrier, which writes it.
func (s *Socket) Send(frame hickoryring.Frame) {
	s.frameCarrier(frame, s.write)
}

// writeFrame writes one frame from the kept path of its peer, or else from the default
// path, or else from the first socket.
func (s *Socket) writeFrame(frame hickoryring.Frame) {
	conn := s.conn
	if p := s.defaultPath.Load(); p != nil {
		conn = p.conn
	}
	if p := (*s.keptPaths.Load())[frame.Peer]; p != nil {
		conn = p.conn
	}
	s.writeFrom(conn, frame)
}

// writeFrom writes one frame from a UDP socket and calls sendFailed when that fails.
func (s *Socket) writeFrom(conn *net.UDPConn, frame hickoryring.Frame) {
	if _, err := conn.WriteToUDPAddrPort(frame.Bytes, frame.Peer.AddrPort()); err != nil {
		s.sendFailed(errors.Wrapf(err, "send to %s", frame.Peer))
	}
}
