package hickoryring

import "hickoryworks/core/hickorymodel"

// Frame is one datagram that a socket has received or is to send.
type Frame struct {
	// Peer is the sender of a received frame and the receiver of a frame to send.
	Peer  hickorymodel.Endpoint
	Bytes []byte
}
