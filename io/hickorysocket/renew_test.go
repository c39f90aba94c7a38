package hickorysocket_test

import (
	"testing"

	"github.com/matryer/is"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorysocket"
)

// TestRenewChangesSourcePort guards against a renewal after which frames are still
// sent from an earlier source port, or answers to the previous port get lost.
func TestRenewChangesSourcePort(t *testing.T) {
	is := is.New(t)
	loopback := hickorymodel.Endpoint{Address: [4]byte{127, 0, 0, 1}}
	socket, err := hickorysocket.Open(loopback)
	is.NoErr(err)
	defer socket.Close()
	peer, err := hickorysocket.Open(loopback)
	is.NoErr(err)
	defer peer.Close()
	arrived := hickoryring.NewFrameRing(8, hickoryring.DropNewest)
	answers := hickoryring.NewFrameRing(8, hickoryring.DropNewest)
	go peer.Receive(t.Context(), arrived)
	seen := map[hickorymodel.Endpoint]bool{}
	for range 4 {
		socket.Send(hickoryring.Frame{Peer: peer.Endpoint(), Bytes: []byte("data")})
		from := (<-arrived.Items()).Peer
		is.True(!seen[from])
		seen[from] = true
		is.NoErr(socket.RenewSourcePort(t.Context(), answers))
		if from != socket.Endpoint() { // nothing receives on the first socket here
			peer.Send(hickoryring.Frame{Peer: from, Bytes: []byte("answer")})
			is.Equal(string((<-answers.Items()).Bytes), "answer")
		}
	}
}
