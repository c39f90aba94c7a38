package hickoryconfig

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// MarkRevokeDelay is how long the lists that a reader reads must show an
	// upstream without the state leaving before the reader revokes its mark. It
	// must exceed the difference between the ages of two readers' lists; otherwise
	// a stale list revokes a correct mark.
	MarkRevokeDelay = 30 * time.Second
	// markRetention is how long a revoked mark is kept, so that a lower sequence
	// from a peer that missed the change has no effect.
	markRetention = 10 * time.Minute
	// maxMarks limits the marks in a message; later exchanges carry the rest.
	maxMarks = 128
	// markBytes is the estimated size of a mark in a message.
	markBytes = 70
)

// mark is the state of one upstream that is or was leaving. Its sequence number
// rises with each change.
type mark struct {
	sequence int
	leaving  bool
	// since is when this instance recorded the state.
	since hickorymodel.Instant
	// seenAt is when the instance list, or for an agent a reply of a balancer, last
	// showed the upstream as leaving.
	seenAt hickorymodel.Instant
}

// marks holds the upstreams that the platform lists as leaving. Of two marks of an
// upstream the one with the higher sequence wins, and of equal sequences the one
// with leaving set, so all instances reach the same state in whatever order marks
// arrive.
type marks struct {
	entries map[hickoryid.UpstreamID]mark
	// digest covers the marks with leaving set. Revoked marks are deleted at
	// different times in different instances and would make digests differ.
	digest *Digest
	// unsent has the upstreams whose marks have not been pushed to peers.
	unsent      []hickoryid.UpstreamID
	switchedOff Rule
}

func newMarks(digest *Digest) *marks {
	return &marks{entries: map[hickoryid.UpstreamID]mark{}, digest: digest}
}

// applyList updates the marks from an instance list that was read. It reports
// whether a state changed.
func (m *marks) applyList(now hickorymodel.Instant, listed States) bool {
	changed := false
	for upstream := range listed {
		entry, held := m.entries[upstream]
		if !held || !entry.leaving {
			m.set(upstream, mark{sequence: entry.sequence + 1, leaving: true, since: now})
			changed = true
		}
		entry = m.entries[upstream]
		entry.seenAt = now
		m.entries[upstream] = entry
	}
	for upstream, entry := range m.entries {
		if _, leaving := listed[upstream]; entry.leaving && !leaving && m.revocable(now, entry) {
			m.set(upstream, mark{sequence: entry.sequence + 1, since: now})
			changed = true
		}
	}
	return changed
}

// revocable reports whether a mark that the list no longer shows may be revoked.
func (m *marks) revocable(now hickorymodel.Instant, entry mark) bool {
	if m.switchedOff.has(RuleRevokeMarks) {
		return false
	}
	return m.switchedOff.has(RuleRevokeDelay) || now.Sub(max(entry.since, entry.seenAt)) >= MarkRevokeDelay
}

// merge applies a mark of a peer. It reports whether the mark was newer.
func (m *marks) merge(now hickorymodel.Instant, message hickorymessage.LeavingMark) bool {
	entry, held := m.entries[message.Upstream]
	newer := message.Sequence > entry.sequence ||
		message.Sequence == entry.sequence && message.Leaving && !entry.leaving
	if !newer || !held && !message.Leaving || m.switchedOff.has(RuleMarkRelay) {
		return false
	}
	m.set(message.Upstream, mark{sequence: message.Sequence, leaving: message.Leaving, since: now})
	return true
}

func (m *marks) set(upstream hickoryid.UpstreamID, entry mark) {
	if before := m.entries[upstream]; before.leaving {
		m.digest.toggle(markKey(upstream), hickoryid.SectionVersion(before.sequence))
	}
	if entry.leaving {
		m.digest.toggle(markKey(upstream), hickoryid.SectionVersion(entry.sequence))
	}
	m.entries[upstream] = entry
	if !slices.Contains(m.unsent, upstream) {
		m.unsent = append(m.unsent, upstream)
	}
}

// markKey is the key of a mark in the digest. It differs from the names of teams,
// which contain no slash.
func markKey(upstream hickoryid.UpstreamID) hickoryid.TeamName {
	return hickoryid.TeamName("leaving/" + upstream)
}

// expire deletes marks that were revoked more than markRetention ago.
func (m *marks) expire(now hickorymodel.Instant) {
	for upstream, entry := range m.entries {
		if !entry.leaving && now.Sub(entry.since) > markRetention {
			delete(m.entries, upstream)
		}
	}
}

// states returns the upstreams with a leaving mark.
func (m *marks) states() States {
	states := States{}
	for upstream, entry := range m.entries {
		if entry.leaving {
			states[upstream] = hickorymodel.UpstreamLeaving
		}
	}
	return states
}

// toMessages converts the marks of some upstreams to messages.
func (m *marks) toMessages(upstreams []hickoryid.UpstreamID) []hickorymessage.LeavingMark {
	var messages []hickorymessage.LeavingMark
	for _, upstream := range upstreams {
		if entry, held := m.entries[upstream]; held {
			messages = append(messages, hickorymessage.LeavingMark{
				Upstream: upstream, Sequence: entry.sequence, Leaving: entry.leaving,
			})
		}
	}
	return messages
}

// delta returns the marks in the buckets that differ from a peer's. When there are
// too many for a message, it returns a random choice, so that repeated exchanges
// carry all.
func (m *marks) delta(buckets []string, random *rand.Rand) []hickorymessage.LeavingMark {
	differing := m.digest.differing(buckets)
	var upstreams []hickoryid.UpstreamID
	for upstream := range m.entries {
		if differing[bucketOf(markKey(upstream))] {
			upstreams = append(upstreams, upstream)
		}
	}
	slices.SortFunc(upstreams, func(a, b hickoryid.UpstreamID) int { return strings.Compare(string(a), string(b)) })
	if len(upstreams) > maxMarks {
		random.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
		upstreams = upstreams[:maxMarks]
	}
	return m.toMessages(upstreams)
}

// popUnsent removes up to maxMarks marks from unsent and returns them.
func (m *marks) popUnsent() []hickorymessage.LeavingMark {
	count := min(len(m.unsent), maxMarks)
	messages := m.toMessages(m.unsent[:count])
	m.unsent = slices.Delete(m.unsent, 0, count)
	return messages
}

// mergeFromBalancer applies the marks of one service from the reply of a balancer
// to an agent. A leaving mark that no reply has shown for MarkRevokeDelay is
// deleted: it was revoked and no reply with the revoked mark arrived. It reports
// whether a state changed.
func (m *marks) mergeFromBalancer(now hickorymodel.Instant, messages []hickorymessage.LeavingMark) bool {
	changed := false
	for _, message := range messages {
		changed = m.merge(now, message) || changed
		if entry := m.entries[message.Upstream]; message.Leaving && entry.leaving {
			entry.seenAt = now
			m.entries[message.Upstream] = entry
		}
	}
	for upstream, entry := range m.entries {
		if entry.leaving && now.Sub(entry.seenAt) >= MarkRevokeDelay {
			delete(m.entries, upstream)
			changed = true
		}
	}
	m.unsent = nil
	m.expire(now)
	return changed
}
