package hickoryfabric

import (
	"github.com/pkg/errors"

	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
)

// errInvalidFrame is returned for bytes that are not a frame of this version.
var errInvalidFrame = errors.New("invalid frame")

// decodedFrame holds the fields of one datagram between a balancer and an agent.
// Fields that do not belong to the kind in the header are left from earlier frames.
type decodedFrame struct {
	header    hickoryframe.Header
	notice    hickoryframe.Notice
	query     hickoryframe.Query
	flows     []hickoryframe.Notice
	answers   []hickoryframe.Answer
	report    hickoryframe.Report
	addresses []hickoryframe.Address
	// payload is the packet of kinds that carry one; it shares the datagram's bytes.
	payload []byte
}

// decodeFrame parses a datagram into frame, whose slices are reused. The packet in
// a frame is not parsed.
func decodeFrame(data []byte, frame *decodedFrame) error {
	if !frame.header.Get(data) || frame.header.Version != hickorysteering.FrameVersion {
		return errors.Wrapf(errInvalidFrame, "%d bytes without a header of this version", len(data))
	}
	frameBody := data[hickoryframe.HeaderSize:]
	switch hickorysteering.Kind(frame.header.Kind) {
	case hickorysteering.KindNotice:
		if !frame.notice.Get(frameBody) {
			return errors.Wrap(errInvalidFrame, "notice too short")
		}
	case hickorysteering.KindQuery:
		return decodeQuery(frameBody, frame)
	case hickorysteering.KindAnswers:
		return decodeAnswers(frameBody, frame)
	case hickorysteering.KindReport:
		return decodeReport(frameBody, frame)
	default:
		frame.payload = frameBody
	}
	return nil
}

func decodeQuery(data []byte, frame *decodedFrame) error {
	if !frame.query.Get(data) {
		return errors.Wrap(errInvalidFrame, "query too short")
	}
	data = data[hickoryframe.QuerySize:]
	if len(data)%hickoryframe.NoticeSize != 0 {
		return errors.Wrap(errInvalidFrame, "query ends within a flow")
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
		return errors.Wrap(errInvalidFrame, "answers end within an entry")
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
		return errors.Wrap(errInvalidFrame, "report too short")
	}
	data = data[hickoryframe.ReportSize:]
	if len(data) != int(frame.report.Addresses)*hickoryframe.AddressSize {
		return errors.Wrap(errInvalidFrame, "length of the report does not match its number of addresses")
	}
	frame.addresses = frame.addresses[:0]
	for ; len(data) > 0; data = data[hickoryframe.AddressSize:] {
		var address hickoryframe.Address
		address.Get(data)
		frame.addresses = append(frame.addresses, address)
	}
	return nil
}

// encodeFrame returns the datagram that carries out an action.
func encodeFrame(action *hickorysteering.Action) []byte {
	data := make([]byte, hickoryframe.HeaderSize+frameSize(action))
	action.Header.Put(data)
	frameBody := data[hickoryframe.HeaderSize:]
	switch action.Verb {
	case hickorysteering.VerbNotice:
		notice := hickorysteering.NoticeOf(action.Flow)
		notice.Put(frameBody)
	case hickorysteering.VerbQuery:
		action.Query.Put(frameBody)
		for i := range action.Flows {
			action.Flows[i].Put(frameBody[hickoryframe.QuerySize+i*hickoryframe.NoticeSize:])
		}
	case hickorysteering.VerbAnswers:
		for i := range action.Answers {
			action.Answers[i].Put(frameBody[i*hickoryframe.AnswerSize:])
		}
	case hickorysteering.VerbReport:
		action.Report.Put(frameBody)
		for i := range action.Addresses {
			action.Addresses[i].Put(frameBody[hickoryframe.ReportSize+i*hickoryframe.AddressSize:])
		}
	default:
		copy(frameBody, action.Payload)
	}
	return data
}

// frameSize returns the number of bytes after the header.
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
