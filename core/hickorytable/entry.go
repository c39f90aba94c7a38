package hickorytable

import (
	"strings"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// entry is the part of a table that belongs to one service.
type entry struct {
	// scores and memberCandidates hold the parts of each member that lookups read.
	// They are stored apart from the rest of the members, so that they take few
	// cache lines.
	scores           []uint64
	memberCandidates []hickorymodel.Candidate
	// accepting is the number of members that accept new flows.
	accepting int
	// number and generation are copies of those of the service, close to the other
	// fields that lookups read.
	number     hickoryid.ServiceNumber
	generation hickorymodel.Generation
	// lists holds the list of each bucket; it is nil for a service of at most
	// maxRankedMembers members.
	lists []storedList
	// transitionEnd is the time until which the owner of a flow may have been
	// chosen with an older table.
	transitionEnd hickorymodel.Instant
	service       hickorymodel.Service
	// members are the upstreams that may appear in candidate lists: those of the
	// service that are not excluded, and retired ones. They are sorted by id and
	// endpoint.
	members []member
}

// member is an upstream that may appear in the candidate lists of a service.
type member struct {
	upstream hickorymodel.Upstream
	// score is the hash of the upstream's id.
	score uint64
	// stoppedAcceptingAt is the time of the first table in which the upstream did
	// not accept new flows; it is 0 while it accepts them.
	stoppedAcceptingAt hickorymodel.Instant
	// retired is true for an upstream that the section no longer names.
	retired bool
	// retireEnd is the time at which a retired member is dropped.
	retireEnd hickorymodel.Instant
}

// candidates fills in the candidate list of a flow with the given hash and returns
// its length.
func (e *entry) candidates(hash uint64, list *hickorymodel.CandidateList) int {
	bucket := hash & bucketMask
	count := e.topMembers(bucket, list)
	if e.accepting < len(e.members) {
		e.prioritizeAccepting(bucket, list[:count])
	}
	return count
}

// topMembers fills in the highest-ranked members, whatever their state, so that a
// member that starts to leave stays in its lists.
func (e *entry) topMembers(bucket uint64, list *hickorymodel.CandidateList) int {
	if e.lists == nil {
		return e.rankMembers(bucket, list)
	}
	for i, index := range &e.lists[bucket] {
		list[i] = e.memberCandidates[index]
	}
	return len(list)
}

// rankMembers ranks all members during the lookup. It inserts each rank into the
// highest six, kept in order, with min and max: they compile to instructions
// without branches, which the processor would mispredict.
func (e *entry) rankMembers(bucket uint64, list *hickorymodel.CandidateList) int {
	score := bucketScore(bucket)
	var a, b, c, d, f, g uint64
	for i, member := range e.scores {
		r := rank(score, member) | uint64(maxRankedMembers-1-i)
		a, r = max(a, r), min(a, r)
		b, r = max(b, r), min(b, r)
		c, r = max(c, r), min(c, r)
		d, r = max(d, r), min(d, r)
		f, r = max(f, r), min(f, r)
		g = max(g, r)
	}
	count := min(len(e.scores), len(list))
	*list = hickorymodel.CandidateList{}
	for i, r := range [hickorymodel.MaxCandidates]uint64{a, b, c, d, f, g} {
		if i < count {
			list[i] = e.memberCandidates[maxRankedMembers-1-r%maxRankedMembers]
		}
	}
	return count
}

func (m *member) candidateState() hickorymodel.CandidateState {
	switch {
	case m.upstream.State == hickorymodel.UpstreamSuspected:
		return hickorymodel.CandidateSuspected
	case m.retired, m.upstream.State == hickorymodel.UpstreamLeaving:
		return hickorymodel.CandidateOwnerOnly
	default:
		return hickorymodel.CandidateAccepting
	}
}

// compare orders members by id and endpoint. The id alone is not unique: it may
// pass to an upstream with another endpoint while the former one still has flows.
func (m *member) compare(other *member) int {
	if order := strings.Compare(string(m.upstream.ID), string(other.upstream.ID)); order != 0 {
		return order
	}
	return m.upstream.Endpoint.Compare(other.upstream.Endpoint)
}
