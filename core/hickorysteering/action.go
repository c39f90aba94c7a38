package hickorysteering

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

// Verb says what to do.
type Verb uint8

// Verbs of actions.
const (
	// VerbFrame sends a frame with a packet to another of our processes.
	VerbFrame Verb = iota
	// VerbNotice sends a frame that names the owner of a flow.
	VerbNotice
	// VerbQuery sends a frame that asks who owns flows.
	VerbQuery
	// VerbAnswers sends a frame that answers a query.
	VerbAnswers
	// VerbReport sends a frame with the state of the agent.
	VerbReport
	// VerbReset sends a reset to the caller.
	VerbReset
	// VerbDeliver hands a packet to the upstream.
	VerbDeliver
	// VerbSendToCaller sends a packet of the upstream to the caller.
	VerbSendToCaller
)

// Action is one thing to do. Fields that the verb does not name are unset.
type Action struct {
	Verb   Verb
	Target hickorymodel.Endpoint
	Header hickoryframe.Header
	// Payload is the packet of VerbFrame, VerbDeliver and VerbCaller.
	Payload []byte
	// Mark is written into the packet of VerbDeliver.
	Mark uint32
	// Flow belongs to VerbNotice and VerbReset; its source is the caller.
	Flow hickorymodel.FlowKey
	// Sequence is the position of a reset.
	Sequence uint32
	// Query and Flows belong to VerbQuery, Answers to VerbAnswers.
	Query   hickoryframe.Query
	Flows   []hickoryframe.Notice
	Answers []hickoryframe.Answer
	// Report and Addresses belong to VerbReport.
	Report    hickoryframe.Report
	Addresses []hickoryframe.Address
}

// frame returns an action that sends a packet in a frame.
func frame(target hickorymodel.Endpoint, kind Kind, reason Reason, payload []byte) Action {
	return Action{
		Verb:    VerbFrame,
		Target:  target,
		Header:  hickoryframe.Header{Version: FrameVersion, Kind: uint8(kind), Reason: uint8(reason)},
		Payload: payload,
	}
}
