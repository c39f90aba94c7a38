package hickorysocket

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryring"
)

// batchSize is the most datagrams of one system call.
const batchSize = 32

// ReceiveBatches reads datagrams into a ring until the context or the socket
// ends, with one system call for all that wait. It suits sockets without paths.
func (s *Socket) ReceiveBatches(ctx context.Context, ring *hickoryring.FrameRing) error {
	stop := context.AfterFunc(ctx, func() {
		_ = s.conn.SetReadDeadline(time.Now())
	})
	defer stop()
	conn := ipv4.NewPacketConn(s.conn)
	messages := newMessages()
	for {
		count, err := conn.ReadBatch(messages, 0)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrapf(err, "receive on %s", s.endpoint)
		}
		if err != nil {
			s.receiveFailed(errors.Wrapf(err, "receive on %s", s.endpoint))
			continue
		}
		for i := range messages[:count] {
			s.pass(ctx, &messages[i], ring)
		}
	}
}

// pass puts one received datagram into a ring.
func (s *Socket) pass(ctx context.Context, message *ipv4.Message, ring *hickoryring.FrameRing) {
	from, ok := message.Addr.(*net.UDPAddr)
	if !ok {
		return
	}
	peer, ok := hickorymodel.NewEndpoint(from.AddrPort())
	if !ok {
		return
	}
	s.received.Add(1)
	ring.Put(ctx, hickoryring.Frame{Peer: peer, Bytes: append([]byte(nil), message.Buffers[0][:message.N]...)})
}

// SendBatches writes the frames of a ring until the context ends, with one
// system call for all that wait. It suits sockets without paths or carrier.
func (s *Socket) SendBatches(ctx context.Context, ring *hickoryring.FrameRing) error {
	conn := ipv4.NewPacketConn(s.conn)
	messages := newMessages()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-ring.Items():
			setMessage(&messages[0], frame)
		}
		s.writeBatch(conn, messages[:1+fill(messages[1:], ring)])
	}
}

// fill takes frames that wait in a ring and returns their number.
func fill(messages []ipv4.Message, ring *hickoryring.FrameRing) int {
	for i := range messages {
		select {
		case frame := <-ring.Items():
			setMessage(&messages[i], frame)
		default:
			return i
		}
	}
	return len(messages)
}

// writeBatch writes messages; one that fails does not hold up those behind it.
func (s *Socket) writeBatch(conn *ipv4.PacketConn, messages []ipv4.Message) {
	for len(messages) > 0 {
		count, err := conn.WriteBatch(messages, 0)
		if err != nil {
			s.sendFailed(errors.Wrapf(err, "send to %s", messages[0].Addr))
			count = max(count, 0) + 1
		}
		messages = messages[min(count, len(messages)):]
	}
}

func newMessages() []ipv4.Message {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, MaxDatagram)}
	}
	return messages
}

func setMessage(message *ipv4.Message, frame hickoryring.Frame) {
	message.Buffers[0] = frame.Bytes
	message.Addr = net.UDPAddrFromAddrPort(frame.Peer.AddrPort())
}
