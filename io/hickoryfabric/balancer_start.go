package hickoryfabric

import (
	"hickoryworks/core/hickorysteering"
	"hickoryworks/io/hickorylog"
	"hickoryworks/schema/hickoryevent"
)

// balancerStart logs the last steps of the start of a balancer, each once.
type balancerStart struct {
	agentsLogged, flowLogged bool
}

// recordAgents logs that all listed agents have sent a frame.
func (s *balancerStart) recordAgents(logger *hickorylog.Logger, steering *hickorysteering.Balancer) {
	if s.agentsLogged || !steering.AgentHeardFirst() {
		return
	}
	heard, listed := steering.HeardAgents()
	if listed == 0 || heard < listed {
		return
	}
	s.agentsLogged = true
	logger.LogStartStep(hickoryevent.AgentsHeard, hickorylog.Fields{"agents": listed})
}

// recordFlows logs the first new flow, with the number of agents that had been heard then.
func (s *balancerStart) recordFlows(logger *hickorylog.Logger, steering *hickorysteering.Balancer) {
	if s.flowLogged || steering.OpenedFlows() == 0 {
		return
	}
	s.flowLogged = true
	heard, listed := steering.HeardAgents()
	logger.LogStartStep(hickoryevent.FirstFlowSent, hickorylog.Fields{"agentsHeard": heard, "agents": listed})
}
