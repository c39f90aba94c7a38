package hickoryrequest

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

const (
	// maxLedgerEntries bounds the memory of the ledger. It is not reached at 200
	// requests per second with deadlines of 30 s.
	maxLedgerEntries = 8192
	// ledgerGrace is the time for which an entry is kept after the deadline of its
	// request, so that late datagrams of the request still find the entry.
	ledgerGrace = 30 * time.Second
	// maxTransitTime is the longest time that a datagram is assumed to spend in the
	// network.
	maxTransitTime = 5 * time.Second
	// maxResponseBytes bounds the total size of the responses that are stored so
	// that they can be sent again when a caller repeats its request.
	maxResponseBytes = 16 << 20
)

// stage is the progress of a request at the agent.
type stage uint8

const (
	// stageQueued means that parts are missing or that the request waits for a slot.
	stageQueued stage = iota
	// stageRunning means that the request may have been sent to the upstream.
	stageRunning
	// stageEnded means that the request has an outcome.
	stageEnded
)

// entry is the ledger's record of one request that the agent has received.
type entry struct {
	id    hickorymessage.RequestID
	stage stage
	// outcome, reason and response are set in stageEnded.
	outcome  hickorymessage.Outcome
	reason   string
	response []byte
	// expiresAt is the time after which the entry may be removed.
	expiresAt hickorymodel.Instant
}

// ledger is the table by which the agent recognizes repeated requests. An entry
// stays until no datagram of its request can arrive any more.
type ledger struct {
	// entries has at most maxLedgerEntries entries.
	entries map[hickorymessage.RequestID]*entry
	// order holds the entries by the time they were added, for expiry.
	order []*entry
	// responseBytes is the size of all responses, at most maxResponseBytes.
	responseBytes int
}

func newLedger() *ledger {
	return &ledger{entries: map[hickorymessage.RequestID]*entry{}}
}

func (l *ledger) find(id hickorymessage.RequestID) *entry {
	return l.entries[id]
}

// add records a request, or returns false if the ledger is full. An entry is never
// removed early to make room, since its request could then run twice.
func (l *ledger) add(now, deadline hickorymodel.Instant, id hickorymessage.RequestID) (*entry, bool) {
	if len(l.entries) >= maxLedgerEntries {
		l.expire(now)
	}
	if len(l.entries) >= maxLedgerEntries {
		return nil, false
	}
	e := &entry{id: id, stage: stageQueued, expiresAt: deadline.Add(ledgerGrace)}
	l.entries[id] = e
	l.order = append(l.order, e)
	return e, true
}

// expire removes entries that have expired, except those of running requests.
func (l *ledger) expire(now hickorymodel.Instant) {
	kept := l.order[:0]
	for _, e := range l.order {
		if now.Before(e.expiresAt) || e.stage == stageRunning {
			kept = append(kept, e)
			continue
		}
		l.responseBytes -= len(e.response)
		delete(l.entries, e.id)
	}
	clear(l.order[len(kept):])
	l.order = kept
}

// storeResponse stores a response that can be sent again when the request is
// repeated. If the stored responses exceed maxResponseBytes, it drops the responses
// of the oldest requests and sets the outcome of those requests to unknown.
func (l *ledger) storeResponse(e *entry, body []byte) {
	e.response = append([]byte(nil), body...)
	l.responseBytes += len(e.response)
	for _, old := range l.order {
		if l.responseBytes <= maxResponseBytes {
			return
		}
		if old == e || len(old.response) == 0 {
			continue
		}
		l.responseBytes -= len(old.response)
		old.response = nil
		old.outcome = hickorymessage.OutcomeUnknown
		old.reason = ReasonResponseDropped
	}
}

// end records the outcome of a request.
func (e *entry) end(outcome hickorymessage.Outcome, reason string) {
	e.stage = stageEnded
	e.outcome = outcome
	e.reason = reason
}
