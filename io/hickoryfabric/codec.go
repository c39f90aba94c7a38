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
	flows     []hickoryframe.Notice
	answers   []hickoryframe.Answer
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
		return decodeQuery(rest, frame)
	case hickorysteering.KindAnswers:
		return decodeAnswers(rest, frame)
	case hickorysteering.KindReport:
		return decodeReport(rest, frame)
	default:
		frame.payload = rest
	}
	return nil
}

func decodeQuery(data []byte, frame *decodedFrame) error {
	if !frame.query.Get(data) {
		return errors.Wrap(errFrame, "short query")
	}
	data = data[hickoryframe.QuerySize:]
	if len(data)%hickoryframe.NoticeSize != 0 {
		return errors.Wrap(errFrame, "length of a query")
	}
	frame.flows = frame.flows[:0]
	for ; len(data) > 0; data = data[hickoryframe.NoticeSize:] {
		var flow hickoryframe.Notice
		flow.Get(data)
		frame.flows = append(frame.flows, flow)
	}
	return nil
}

func decodeAnswers(data []byte, frame *decodedFrame) error {
	if len(data)%hickoryframe.AnswerSize != 0 {
		return errors.Wrap(errFrame, "length of answers")
	}
	frame.answers = frame.answers[:0]
	for ; len(data) > 0; data = data[hickoryframe.AnswerSize:] {
		var answer hickoryframe.Answer
		answer.Get(data)
		frame.answers = append(frame.answers, answer)
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
	data := make([]byte, hickoryframe.HeaderSize+frameSize(action))
	action.Header.Put(data)
	rest := data[hickoryframe.HeaderSize:]
	switch action.Verb {
	case hickorysteering.VerbNotice:
		notice := hickorysteering.NoticeOf(action.Flow)
		notice.Put(rest)
	case hickorysteering.VerbQuery:
		action.Query.Put(rest)
		for i := range action.Flows {
			action.Flows[i].Put(rest[hickoryframe.QuerySize+i*hickoryframe.NoticeSize:])
		}
	case hickorysteering.VerbAnswers:
		for i := range action.Answers {
			action.Answers[i].Put(rest[i*hickoryframe.AnswerSize:])
		}
	case hickorysteering.VerbReport:
		action.Report.Put(rest)
		for i := range action.Addresses {
			action.Addresses[i].Put(rest[hickoryframe.ReportSize+i*hickoryframe.AddressSize:])
		}
	default:
		copy(rest, action.Payload)
	}
	return data
}

// frameSize returns the number of bytes behind the header.
func frameSize(action *hickorysteering.Action) int {
	switch action.Verb {
	case hickorysteering.VerbNotice:
		return hickoryframe.NoticeSize
	case hickorysteering.VerbQuery:
		return hickoryframe.QuerySize + len(action.Flows)*hickoryframe.NoticeSize
	case hickorysteering.VerbAnswers:
		return len(action.Answers) * hickoryframe.AnswerSize
	case hickorysteering.VerbReport:
		return hickoryframe.ReportSize + len(action.Addresses)*hickoryframe.AddressSize
	default:
		return len(action.Payload)
	}
}
