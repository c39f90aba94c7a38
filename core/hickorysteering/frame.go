package hickorysteering

// FrameVersion is the version of the frame format in schema/frame.json.
const FrameVersion = 1

// Kind is the kind of a frame and determines what follows its header.
type Kind uint8

// Kinds of frames. The values are part of the wire format.
const (
	KindNone Kind = iota
	// KindOpen carries a first packet to an agent.
	KindOpen
	// KindData carries any other packet to an agent.
	KindData
	// KindReturn carries a packet back to the balancer that sent it.
	KindReturn
	// KindNotice names the owner of a flow to a balancer.
	KindNotice
	// KindReport carries load and health of an agent and its upstream to a
	// balancer.
	KindReport
	// KindQuery asks an agent whether its upstream holds the listed flows.
	KindQuery
	// KindHello requests a report from an agent.
	KindHello
	// KindAnswers answers a query.
	KindAnswers
	// KindOpenTerms carries a first packet with its terms to an agent that has
	// FeatureTerms.
	KindOpenTerms
	// KindWorkReport is a report with the work of the upstream, for a balancer that
	// understands it.
	KindWorkReport
	// KindWorkReturn returns a first packet that came with terms, with the work of the
	// upstream.
	KindWorkReturn
	// KindProbe carries a packet of a flow whose owner is searched for to an agent that
	// has FeatureProbe, which passes it on to others and answers like a query.
	KindProbe
)

// Features are the groups of frames that an agent understands besides those of the
// first builds. The values are part of the wire format.
type Features uint16

// Features of agents.
const (
	// FeatureTerms stands for KindOpenTerms.
	FeatureTerms Features = 1 << iota
	// FeatureProbe stands for KindProbe.
	FeatureProbe
	// FeatureLine means that first packets with terms wait at the agent for room.
	FeatureLine
)

// Has reports whether all the given features are present.
func (f Features) Has(features Features) bool {
	return f&features == features
}

// Reason says why a packet was returned, how certain a notice or an answer is, or
// why a packet is sent to an agent. The values are part of the wire format.
type Reason uint8

// Reasons of frames.
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
	// ReasonFull returns a first packet that the upstream has returned, because it
	// accepts no more connections.
	ReasonFull
	// ReasonStopping returns a first packet because the agent is being stopped.
	ReasonStopping
	// ReasonSilent returns a first packet because the upstream does not answer
	// first packets.
	ReasonSilent
	// ReasonAnswered marks a notice: the upstream has answered the first packet,
	// but the flow may still open at another upstream.
	ReasonAnswered
	// ReasonOpen marks a notice or an answer: the upstream holds the open flow.
	ReasonOpen
	// ReasonPresumed marks a notice: the upstream has not returned a packet of the
	// flow. The packet may have been lost, so this does not prove that the upstream
	// holds the flow.
	ReasonPresumed
	// ReasonUnknown answers a query: the agent has not run long enough to have seen
	// all flows of its upstream.
	ReasonUnknown
	// ReasonBusy returns a first packet because the upstream has enough unanswered
	// requests.
	ReasonBusy
	// ReasonOwnerUnknown marks a packet of a search: the balancer has no owner of
	// the flow in its cache and needs a notice.
	ReasonOwnerUnknown
	// ReasonPaced returns a first packet because as many flows have just been opened as
	// the upstream has room for, although their requests have not all arrived.
	ReasonPaced
	// ReasonWork marks a hello: the balancer understands KindWorkReport.
	ReasonWork
	// ReasonLate returns a first packet because the caller will have given up before the
	// upstream could answer.
	ReasonLate
	// ReasonWaiting marks a notice: the first packet waits at the agent.
	ReasonWaiting
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
	ReasonPaced:        "paced",
	ReasonWork:         "work",
	ReasonLate:         "late",
	ReasonWaiting:      "waiting",
}

// String returns the name for logs and metrics.
func (r Reason) String() string {
	if name, ok := reasonNames[r]; ok {
		return name
	}
	return "unknown"
}

// State is the state of an upstream that its agent reports. The values are part of
// the wire format.
type State uint8

// States of upstreams.
const (
	StateNone State = iota
	// StateAccepting means that the upstream takes new flows.
	StateAccepting
	// StateStopping means that the agent is being stopped and refuses new flows.
	StateStopping
	// StateSilent means that the upstream does not answer first packets.
	StateSilent
	// StateFailing means that the upstream fails a share of its requests.
	StateFailing
	// StateProbation means that the upstream has failed requests lately and takes a
	// small share of new flows, StateLateProbation that it takes a larger one.
	StateProbation
	StateLateProbation
)
