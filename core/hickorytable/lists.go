package hickorytable

import "hickoryworks/core/hickorymodel"

// maxRankedMembers is the largest number of members of a service that are ranked
// at each lookup, which takes 226 ns for 16 members and 392 ns for 40. Larger
// services store the lists of all buckets: a lookup takes about 130 ns, and the
// lists 786 KB for each service. The number must be a power of two, because rank
// leaves the bits below it free for an index.
const maxRankedMembers = 16

// storedList is the candidate list of one bucket, as indexes into the members.
type storedList [hickorymodel.MaxCandidates]uint16

// prepareLookup fills in the fields that lookups read.
func (e *entry) prepareLookup(previous *entry) {
	e.number = e.service.Number
	e.generation = e.service.Generation
	e.scores = make([]uint64, len(e.members))
	e.memberCandidates = make([]hickorymodel.Candidate, len(e.members))
	for i := range e.members {
		m := &e.members[i]
		e.scores[i] = m.score
		e.memberCandidates[i] = hickorymodel.Candidate{Endpoint: m.upstream.Endpoint, State: m.candidateState()}
		if e.memberCandidates[i].State == hickorymodel.CandidateAccepting {
			e.accepting++
		}
	}
	if len(e.members) <= maxRankedMembers {
		return
	}
	if previous != nil && previous.lists != nil {
		e.updateLists(previous)
		return
	}
	e.buildLists()
}

// rankAll ranks all members in a bucket.
func (e *entry) rankAll(bucket uint64, top *topList) {
	score := bucketScore(bucket)
	top.reset()
	for i, member := range e.scores {
		r := rank(score, member)
		// This check saves the call for most members of a large service.
		if r >= top.lowest {
			top.add(ranked{index: uint16(i), rank: r})
		}
	}
}

// buildLists fills in the lists of all buckets.
func (e *entry) buildLists() {
	e.lists = make([]storedList, bucketCount)
	var top topList
	for bucket := range e.lists {
		e.rankAll(uint64(bucket), &top)
		e.storeList(bucket, &top)
	}
}

func (e *entry) storeList(bucket int, top *topList) {
	for i := range top.items {
		e.lists[bucket][i] = top.items[i].index
	}
}

// updateLists derives the lists from those of the previous entry. The result
// equals that of buildLists; the cost depends on the number of changed members.
func (e *entry) updateLists(previous *entry) {
	newIndexes, added := e.compareMembers(previous)
	e.lists = make([]storedList, bucketCount)
	var top topList
	for bucket := range e.lists {
		score := bucketScore(uint64(bucket))
		if e.copyList(&previous.lists[bucket], score, newIndexes, &top) {
			for _, index := range added {
				top.add(ranked{index: index, rank: rank(score, e.scores[index])})
			}
		} else {
			e.rankAll(uint64(bucket), &top)
		}
		e.storeList(bucket, &top)
	}
}

// copyList copies the list of a bucket to top. It reports false when a member of
// the list has gone: the next-ranked member, which takes the free entry, is not
// stored in the list.
func (e *entry) copyList(list *storedList, score uint64, newIndexes []int, top *topList) bool {
	top.reset()
	for _, old := range list {
		index := newIndexes[old]
		if index == absent {
			return false
		}
		top.add(ranked{index: uint16(index), rank: rank(score, e.scores[index])})
	}
	return true
}

// absent marks a member of the previous entry that has gone.
const absent = -1

// compareMembers returns the new index of each member of the previous entry, or
// absent, and the indexes of the members that the previous entry did not have. The
// members of both entries are sorted.
func (e *entry) compareMembers(previous *entry) (newIndexes []int, added []uint16) {
	newIndexes = make([]int, len(previous.members))
	next := 0
	for old := range previous.members {
		before := &previous.members[old]
		newIndexes[old] = absent
		for next < len(e.members) && e.members[next].compare(before) < 0 {
			added = append(added, uint16(next))
			next++
		}
		if next < len(e.members) && e.members[next].compare(before) == 0 {
			newIndexes[old] = next
			next++
		}
	}
	for ; next < len(e.members); next++ {
		added = append(added, uint16(next))
	}
	return newIndexes, added
}
