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
	// MarkRevokeDelay is how long a reader must see an upstream without the state
	// leaving before it takes a mark back. It must exceed the difference between
	// the ages of two readers' lists, or a stale list cancels a right mark.
	MarkRevokeDelay = 30 * time.Second
	// markRetention is how long a mark that was taken back is kept, so that a
	// lower sequence from a peer that missed the change has no effect.
	markRetention = 10 * time.Minute
	// maxMarks bounds the marks in a message; later exchanges carry the rest.
	maxMarks = 128
	// markBytes is the estimated size of a mark in a message.
	markBytes = 70
)

// mark is what is known of one upstream that is or was leaving.
type mark struct {
	sequence int
	leaving  bool
	// since is when this state became known here.
	since hickorymodel.Instant
	// seenAt is when the list, or for an agent a balancer, last showed leaving.
	seenAt hickorymodel.Instant
}

// marks holds the upstreams that the platform lists as leaving. Of two marks of
// an upstream the one with the higher sequence wins, and of equal sequences the
// one that says leaving, so all instances agree in whatever order marks arrive.
type marks struct {
	entries map[hickoryid.UpstreamID]mark
	// digest covers the marks that say leaving. Marks that were taken back are
	// forgotten at different times and would make digests differ.
	digest *Digest
	// news has the marks that peers have not been told of.
	news    []hickoryid.UpstreamID
	without Rule
}

func newMarks(digest *Digest) *marks {
	return &marks{entries: map[hickoryid.UpstreamID]mark{}, digest: digest}
}

// observe compares the marks with a list that was read. It reports whether a
// state changed.
func (m *marks) observe(now hickorymodel.Instant, listed States) bool {
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
		if _, leaving := listed[upstream]; entry.leaving && !leaving && m.healed(now, entry) {
			m.set(upstream, mark{sequence: entry.sequence + 1, since: now})
			changed = true
		}
	}
	return changed
}

func (m *marks) healed(now hickorymodel.Instant, entry mark) bool {
	if m.without.has(RuleRevokeMarks) {
		return false
	}
	return m.without.has(RuleRevokeDelay) || now.Sub(max(entry.since, entry.seenAt)) >= MarkRevokeDelay
}

// learn takes a mark of a peer. It reports whether the mark is news.
func (m *marks) learn(now hickorymodel.Instant, message hickorymessage.LeavingMark) bool {
	entry, held := m.entries[message.Upstream]
	newer := message.Sequence > entry.sequence ||
		message.Sequence == entry.sequence && message.Leaving && !entry.leaving
	if !newer || !held && !message.Leaving || m.without.has(RuleMarkRelay) {
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
	if !slices.Contains(m.news, upstream) {
		m.news = append(m.news, upstream)
	}
}

// markKey is the name of a mark in the digest. No team name contains a slash.
func markKey(upstream hickoryid.UpstreamID) hickoryid.TeamName {
	return hickoryid.TeamName("leaving/" + upstream)
}

// expire forgets marks that were taken back long ago.
func (m *marks) expire(now hickorymodel.Instant) {
	for upstream, entry := range m.entries {
		if !entry.leaving && now.Sub(entry.since) > markRetention {
			delete(m.entries, upstream)
		}
	}
}

// states returns the states that the marks give to upstreams.
func (m *marks) states() States {
	states := States{}
	for upstream, entry := range m.entries {
		if entry.leaving {
			states[upstream] = hickorymodel.UpstreamLeaving
		}
	}
	return states
}

// of returns the marks of some upstreams in the form of a message.
func (m *marks) of(upstreams []hickoryid.UpstreamID) []hickorymessage.LeavingMark {
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

// delta returns marks in the buckets that differ from a peer's; when there are
// too many for a message, a random choice, so that repeated exchanges carry all.
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
	return m.of(upstreams)
}

// takeNews returns marks that peers have not been told of, and counts them as told.
func (m *marks) takeNews() []hickorymessage.LeavingMark {
	count := min(len(m.news), maxMarks)
	messages := m.of(m.news[:count])
	m.news = slices.Delete(m.news, 0, count)
	return messages
}

// follow takes a balancer's marks of one service. A leaving mark that no
// balancer has shown for HealTime was taken back unseen and is dropped. It
// reports whether a state changed.
func (m *marks) follow(now hickorymodel.Instant, messages []hickorymessage.LeavingMark) bool {
	changed := false
	for _, message := range messages {
		changed = m.learn(now, message) || changed
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
	m.news = nil
	m.expire(now)
	return changed
}
