package hickorysteering

import (
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
	// StepWaited drops a first packet, because its next copy may be taken.
	StepWaited Step = "waited"
	// StepNoRoute refuses a flow to an address without a route.
	StepNoRoute Step = "noRoute"
	// StepSearched sends a packet of an unknown flow to all that may hold it.
	StepSearched Step = "searched"
	// StepFound ends a search.
	StepFound Step = "found"
	// StepNotFound ends a search that no upstream answered for.
	StepNotFound Step = "notFound"
	// StepLost ends an open flow that its upstream holds no more.
	StepLost Step = "lost"
	// StepUnknown drops a packet for which nothing is known.
	StepUnknown Step = "unknown"
	// StepReturned sends a packet back to its balancer.
	StepReturned Step = "returned"
	// StepResumed begins a time without refusals after a pause of the process.
	StepResumed Step = "resumed"
	// StepAgentSilent and StepAgentHeard change what is believed of an agent.
	StepAgentSilent Step = "agentSilent"
	StepAgentHeard  Step = "agentHeard"
	// StepUpstreamSilent and StepUpstreamHeard change what is believed of an upstream.
	StepUpstreamSilent Step = "upstreamSilent"
	StepUpstreamHeard  Step = "upstreamHeard"
	// StepUpstreamFailing and StepUpstreamRecovered change what an agent believes of
	// the requests of its upstream.
	StepUpstreamFailing   Step = "upstreamFailing"
	StepUpstreamRecovered Step = "upstreamRecovered"
	// StepUpstreamCold starts the limit of a cold start that the agent found itself.
	StepUpstreamCold Step = "upstreamCold"
)

// Decision is one decision with its inputs.
type Decision struct {
	Step Step
	// Flow is unset for decisions about agents.
	Flow hickorymodel.FlowKey
	// Peer is the agent or balancer that the decision is about; it may be unset.
	Peer     hickorymodel.Endpoint
	Upstream hickoryid.UpstreamID
	Reason   Reason
	// Copy counts the copies of the first packet.
	Copy uint32
	// Version is that of the configuration, Revision that of the upstream's entry.
	Version  int
	Revision int
	// Load is the load of the chosen upstream, in requests for each slot.
	Load float64
	// Count is the number of agents asked, or of packets.
	Count int
}
