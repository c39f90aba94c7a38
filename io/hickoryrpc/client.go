package hickoryrpc

import (
	"context"
	"encoding/json"
	"net"
	"net/rpc"
	"net/rpc/jsonrpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/io/hickorysilence"
	"hickoryworks/schema/hickoryid"
)

const (
	dialTimeout = time.Second
	// maxIdleConnections limits the connections that a client keeps for later calls.
	maxIdleConnections = 16
)

// Client calls methods of other processes and reuses connections. It is safe for
// concurrent use.
type Client struct {
	meter *Meter
	// compressing is true if connections are compressed.
	compressing bool

	mutex sync.Mutex
	// idle holds at most one connection for each peer and maxIdleConnections in all,
	// none of them in a call.
	idle   map[hickoryid.Endpoint]*connection
	closed bool
}

// connection is a connection to a peer.
type connection struct {
	*rpc.Client
	// stream counts what arrives on the connection.
	stream *meteredConn
}

// ClientOption changes a client at construction.
type ClientOption func(*Client)

// WithoutCompression makes a client send plain JSON. A compressor takes 0.8 MB at each
// end of a connection, which small messages do not justify.
func WithoutCompression() ClientOption {
	return func(c *Client) {
		c.compressing = false
	}
}

// NewClient returns a client without connections.
func NewClient(options ...ClientOption) *Client {
	c := &Client{meter: &Meter{}, compressing: true, idle: map[hickoryid.Endpoint]*connection{}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Meter returns the byte counts of all connections of the client.
func (c *Client) Meter() *Meter {
	return c.meter
}

// Call calls a method of a peer and fills in reply. It fails when the peer can't be
// reached, the method returns an error or the context ends. A connection on which a
// call got no reply is closed and not used again, since the peer may never answer on
// it again. A call that an idle connection did not take, because the peer has closed it
// since, is sent on a new one.
func (c *Client) Call(ctx context.Context, peer hickoryid.Endpoint, method string, request, reply any) error {
	return c.call(ctx, 0, peer, method, request, reply)
}

// CallUntilSilent is Call, and also fails when the peer can't be reached, or nothing arrives
// from it, for a time. An answer that is long, or that a narrow link brings slowly, is
// waited for until the context ends. It is decoded after the call, so that a slow process
// does not take the time that it needs itself for the peer's silence.
func (c *Client) CallUntilSilent(ctx context.Context, silence time.Duration, peer hickoryid.Endpoint, method string, request, reply any) error {
	var answer json.RawMessage
	if err := c.call(ctx, silence, peer, method, request, &answer); err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(answer, reply), "decode the answer of %s of %s", method, peer)
}

// call calls a method of a peer. Silence is the longest time without a byte of the peer; 0
// stands for no such limit.
func (c *Client) call(ctx context.Context, silence time.Duration, peer hickoryid.Endpoint, method string, request, reply any) error {
	connection := c.takeIdle(peer)
	if connection != nil {
		err := c.callOn(ctx, silence, connection, peer, method, request, reply)
		if !errors.Is(err, rpc.ErrShutdown) {
			return err
		}
	}
	connection, err := c.connectWithin(ctx, silence, peer)
	if err != nil {
		return errors.Wrapf(err, "connect to %s for %s", peer, method)
	}
	return c.callOn(ctx, silence, connection, peer, method, request, reply)
}

// Connect opens a connection to a peer for later calls, unless there is one.
func (c *Client) Connect(ctx context.Context, peer hickoryid.Endpoint) error {
	connection := c.takeIdle(peer)
	if connection == nil {
		var err error
		if connection, err = c.connect(ctx, peer); err != nil {
			return errors.Wrapf(err, "connect to %s", peer)
		}
	}
	c.releaseConnection(peer, connection)
	return nil
}

// callOn calls a method on a connection and keeps the connection for later calls if it
// still works.
func (c *Client) callOn(ctx context.Context, silence time.Duration, connection *connection, peer hickoryid.Endpoint, method string, request, reply any) error {
	if silence > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		limit := hickorysilence.Start(0, silence, cancel)
		defer limit.Stop()
		connection.stream.setProgress(limit.Progress)
		defer connection.stream.setProgress(nil)
	}
	call := connection.Go(method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		_ = connection.Close()
		<-call.Done
		return errors.Wrapf(ctx.Err(), "call %s of %s", method, peer)
	}
	var serverError rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &serverError) {
		_ = connection.Close()
		return errors.Wrapf(call.Error, "call %s of %s", method, peer)
	}
	c.releaseConnection(peer, connection)
	return errors.Wrapf(call.Error, "call %s of %s", method, peer)
}

// takeIdle returns the idle connection to a peer, or nil if there is none.
func (c *Client) takeIdle(peer hickoryid.Endpoint) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	connection := c.idle[peer]
	delete(c.idle, peer)
	return connection
}

// connectWithin opens a connection to a peer within a time; 0 stands for no limit besides
// that of connect.
func (c *Client) connectWithin(ctx context.Context, limit time.Duration, peer hickoryid.Endpoint) (*connection, error) {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	return c.connect(ctx, peer)
}

// connect opens a connection to a peer.
func (c *Client) connect(ctx context.Context, peer hickoryid.Endpoint) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", string(peer))
	if err != nil {
		return nil, err
	}
	metered := c.meter.wrap(conn)
	stream := net.Conn(metered)
	if c.compressing {
		if stream, err = compress(stream); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	return &connection{Client: jsonrpc.NewClient(stream), stream: metered}, nil
}

// releaseConnection keeps a connection for later calls, or closes it when the peer has
// an idle connection already, the client is closed or maxIdleConnections are idle.
func (c *Client) releaseConnection(peer hickoryid.Endpoint, connection *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, alreadyIdle := c.idle[peer]; alreadyIdle || c.closed || len(c.idle) >= maxIdleConnections {
		_ = connection.Close()
		return
	}
	c.idle[peer] = connection
}

// Close closes all idle connections. Calls in progress end with a reply or with their
// contexts, and their connections are closed then.
func (c *Client) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for peer, connection := range c.idle {
		_ = connection.Close()
		delete(c.idle, peer)
	}
	return nil
}
