package hickorysteering

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

// Verb is the kind of an action.
type Verb uint8

// Verbs of actions.
const (
	// VerbFrame sends a frame with a packet to a balancer or an agent.
	VerbFrame Verb = iota
	// VerbNotice sends a frame that names the owner of a flow.
	VerbNotice
	// VerbQuery sends a frame that asks an agent whether it owns the listed flows.
	VerbQuery
	// VerbAnswers sends a frame that answers a query.
	VerbAnswers
	// VerbReport sends a frame with the state of the agent.
	VerbReport
	// VerbReset sends a reset to the caller.
	VerbReset
	// VerbDeliver delivers a packet to the upstream.
	VerbDeliver
	// VerbSendToCaller sends a packet of the upstream to the caller.
	VerbSendToCaller
	// VerbProbe sends a frame with a packet of a flow whose owner is searched for.
	VerbProbe
)

// Action is an output of a decision, which the process that uses this package
// carries out. Fields whose comment does not name the verb are unset.
type Action struct {
	Verb   Verb
	Target hickorymodel.Endpoint
	Header hickoryframe.Header
	// Payload is the packet of VerbFrame, VerbProbe, VerbDeliver and VerbSendToCaller.
	Payload []byte
	// Mark is written into the packet of VerbDeliver; the upstream returns it with
	// a packet of a flow that it does not hold.
	Mark uint32
	// Flow belongs to VerbNotice, VerbReset and VerbSendToCaller; its source is the
	// caller.
	Flow hickorymodel.FlowKey
	// Sequence is the sequence number of a reset.
	Sequence uint32
	// Query and Flows belong to VerbQuery, Answers to VerbAnswers.
	Query   hickoryframe.Query
	Flows   []hickoryframe.Notice
	Answers []hickoryframe.Answer
	// Report and Addresses belong to VerbReport.
	Report    hickoryframe.Report
	Addresses []hickoryframe.Address
	// Terms belongs to VerbFrame with KindOpenTerms, Work to KindWorkReturn and
	// KindWorkReport.
	Terms hickoryframe.Terms
	Work  hickoryframe.Work
	// Probe and Targets belong to VerbProbe.
	Probe   hickoryframe.Probe
	Targets []hickoryframe.Target
}

// frameAction returns an action that sends a packet in a frame.
func frameAction(target hickorymodel.Endpoint, kind Kind, reason Reason, payload []byte) Action {
	return Action{
		Verb:    VerbFrame,
		Target:  target,
		Header:  hickoryframe.Header{Version: FrameVersion, Kind: uint8(kind), Reason: uint8(reason)},
		Payload: payload,
	}
}
