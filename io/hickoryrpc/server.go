// Package hickoryrpc carries control messages between balancers, agents and tools.
// It uses net/rpc with a JSON codec, so that each message is checked against its schema
// when it is decoded. A client compresses its connections unless it is told not to; a
// server does what the client does.
package hickoryrpc

import (
	"context"
	"net"
	"net/rpc"
	"net/rpc/jsonrpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryid"
)

const (
	// maxConnections limits the connections that a server serves at once.
	maxConnections = 512
	// stopWriteTimeout limits the time for which a server that stops still writes
	// replies, since the other end may no longer read.
	stopWriteTimeout = 2 * time.Second
)

// Server serves the control calls of other processes.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	meter    *Meter

	mutex sync.Mutex
	// open holds the connections being served, at most maxConnections.
	open map[net.Conn]struct{}
	// ended wakes closeAll when a connection has ended.
	ended chan struct{}
	// rejected is the count that Rejected returns.
	rejected atomic.Uint64
}

// Listen opens a control socket. Port 0 stands for any free port.
func Listen(endpoint hickoryid.Endpoint) (*Server, error) {
	listener, err := net.Listen("tcp", string(endpoint))
	if err != nil {
		return nil, errors.Wrapf(err, "open control socket %s", endpoint)
	}
	return &Server{
		listener: listener,
		rpc:      rpc.NewServer(),
		meter:    &Meter{},
		open:     map[net.Conn]struct{}{},
		ended:    make(chan struct{}, maxConnections),
	}, nil
}

// Register adds the methods of a receiver under a service name. It is called before
// Serve.
func (s *Server) Register(name string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "register control service %s", name)
}

// Endpoint returns the address of the control socket.
func (s *Server) Endpoint() hickoryid.Endpoint {
	return hickoryid.Endpoint(s.listener.Addr().String())
}

// Meter returns the byte counts of all connections of the server.
func (s *Server) Meter() *Meter {
	return s.meter
}

// Rejected returns the number of connections that were closed without being served,
// because maxConnections were open or because they ended before the first call.
func (s *Server) Rejected() uint64 {
	return s.rejected.Load()
}

// Serve accepts connections until the context ends, and then waits until the calls in
// progress are answered.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = s.listener.Close()
	})
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			s.closeAll()
			return errors.Wrap(err, "accept control connection")
		}
		s.serveConnection(ctx, conn)
	}
}

// serveConnection serves a connection in a goroutine of its own, unless
// maxConnections are open.
func (s *Server) serveConnection(ctx context.Context, conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.open) >= maxConnections {
		s.rejected.Add(1)
		_ = conn.Close()
		return
	}
	s.open[conn] = struct{}{}
	go func(_ context.Context) {
		s.serveCalls(conn)
		s.mutex.Lock()
		delete(s.open, conn)
		s.mutex.Unlock()
		s.signalEnded()
	}(ctx)
}

// serveCalls serves a connection until it ends.
func (s *Server) serveCalls(conn net.Conn) {
	stream, err := detect(s.meter.wrap(conn))
	if err != nil {
		s.rejected.Add(1)
		_ = conn.Close()
		return
	}
	s.rpc.ServeCodec(jsonrpc.NewServerCodec(stream))
}

// signalEnded wakes closeAll after a connection has ended. Nothing receives from ended
// before the server stops, so the value is dropped when the channel is full; the
// queued values wake closeAll as well.
func (s *Server) signalEnded() {
	select {
	case s.ended <- struct{}{}:
	default:
	}
}

// closeAll ends all connections and waits until none is served. It ends only their
// reading side, so that calls in progress are still answered.
func (s *Server) closeAll() {
	for {
		s.mutex.Lock()
		count := len(s.open)
		for conn := range s.open {
			_ = conn.SetReadDeadline(time.Now())
			_ = conn.SetWriteDeadline(time.Now().Add(stopWriteTimeout))
		}
		s.mutex.Unlock()
		if count == 0 {
			return
		}
		<-s.ended
	}
}

// Close closes the control socket of a server on which Serve was not called. It does
// nothing when the socket is closed already.
func (s *Server) Close() error {
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "close control socket")
}
