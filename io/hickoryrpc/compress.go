package hickoryrpc

import (
	"bufio"
	"compress/flate"
	"io"
	"net"
)

// plainStart is the first byte of a stream that is not compressed: that of a JSON
// object. A compressed stream starts with a block that is not the last one, whose
// lowest bit is 0.
const plainStart = '{'

// bufferedConn is a connection from which some bytes have been read in advance.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads the bytes that were read in advance, and then from the connection.
func (c *bufferedConn) Read(data []byte) (int, error) {
	return c.reader.Read(data)
}

// detect returns conn with its data decompressed if the other end compresses them, and
// compresses the data written to conn then. It waits for the first byte.
func detect(conn net.Conn) (net.Conn, error) {
	buffered := &bufferedConn{Conn: conn, reader: bufio.NewReader(conn)}
	first, err := buffered.reader.Peek(1)
	if err != nil {
		return nil, err
	}
	if first[0] == plainStart {
		return buffered, nil
	}
	return compress(buffered)
}

// compressionLevel is the fastest level. Higher levels take more than twice the
// memory for each connection, and most messages repeat the one before them, so the
// fastest level is enough.
const compressionLevel = flate.BestSpeed

// compressedConn compresses both directions of a connection with DEFLATE. The
// dictionary is kept for as long as the connection is open, so a message that
// resembles earlier ones takes few bytes.
type compressedConn struct {
	net.Conn
	reader io.Reader
	writer *flate.Writer
}

// compress returns conn with both directions compressed.
func compress(conn net.Conn) (net.Conn, error) {
	writer, err := flate.NewWriter(conn, compressionLevel)
	if err != nil {
		return nil, err
	}
	return &compressedConn{Conn: conn, reader: flate.NewReader(conn), writer: writer}, nil
}

// Read returns decompressed data that the other end has flushed.
func (c *compressedConn) Read(data []byte) (int, error) {
	return c.reader.Read(data)
}

// Write compresses and flushes the data at once, since the codecs write one message
// with each call.
func (c *compressedConn) Write(data []byte) (int, error) {
	n, err := c.writer.Write(data)
	if err != nil {
		return n, err
	}
	return n, c.writer.Flush()
}
