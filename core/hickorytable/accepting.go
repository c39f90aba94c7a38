package hickorytable

import "hickoryworks/core/hickorymodel"

// minAccepting is the minimum number of members in a list that accept new flows, if
// the service has that many. The rest of the list may be members that do not.
const minAccepting = 3

// prioritizeAccepting moves the candidates that accept new flows before the
// others. If they are fewer than minAccepting, accepting members from outside the
// list replace some of the others.
func (e *entry) prioritizeAccepting(bucket uint64, list []hickorymodel.Candidate) {
	accepting := partitionAccepting(list)
	wanted := min(minAccepting, len(list), e.accepting)
	for ; accepting < wanted; accepting++ {
		added := e.bestOutside(bucket, list)
		replacedAt := accepting + e.replaceableIndex(list[accepting:])
		copy(list[accepting+1:replacedAt+1], list[accepting:replacedAt])
		list[accepting] = added
	}
}

// replaceableIndex returns the index of the candidate that stopped accepting
// first, because it has had the most time to register its flows with other agents.
// Of several with the same time it returns the last.
func (e *entry) replaceableIndex(list []hickorymodel.Candidate) int {
	best := 0
	for i := range list {
		if e.stoppedAcceptingAt(list[i].Endpoint) <= e.stoppedAcceptingAt(list[best].Endpoint) {
			best = i
		}
	}
	return best
}

func (e *entry) stoppedAcceptingAt(endpoint hickorymodel.Endpoint) hickorymodel.Instant {
	for i := range e.members {
		if e.members[i].upstream.Endpoint == endpoint {
			return e.members[i].stoppedAcceptingAt
		}
	}
	return 0
}

// partitionAccepting moves the accepting candidates to the front and returns their
// number. The order within both groups stays.
func partitionAccepting(list []hickorymodel.Candidate) int {
	var others [hickorymodel.MaxCandidates]hickorymodel.Candidate
	accepting, otherCount := 0, 0
	for _, candidate := range list {
		if candidate.State == hickorymodel.CandidateAccepting {
			list[accepting] = candidate
			accepting++
			continue
		}
		others[otherCount] = candidate
		otherCount++
	}
	copy(list[accepting:], others[:otherCount])
	return accepting
}

// bestOutside returns the highest-ranked accepting member that is not in the list.
// It ranks all members, but it is called for few buckets only, in services of which
// many members leave at the same time.
func (e *entry) bestOutside(bucket uint64, list []hickorymodel.Candidate) hickorymodel.Candidate {
	score := bucketScore(bucket)
	best := -1
	var bestRank uint64
	for i := range e.memberCandidates {
		if e.memberCandidates[i].State != hickorymodel.CandidateAccepting || contains(list, e.memberCandidates[i].Endpoint) {
			continue
		}
		if r := rank(score, e.scores[i]); best < 0 || r > bestRank {
			best = i
			bestRank = r
		}
	}
	if best < 0 {
		return hickorymodel.Candidate{}
	}
	return e.memberCandidates[best]
}

func contains(list []hickorymodel.Candidate, endpoint hickorymodel.Endpoint) bool {
	for i := range list {
		if list[i].Endpoint == endpoint {
			return true
		}
	}
	return false
}
