package hickoryfabric

import (
	"github.com/pkg/errors"

	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
)

// errFrame stands for bytes that are no frame of our version.
var errFrame = errors.New("no frame of this version")

// decodedFrame is one datagram between a balancer and an agent.
type decodedFrame struct {
	header    hickoryframe.Header
	notice    hickoryframe.Notice
	query     hickoryframe.Query
	report    hickoryframe.Report
	addresses []hickoryframe.Address
	// payload is the packet of frames that carry one.
	payload []byte
}

// decodeFrame reads a frame.
func decodeFrame(data []byte, frame *decodedFrame) error {
	if !frame.header.Get(data) || frame.header.Version != hickorysteering.FrameVersion {
		return errors.Wrapf(errFrame, "%d bytes", len(data))
	}
	rest := data[hickoryframe.HeaderSize:]
	switch hickorysteering.Kind(frame.header.Kind) {
	case hickorysteering.KindNotice:
		if !frame.notice.Get(rest) {
			return errors.Wrap(errFrame, "short notice")
		}
	case hickorysteering.KindQuery:
		if !frame.query.Get(rest) {
			return errors.Wrap(errFrame, "short query")
		}
	case hickorysteering.KindReport:
		return decodeReport(rest, frame)
	default:
		frame.payload = rest
	}
	return nil
}

func decodeReport(data []byte, frame *decodedFrame) error {
	if !frame.report.Get(data) {
		return errors.Wrap(errFrame, "short report")
	}
	data = data[hickoryframe.ReportSize:]
	if len(data) != int(frame.report.Addresses)*hickoryframe.AddressSize {
		return errors.Wrap(errFrame, "length of a report")
	}
	frame.addresses = frame.addresses[:0]
	for ; len(data) > 0; data = data[hickoryframe.AddressSize:] {
		var address hickoryframe.Address
		address.Get(data)
		frame.addresses = append(frame.addresses, address)
	}
	return nil
}

// encodeFrame returns the datagram of an action.
func encodeFrame(action *hickorysteering.Action) []byte {
	data := make([]byte, hickoryframe.HeaderSize, hickoryframe.HeaderSize+frameSize(action))
	action.Header.Put(data)
	switch action.Verb {
	case hickorysteering.VerbNotice:
		data = data[:hickoryframe.HeaderSize+hickoryframe.NoticeSize]
		notice := hickorysteering.NoticeOf(action.Flow)
		notice.Put(data[hickoryframe.HeaderSize:])
	case hickorysteering.VerbQuery:
		data = data[:hickoryframe.HeaderSize+hickoryframe.QuerySize]
		action.Query.Put(data[hickoryframe.HeaderSize:])
	case hickorysteering.VerbReport:
		data = data[:hickoryframe.HeaderSize+frameSize(action)]
		action.Report.Put(data[hickoryframe.HeaderSize:])
		for i := range action.Addresses {
			action.Addresses[i].Put(data[hickoryframe.HeaderSize+hickoryframe.ReportSize+i*hickoryframe.AddressSize:])
		}
	default:
		data = append(data, action.Payload...)
	}
	return data
}

// frameSize returns the number of bytes behind the header.
func frameSize(action *hickorysteering.Action) int {
	switch action.Verb {
	case hickorysteering.VerbNotice:
		return hickoryframe.NoticeSize
	case hickorysteering.VerbQuery:
		return hickoryframe.QuerySize
	case hickorysteering.VerbReport:
		return hickoryframe.ReportSize + len(action.Addresses)*hickoryframe.AddressSize
	default:
		return len(action.Payload)
	}
}
