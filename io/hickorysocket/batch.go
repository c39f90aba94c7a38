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

// batchSize is the maximum number of datagrams that one system call reads or writes.
const batchSize = 32

// ReceiveBatches reads datagrams into a ring until the context ends or the socket is
// closed, and returns the reason. One system call reads up to batchSize datagrams
// that have arrived. It reads the first socket only, so it is for sockets on which
// no path is opened.
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
			s.putReceived(ctx, &messages[i], ring)
		}
	}
}

// putReceived copies a received datagram into a ring. It ignores one without an IPv4
// sender.
func (s *Socket) putReceived(ctx context.Context, message *ipv4.Message, ring *hickoryring.FrameRing) {
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

// SendBatches writes the frames of a ring until the context ends. One system call
// writes up to batchSize frames that are in the ring. It uses neither paths nor the
// carrier, so it is for sockets without them.
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
		s.writeBatch(conn, messages[:1+fillBatch(messages[1:], ring)])
	}
}

// fillBatch moves the frames in a ring into messages, as many as fit, and returns
// their number. It does not wait for frames.
func fillBatch(messages []ipv4.Message, ring *hickoryring.FrameRing) int {
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

// writeBatch writes messages. It calls sendFailed for a message that can't be sent and
// goes on with the next one.
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

// newMessages returns batchSize messages with buffers for received datagrams.
func newMessages() []ipv4.Message {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, MaxDatagram)}
	}
	return messages
}

// setMessage sets the bytes and the receiver of a message to those of a frame.
func setMessage(message *ipv4.Message, frame hickoryring.Frame) {
	message.Buffers[0] = frame.Bytes
	message.Addr = net.UDPAddrFromAddrPort(frame.Peer.AddrPort())
}
