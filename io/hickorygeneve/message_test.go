package hickorygeneve_test

import (
	"testing"

	"github.com/matryer/is"

	"hickoryworks/io/hickorygeneve"
	"hickoryworks/schema/hickorymessage"
)

// TestDatagramCarriesOneMessage guards against control datagrams without a message
// that are ignored and not counted as dropped, and against those with two messages of
// which only one is handled.
func TestDatagramCarriesOneMessage(t *testing.T) {
	probe := &hickorymessage.Probe{Observer: "b1", Sequence: 1}
	notice := &hickorymessage.LoadNotice{Service: 7}
	for _, test := range []struct {
		name     string
		datagram hickorymessage.Datagram
		reason   hickorymessage.DropReason
	}{
		{name: "none", reason: hickorymessage.DropReasonMalformed},
		{name: "one", datagram: hickorymessage.Datagram{Probe: probe}},
		{name: "two", datagram: hickorymessage.Datagram{Probe: probe, LoadNotice: notice}, reason: hickorymessage.DropReasonMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			encoded, err := hickorygeneve.NewCodec().EncodeMessage(&test.datagram)
			is.NoErr(err)
			var decoded hickorygeneve.Decoded
			reason, ok := hickorygeneve.NewCodec().Decode(encoded, &decoded)
			is.Equal(reason, test.reason)
			is.Equal(ok, test.reason == "")
		})
	}
}
