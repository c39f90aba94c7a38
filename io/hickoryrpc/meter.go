package hickoryrpc

import (
	"net"
	"sync/atomic"
)

// Meter counts the bytes of control connections, which have a budget of 13 KB/s. It
// is safe for concurrent use.
type Meter struct {
	received atomic.Uint64
	sent     atomic.Uint64
}

// Received returns the number of bytes read so far.
func (m *Meter) Received() uint64 {
	return m.received.Load()
}

// Sent returns the number of bytes written so far.
func (m *Meter) Sent() uint64 {
	return m.sent.Load()
}

// wrap returns conn with its bytes counted by the meter.
func (m *Meter) wrap(conn net.Conn) *meteredConn {
	return &meteredConn{Conn: conn, meter: m}
}

// meteredConn is a connection whose bytes are counted.
type meteredConn struct {
	net.Conn
	meter *Meter
	// progress is called with each read that brings something; nil for none.
	progress atomic.Pointer[func()]
}

// setProgress sets what is called with each read that brings something; nil for nothing.
func (c *meteredConn) setProgress(progress func()) {
	if progress == nil {
		c.progress.Store(nil)
		return
	}
	c.progress.Store(&progress)
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.received.Add(uint64(n))
	if progress := c.progress.Load(); progress != nil && n > 0 {
		(*progress)()
	}
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.sent.Add(uint64(n))
	return n, err
}
