package hickoryconfig

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryplatform"
)

// rereadDelay is how long the content of a known version may be missing before all
// values are read again.
const rereadDelay = 10 * time.Second

func (n *Node) readState() ReadState {
	return ReadState{
		Rank:   n.list.rank,
		Newest: n.freshness.readAt,
		Reader: n.freshness.reader,
		Self:   n.self.Instance,
	}
}

func (n *Node) read(now hickorymodel.Instant) {
	wait, ok := n.reads.Next(now, n.readState())
	if !ok {
		return
	}
	read := Read{After: n.index, Wait: wait}
	switch {
	case n.store.Complete():
		n.rereadAt = 0
	case n.rereadAt == 0:
		n.rereadAt = now.Add(rereadDelay)
	case now >= n.rereadAt:
		n.rereadAt = now.Add(rereadDelay)
		read = Read{}
	}
	n.actions = append(n.actions, Action{Verb: VerbRead, Read: read})
}

// HandleValues handles an answer of the configuration service. The answer may be
// stale: versions that are not higher change nothing.
func (n *Node) HandleValues(now, startedAt hickorymodel.Instant, values hickoryplatform.Values) []Action {
	n.begin(now)
	for _, value := range values.Values {
		n.accept(NewOffer(value))
	}
	n.index = max(n.index, values.Index)
	n.freshness.RecordRead(startedAt, values.Index)
	n.reads.Done(now, n.readState(), true)
	n.applyUrgent()
	n.actions = append(n.actions, n.puller.nextCalls(now, n.budget)...)
	n.read(now)
	return n.actions
}

// ReadFailed handles a read without an answer.
func (n *Node) ReadFailed(now hickorymodel.Instant) []Action {
	n.begin(now)
	n.reads.Done(now, n.readState(), false)
	if n.list.known && len(n.list.balancers) == 0 {
		// Without peers there is no exchange that could complete after a pause, so
		// the failed read is taken as the confirmation.
		n.freshness.confirm(now)
	}
	return n.actions
}
