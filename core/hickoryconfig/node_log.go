package hickoryconfig

import (
	"slices"

	"hickoryworks/core/hickorymodel"
)

func (n *Node) logEntry(logEntry LogEntry) {
	n.actions = append(n.actions, Action{Verb: VerbLog, LogEntry: logEntry})
}

// accept offers a version to the store, logs the outcome and pushes an accepted
// version to peers.
func (n *Node) accept(offer Offer) {
	outcome, found := n.store.Accept(offer)
	switch outcome {
	case OutcomeAccepted:
		n.changed = true
		held, _ := n.store.Held(offer.Team)
		n.urgent = n.urgent || len(held.outOfService()) > 0
		n.logEntry(LogEntry{Kind: LogAccepted, Team: offer.Team, Version: offer.Version})
		n.queuePushes(offer.Team)
	case OutcomeRejected:
		n.logEntry(LogEntry{Kind: LogRejected, Team: offer.Team, Version: offer.Version, Problems: found, Content: offer.Content})
	default:
	}
}

// logRefused logs each refusal once.
func (n *Node) logRefused(refused []Refusal) {
	for _, refusal := range refused {
		if !slices.Contains(n.refused, refusal) {
			n.logEntry(LogEntry{Kind: LogRefused, Team: refusal.Team, Refusal: refusal})
		}
	}
	n.refused = refused
}

func (n *Node) logFreshness(now hickorymodel.Instant) {
	fresh := now.Before(n.FreshUntil(now))
	if fresh == n.fresh {
		return
	}
	n.fresh = fresh
	kind := LogStale
	if fresh {
		kind = LogFresh
	}
	n.logEntry(LogEntry{Kind: kind})
}
