package hickorysteering

// FrameVersion is the version of the frames of schema/frame.json.
const FrameVersion = 1

// Kind says what follows the header of a frame.
type Kind uint8

// Kinds of frames. The values are part of the format.
const (
	KindNone Kind = iota
	// KindOpen carries a first packet to an agent.
	KindOpen
	// KindData carries any other packet to an agent.
	KindData
	// KindReturn carries a packet back to the balancer that sent it.
	KindReturn
	// KindNotice tells a balancer which agent owns a flow.
	KindNotice
	// KindReport tells a balancer the state of an upstream.
	KindReport
	// KindQuery asks an agent which flows its upstream holds.
	KindQuery
	// KindHello asks an agent for a report.
	KindHello
	// KindAnswers answers a query.
	KindAnswers
)

// Reason qualifies a frame. The values are part of the format.
type Reason uint8

// Reasons of returns and certainties of notices.
const (
	ReasonNone Reason = iota
	// ReasonNotHeld returns a packet of a flow that the upstream does not hold.
	ReasonNotHeld
	// ReasonEnded returns a packet of a flow that the upstream held and lost.
	ReasonEnded
	// ReasonWrongService returns a first packet for another service.
	ReasonWrongService
	// ReasonCold returns a first packet that exceeds the rate of a cold start.
	ReasonCold
	// ReasonFull returns a first packet that the upstream did not take.
	ReasonFull
	// ReasonStopping returns a first packet to an agent that is being stopped.
	ReasonStopping
	// ReasonSilent returns a first packet for an upstream that does not answer.
	ReasonSilent
	// ReasonAnswered marks a notice: the upstream has answered the first packet.
	ReasonAnswered
	// ReasonOpen marks a notice: the upstream holds the open flow.
	ReasonOpen
	// ReasonPresumed marks a notice: the upstream has not returned a packet of
	// the flow. The packet may have been lost, so this is no proof.
	ReasonPresumed
	// ReasonUnknown answers a query: the agent has not run long enough to know.
	ReasonUnknown
	// ReasonBusy returns a first packet because enough requests wait already.
	ReasonBusy
	// ReasonOwnerUnknown marks a packet whose owner the balancer does not know.
	ReasonOwnerUnknown
)

var reasonNames = map[Reason]string{
	ReasonNone:         "none",
	ReasonNotHeld:      "notHeld",
	ReasonEnded:        "ended",
	ReasonWrongService: "wrongService",
	ReasonCold:         "cold",
	ReasonFull:         "full",
	ReasonStopping:     "stopping",
	ReasonSilent:       "silent",
	ReasonAnswered:     "answered",
	ReasonOpen:         "open",
	ReasonPresumed:     "presumed",
	ReasonUnknown:      "unknown",
	ReasonBusy:         "busy",
	ReasonOwnerUnknown: "sought",
}

// String returns the name for logs and metrics.
func (r Reason) String() string {
	if name, ok := reasonNames[r]; ok {
		return name
	}
	return "unknown"
}

// State is what an agent reports of its upstream. The values are part of the format.
type State uint8

// States of reports.
const (
	StateNone State = iota
	// StateAccepting takes new flows.
	StateAccepting
	// StateStopping belongs to an agent that is being stopped.
	StateStopping
	// StateSilent belongs to an upstream that answers no first packets.
	StateSilent
	// StateFailing belongs to an upstream that fails a share of its requests.
	StateFailing
)
