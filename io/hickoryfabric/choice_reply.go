package hickoryfabric

import (
	"time"

	"hickoryworks/core/hickorychoice"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// What an agent would do with a first packet, by its last figures.
const (
	answerDelivers = "delivers"
	answerWaits    = "waits"
	answerReturns  = "returns"
)

// choiceReply converts an explanation of steering to the answer of a ChoiceRequest.
func choiceReply(explanation *hickorysteering.Explanation) hickorymessage.ChoiceReply {
	reply := hickorymessage.ChoiceReply{
		Version: explanation.Version, Found: explanation.Route != "", Candidates: []hickorymessage.ChoiceCandidate{},
	}
	if !reply.Found {
		return reply
	}
	reply.Route = &explanation.Route
	reply.TargetLatency = hickoryid.NewDuration(explanation.TargetLatency)
	rule := explanation.Rule.String()
	reply.Rule = &rule
	if !explanation.Owner.IsZero() {
		owner := explanation.Owner.ID()
		reply.Owner = &owner
	}
	for i := range explanation.Candidates {
		candidate := choiceCandidate(&explanation.Candidates[i])
		if candidate.Upstream == explanation.Chosen {
			candidate.Chosen = true
			candidate.AgentAnswer = agentAnswer(&explanation.Candidates[i], explanation.MaxWait)
		}
		reply.Candidates = append(reply.Candidates, candidate)
	}
	return reply
}

func choiceCandidate(explained *hickorysteering.ExplainedCandidate) hickorymessage.ChoiceCandidate {
	candidate := hickorymessage.ChoiceCandidate{
		Upstream: explained.Upstream, Agent: explained.Agent.ID(), Zone: explained.Zone, Slots: explained.Slots,
		Load: explained.Load, OpenFlows: explained.Flows,
	}
	if explained.Excluded != hickorysteering.ExclusionNone {
		reason := string(explained.Excluded)
		candidate.PassedOver = &reason
	}
	if !explained.Known {
		return candidate
	}
	figures := &explained.Figures
	candidate.WorkMillis = millis(figures.Remaining)
	candidate.WaitMillis = millis(figures.Wait)
	candidate.AgeMillis = millis(figures.Age)
	candidate.CompletionMillis = millis(explained.Completion)
	if figures.ServiceTime > 0 {
		candidate.ServiceMillis = millis(figures.ServiceTime)
		candidate.Speed = &explained.Speed
	}
	return candidate
}

// agentAnswer returns what the agent of the chosen upstream would do, or nil if it has
// not said enough.
func agentAnswer(explained *hickorysteering.ExplainedCandidate, maxWait time.Duration) *string {
	if !explained.Known {
		return nil
	}
	answer := answerDelivers
	switch wait := explained.Figures.Wait; {
	case maxWait != hickorychoice.NoLimit && wait > maxWait:
		answer = answerReturns
	case wait > 0:
		answer = answerWaits
	}
	return &answer
}

// millis returns a duration in milliseconds for an optional field.
func millis(d time.Duration) *float64 {
	value := milliseconds(d)
	return &value
}
