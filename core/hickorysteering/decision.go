package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// Step names a decision for logs and metrics.
type Step string

// Steps of balancers and agents.
const (
	// StepOpened sends a new flow to an upstream.
	StepOpened Step = "opened"
	// StepRetried sends the first packet of a flow to another upstream.
	StepRetried Step = "retried"
	// StepRefused ends an attempt to open a flow with a reset.
	StepRefused Step = "refused"
	// StepWaited drops a first packet without a reset, because an upstream may
	// accept its next copy.
	StepWaited Step = "waited"
	// StepNoRoute refuses a flow to an address without a route.
	StepNoRoute Step = "noRoute"
	// StepSearched starts a search for the owner of an unknown flow.
	StepSearched Step = "searched"
	// StepFound ends a search: an agent has reported that it owns the flow.
	StepFound Step = "found"
	// StepNotFound ends a search in which no agent has reported to own the flow.
	StepNotFound Step = "notFound"
	// StepLost resets a flow that no upstream holds any more.
	StepLost Step = "lost"
	// StepUnknown drops a packet of an unknown flow when no search can be started,
	// or a frame of an unknown kind.
	StepUnknown Step = "unknown"
	// StepReturned sends a packet back to its balancer.
	StepReturned Step = "returned"
	// StepResumed starts a period without resets after the process was paused.
	StepResumed Step = "resumed"
	// StepAgentSilent records that an agent no longer answers the balancer,
	// StepAgentHeard that it answers again.
	StepAgentSilent Step = "agentSilent"
	StepAgentHeard  Step = "agentHeard"
	// StepUpstreamSilent records that an upstream no longer answers first packets,
	// StepUpstreamHeard that it sends packets again.
	StepUpstreamSilent Step = "upstreamSilent"
	StepUpstreamHeard  Step = "upstreamHeard"
	// StepUpstreamFailing records that an upstream fails requests and gets no new flows,
	// StepUpstreamProbation that it gets some again, StepUpstreamRecovered that it gets
	// its full share.
	StepUpstreamFailing   Step = "upstreamFailing"
	StepUpstreamProbation Step = "upstreamProbation"
	StepUpstreamRecovered Step = "upstreamRecovered"
	// StepProbed sends a probe of a search to an agent, StepProbePassedOn passes one on to
	// further agents, StepProbesAnswered answers some.
	StepProbed         Step = "probed"
	StepProbePassedOn  Step = "probePassedOn"
	StepProbesAnswered Step = "probesAnswered"
	// StepUpstreamCold starts the limit of a cold start because the agent has found
	// that the upstream restarted.
	StepUpstreamCold Step = "upstreamCold"
	// StepServiceSaturated records that nearly all upstreams of a service that were asked
	// are full, StepServiceRelieved that enough of them have room again.
	StepServiceSaturated Step = "serviceSaturated"
	StepServiceRelieved  Step = "serviceRelieved"
	// StepUpstreamSpeed records that the speed of the upstream has changed.
	StepUpstreamSpeed Step = "upstreamSpeed"
	// StepLineEntered makes a first packet wait at the agent, StepLineReleased delivers
	// one that has waited, and StepLineRefused returns one that has waited.
	StepLineEntered  Step = "lineEntered"
	StepLineReleased Step = "lineReleased"
	StepLineRefused  Step = "lineRefused"
)

// Decision is a decision with its inputs, for logs and metrics.
type Decision struct {
	Step Step
	// Flow is unset for decisions about agents.
	Flow hickorymodel.FlowKey
	// Peer is the agent or balancer that the decision is about; it may be unset.
	Peer     hickorymodel.Endpoint
	Upstream hickoryid.UpstreamID
	Reason   Reason
	// Copy is the copy number of the first packet.
	Copy uint32
	// Version is the version of the configuration, Revision the revision of the
	// upstream's entry.
	Version  int
	Revision int
	// Load is the load of the chosen upstream, in requests per slot.
	Load float64
	// Choice is how an upstream was chosen by work; it is zero for other choices.
	Choice WorkChoice
	// Count depends on the step: agents or frames of a search, agents that a probe is
	// passed on to, answers, upstreams tried, failed requests, exclusions of an upstream,
	// unanswered first packets, or first packets that wait at the agent.
	Count int
	// Factor is how many times as long work takes as before.
	Factor float64
	// Waited is how long a first packet has waited at the agent, or a search has taken.
	Waited time.Duration
	// Excluded is the time for which a failing upstream got no new flows.
	Excluded time.Duration
}
