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
	terms     hickoryframe.Terms
	work      hickoryframe.Work
	probe     hickoryframe.Probe
	targets   []hickoryframe.Target
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
	case hickorysteering.KindWorkReport:
		return decodeWorkReport(frameBody, frame)
	case hickorysteering.KindOpenTerms:
		if !frame.terms.Get(frameBody) {
			return errors.Wrap(errInvalidFrame, "terms too short")
		}
		frame.payload = frameBody[hickoryframe.TermsSize:]
	case hickorysteering.KindWorkReturn:
		if !frame.work.Get(frameBody) {
			return errors.Wrap(errInvalidFrame, "work too short")
		}
		frame.payload = frameBody[hickoryframe.WorkSize:]
	case hickorysteering.KindProbe:
		return decodeProbe(frameBody, frame)
	default:
		frame.payload = frameBody
	}
	return nil
}

func decodeWorkReport(data []byte, frame *decodedFrame) error {
	if !frame.work.Get(data) {
		return errors.Wrap(errInvalidFrame, "work too short")
	}
	return decodeReport(data[hickoryframe.WorkSize:], frame)
}

func decodeProbe(data []byte, frame *decodedFrame) error {
	if !frame.probe.Get(data) {
		return errors.Wrap(errInvalidFrame, "probe too short")
	}
	data = data[hickoryframe.ProbeSize:]
	frame.targets = frame.targets[:0]
	for range int(frame.probe.Targets) {
		var target hickoryframe.Target
		if !target.Get(data) {
			return errors.Wrap(errInvalidFrame, "probe ends within its targets")
		}
		frame.targets = append(frame.targets, target)
		data = data[hickoryframe.TargetSize:]
	}
	frame.payload = data
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
		frameBody = putWork(action, frameBody)
		action.Report.Put(frameBody)
		for i := range action.Addresses {
			action.Addresses[i].Put(frameBody[hickoryframe.ReportSize+i*hickoryframe.AddressSize:])
		}
	case hickorysteering.VerbProbe:
		putProbe(action, frameBody)
	default:
		copy(putWork(action, putTerms(action, frameBody)), action.Payload)
	}
	return data
}

// putTerms writes the terms of a first packet and returns the rest of the frame.
func putTerms(action *hickorysteering.Action, frameBody []byte) []byte {
	if hickorysteering.Kind(action.Header.Kind) != hickorysteering.KindOpenTerms {
		return frameBody
	}
	action.Terms.Put(frameBody)
	return frameBody[hickoryframe.TermsSize:]
}

// putWork writes the work of the upstream and returns the rest of the frame.
func putWork(action *hickorysteering.Action, frameBody []byte) []byte {
	if workSize(action) == 0 {
		return frameBody
	}
	action.Work.Put(frameBody)
	return frameBody[hickoryframe.WorkSize:]
}

func putProbe(action *hickorysteering.Action, frameBody []byte) {
	action.Probe.Targets = uint8(len(action.Targets))
	action.Probe.Put(frameBody)
	frameBody = frameBody[hickoryframe.ProbeSize:]
	for i := range action.Targets {
		action.Targets[i].Put(frameBody[i*hickoryframe.TargetSize:])
	}
	copy(frameBody[len(action.Targets)*hickoryframe.TargetSize:], action.Payload)
}

// workSize returns the number of bytes of the work of the upstream.
func workSize(action *hickorysteering.Action) int {
	switch hickorysteering.Kind(action.Header.Kind) {
	case hickorysteering.KindWorkReport, hickorysteering.KindWorkReturn:
		return hickoryframe.WorkSize
	default:
		return 0
	}
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
		return workSize(action) + hickoryframe.ReportSize + len(action.Addresses)*hickoryframe.AddressSize
	case hickorysteering.VerbProbe:
		return hickoryframe.ProbeSize + len(action.Targets)*hickoryframe.TargetSize + len(action.Payload)
	default:
		return termsSize(action) + workSize(action) + len(action.Payload)
	}
}

// termsSize returns the number of bytes of the terms of a first packet.
func termsSize(action *hickorysteering.Action) int {
	if hickorysteering.Kind(action.Header.Kind) == hickorysteering.KindOpenTerms {
		return hickoryframe.TermsSize
	}
	return 0
}
