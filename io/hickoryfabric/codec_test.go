package hickoryfabric

import (
	"testing"

	"github.com/matryer/is"

	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
)

// TestFrameRoundTrip guards against frames whose fields change between encoding and
// decoding, and against a header that is accepted although it is cut off.
func TestFrameRoundTrip(t *testing.T) {
	header := func(kind hickorysteering.Kind) hickoryframe.Header {
		return hickoryframe.Header{Version: hickorysteering.FrameVersion, Kind: uint8(kind), Reason: 3, Service: 77, RampRate: 5, ColdTime: 6, RampTime: 7}
	}
	addresses := []hickoryframe.Address{{IP: [4]byte{198, 51, 100, 1}, Port: 443}, {IP: [4]byte{198, 51, 100, 2}, Port: 80}}
	notice := hickoryframe.Notice{Source: addresses[0], Destination: addresses[1]}
	cases := []struct {
		name   string
		action hickorysteering.Action
	}{
		{"packet", hickorysteering.Action{Verb: hickorysteering.VerbFrame, Header: header(hickorysteering.KindOpen), Payload: []byte("packet")}},
		{"notice", hickorysteering.Action{Verb: hickorysteering.VerbNotice, Header: header(hickorysteering.KindNotice), Flow: hickorysteering.FlowOf(notice)}},
		{"query", hickorysteering.Action{
			Verb: hickorysteering.VerbQuery, Header: header(hickorysteering.KindQuery),
			Query: hickoryframe.Query{IdleTime: 9, Reserved: 10}, Flows: []hickoryframe.Notice{notice, notice},
		}},
		{"answers", hickorysteering.Action{
			Verb: hickorysteering.VerbAnswers, Header: header(hickorysteering.KindAnswers), Answers: []hickoryframe.Answer{{Flow: notice, Reason: 4}},
		}},
		{"report", hickorysteering.Action{
			Verb: hickorysteering.VerbReport, Header: header(hickorysteering.KindReport), Addresses: addresses,
			Report: hickoryframe.Report{State: 1, Addresses: 2, Flows: 8, Busy: 9},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var frame decodedFrame
			data := encodeFrame(&c.action)
			is.NoErr(decodeFrame(data, &frame))
			is.Equal(frame.header, c.action.Header)
			switch c.action.Verb {
			case hickorysteering.VerbNotice:
				is.Equal(frame.notice, notice)
			case hickorysteering.VerbQuery:
				is.Equal(frame.query, c.action.Query)
				is.Equal(frame.flows, c.action.Flows)
			case hickorysteering.VerbAnswers:
				is.Equal(frame.answers, c.action.Answers)
			case hickorysteering.VerbReport:
				is.Equal(frame.report, c.action.Report)
				is.Equal(frame.addresses, addresses)
			default:
				is.Equal(frame.payload, c.action.Payload)
			}
			for cut := range min(len(data), hickoryframe.HeaderSize) {
				is.True(decodeFrame(data[:cut], &frame) != nil)
			}
		})
	}
}

// TestOtherVersionIsRejected guards against frames of another version, whose layout
// may differ, being decoded by the layout of this one.
func TestOtherVersionIsRejected(t *testing.T) {
	is := is.New(t)
	data := make([]byte, hickoryframe.HeaderSize)
	data[0] = hickorysteering.FrameVersion + 1
	var frame decodedFrame
	is.True(decodeFrame(data, &frame) != nil)
}

// FuzzDecodeFrame guards against received bytes that make the decoder panic.
func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte{1, 5, 0, 0})
	report := hickorysteering.Action{Verb: hickorysteering.VerbReport, Header: hickoryframe.Header{Version: 1, Kind: uint8(hickorysteering.KindReport)}}
	f.Add(encodeFrame(&report))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var frame decodedFrame
		_ = decodeFrame(data, &frame)
	})
}
