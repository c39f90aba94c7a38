package hickorygeneve_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/schema/hickoryid"
)

// TestHeaderRoundTrip guards against a header field that is lost or changed when a
// packet is encoded and decoded.
func TestHeaderRoundTrip(t *testing.T) {
	codec := hickorygeneve.NewCodec()
	payloads := [][]byte{innerPacket(t, false), innerPacket(t, true)}
	rapid.Check(t, func(t *rapid.T) {
		packet := hickoryflow.Packet{Header: drawHeader(t), Payload: rapid.SampledFrom(payloads).Draw(t, "payload")}
		encoded, err := codec.EncodePacket(&packet)
		if err != nil {
			t.Fatal(err)
		}
		var decoded hickorygeneve.Decoded
		if reason, ok := hickorygeneve.NewCodec().Decode(bytes.Clone(encoded), &decoded); !ok {
			t.Fatalf("dropped: %s", reason)
		}
		if decoded.Packet.Header != packet.Header || !bytes.Equal(decoded.Packet.Payload, packet.Payload) {
			t.Fatalf("got %+v, want %+v", decoded.Packet.Header, packet.Header)
		}
	})
}

func drawHeader(t *rapid.T) hickoryflow.Header {
	const maxServiceNumber = 1<<24 - 1 // the VNI has 24 bits
	used := rapid.IntRange(1, hickorymodel.MaxCandidates).Draw(t, "used")
	header := hickoryflow.Header{
		Service:    hickoryid.ServiceNumber(rapid.IntRange(0, maxServiceNumber).Draw(t, "service")),
		Flags:      hickoryflow.Flags(rapid.Uint8().Draw(t, "flags")),
		Generation: hickorymodel.Generation(rapid.Uint64().Draw(t, "generation")),
		Position:   rapid.IntRange(0, used-1).Draw(t, "position"),
		Hops:       rapid.IntRange(0, 255).Draw(t, "hops"),
		OfferLoad:  int(rapid.Uint32().Draw(t, "load")),
	}
	for i := range used {
		var address [4]byte
		copy(address[:], rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "address"))
		header.Candidates[i] = hickorymodel.Candidate{
			Endpoint: hickorymodel.Endpoint{Address: address, Port: rapid.Uint16Min(1).Draw(t, "port")},
			State:    hickorymodel.CandidateState(rapid.IntRange(1, 3).Draw(t, "state")),
		}
	}
	return header
}
