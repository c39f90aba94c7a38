package hickoryconfig

import (
	"slices"

	"hickoryworks/core/hickorymodel"
)

func (n *Node) report(report LogEntry) {
	n.actions = append(n.actions, Action{Verb: VerbLog, LogEntry: report})
}

// accept offers a version to the store, reports the outcome and passes an
// accepted version on.
func (n *Node) accept(offer Offer) {
	outcome, found := n.store.Accept(offer)
	switch outcome {
	case OutcomeAccepted:
		n.changed = true
		held, _ := n.store.Held(offer.Team)
		n.urgent = n.urgent || len(held.outOfService()) > 0
		n.report(LogEntry{Kind: LogAccepted, Team: offer.Team, Version: offer.Version})
		n.queuePushes(offer.Team)
	case OutcomeRejected:
		n.report(LogEntry{Kind: LogRejected, Team: offer.Team, Version: offer.Version, Problems: found, Content: offer.Content})
	default:
	}
}

// reportRefused reports each refused claim once.
func (n *Node) reportRefused(refused []Refusal) {
	for _, claim := range refused {
		if !slices.Contains(n.refused, claim) {
			n.report(LogEntry{Kind: LogRefused, Team: claim.Team, Refusal: claim})
		}
	}
	n.refused = refused
}

func (n *Node) reportFreshness(now hickorymodel.Instant) {
	fresh := now.Before(n.FreshUntil(now))
	if fresh == n.fresh {
		return
	}
	n.fresh = fresh
	kind := LogStale
	if fresh {
		kind = LogFresh
	}
	n.report(LogEntry{Kind: kind})
}
