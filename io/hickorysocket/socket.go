// Package hickorysocket moves datagrams between a UDP socket and the rings.
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
	// MaxDatagram is the largest datagram that is received whole.
	MaxDatagram = 2048
	// socketBuffer holds about 20 ms of packets at full load.
	socketBuffer = 4 << 20
)

// Socket is one UDP socket with the rings of its duties.
type Socket struct {
	conn     *net.UDPConn
	endpoint hickorymodel.Endpoint
	// sendFailed is called for each frame that the system did not take.
	sendFailed func(error)
	// receiveFailed is called for each read that failed while the socket is open.
	receiveFailed func(error)
	// carry takes each frame that leaves; it calls write, which is the same
	// function for the life of the socket so that a packet allocates nothing.
	carry    Carrier
	write    func(hickoryring.Frame)
	received atomic.Uint64

	pathMutex sync.Mutex
	// tried holds the paths that carry no data yet, kept those that do. Senders
	// read kept without a lock, so it is replaced as a whole.
	tried pathMap
	kept  atomic.Pointer[pathMap]
	// keptOrder has the peers of kept, the one that was moved first in front.
	keptOrder []hickorymodel.Endpoint
	// sending is what peers without a path are sent to from; nil stands for the
	// first socket. retiring is the one before it.
	sending  atomic.Pointer[path]
	retiring *path
	// closed is set for good by Close.
	closed bool
}

// Carrier takes a frame that leaves a socket and calls write at once, later or
// never. Stand-ins use it to delay and lose packets between two sockets.
type Carrier func(frame hickoryring.Frame, write func(hickoryring.Frame))

// Option changes a socket at construction.
type Option func(*Socket)

// WithSendFailed sets the function that is told of frames that were not sent.
func WithSendFailed(sendFailed func(error)) Option {
	return func(s *Socket) {
		s.sendFailed = sendFailed
	}
}

// WithReceiveFailed sets the function that is told of reads that failed.
func WithReceiveFailed(receiveFailed func(error)) Option {
	return func(s *Socket) {
		s.receiveFailed = receiveFailed
	}
}

// WithCarrier sets the function that takes the frames that leave the socket. A
// nil carrier changes nothing.
func WithCarrier(carry Carrier) Option {
	return func(s *Socket) {
		if carry != nil {
			s.carry = carry
		}
	}
}

func writeAtOnce(frame hickoryring.Frame, write func(hickoryring.Frame)) {
	write(frame)
}

// Open binds a socket. Port 0 takes a free port.
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
		carry:         writeAtOnce,
		tried:         pathMap{},
	}
	s.kept.Store(&pathMap{})
	s.write = s.writeFrame
	for _, option := range options {
		option(s)
	}
	return s, nil
}

// Endpoint returns the address that the socket is bound to.
func (s *Socket) Endpoint() hickorymodel.Endpoint {
	return s.endpoint
}

// Received returns the number of datagrams received so far.
func (s *Socket) Received() uint64 {
	return s.received.Load()
}

// Close ends the socket, its paths and all calls of Receive.
func (s *Socket) Close() error {
	s.closePaths()
	return errors.Wrapf(s.conn.Close(), "close data socket %s", s.endpoint)
}

// Receive reads datagrams into a ring until the context or the socket ends.
func (s *Socket) Receive(ctx context.Context, ring *hickoryring.FrameRing) error {
	return s.receiveOn(ctx, s.conn, ring)
}

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

// SendAll writes the frames of a ring until the context ends.
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

// Send writes one frame, from the peer's path where it has one.
func (s *Socket) Send(frame hickoryring.Frame) {
	s.carry(frame, s.write)
}

// writeFrame writes one frame from the peer's path.
func (s *Socket) writeFrame(frame hickoryring.Frame) {
	conn := s.conn
	if p := s.sending.Load(); p != nil {
		conn = p.conn
	}
	if p := (*s.kept.Load())[frame.Peer]; p != nil {
		conn = p.conn
	}
	s.writeFrom(conn, frame)
}

func (s *Socket) writeFrom(conn *net.UDPConn, frame hickoryring.Frame) {
	if _, err := conn.WriteToUDPAddrPort(frame.Bytes, frame.Peer.AddrPort()); err != nil {
		s.sendFailed(errors.Wrapf(err, "send to %s", frame.Peer))
	}
}
