package hickoryrequest

import "github.com/pkg/errors"

const (
	// PartBytes is the largest body of a part in bytes. It keeps a datagram with its
	// header below 1,500 bytes after base64 encoding.
	PartBytes = 900
	// MaxParts is the largest number of parts. It bounds the memory that one request
	// can occupy.
	MaxParts = 64
)

// Split divides a body into parts of at most PartBytes. An empty body has one empty
// part. It fails if the body needs more than MaxParts.
func Split(body []byte) ([][]byte, error) {
	if len(body) > PartBytes*MaxParts {
		return nil, errors.Errorf("body of %d bytes exceeds the limit of %d bytes", len(body), PartBytes*MaxParts)
	}
	parts := [][]byte{}
	for len(body) > PartBytes {
		parts = append(parts, body[:PartBytes])
		body = body[PartBytes:]
	}
	return append(parts, body), nil
}
