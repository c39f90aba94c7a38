package hickorytable

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// bucketCount is the number of buckets into which the flows of a service are
	// hashed. It is the same for services of any size: a count that grew with the
	// number of members moved half of all flows each time it doubled.
	bucketCount = 1 << 16
	bucketMask  = bucketCount - 1
	// rankMultiplier is an odd constant with an irregular bit pattern (2^64
	// divided by the golden ratio).
	rankMultiplier = 0x9e3779b97f4a7c15
)

// bucketScore hashes a bucket number.
func bucketScore(bucket uint64) uint64 {
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], bucket)
	return xxhash.Sum64(data[:])
}

// upstreamScore hashes an upstream's id.
func upstreamScore(id hickoryid.UpstreamID) uint64 {
	return xxhash.Sum64String(string(id))
}

// rank returns the rank of a member in a bucket; the highest comes first. It
// depends only on the scores of the bucket and of the member's id, so the order of
// the other members does not change when a member is added, removed or changes its
// state. Both scores are hashes already; one multiplication combines them in a
// third of the time of a further hash. The lowest bits are zero, so that the index
// of a member can be stored there.
func rank(bucket, member uint64) uint64 {
	high, low := bits.Mul64(bucket^member, rankMultiplier)
	return (high ^ low) &^ (maxRankedMembers - 1)
}

// ranked is a member with its rank in one bucket.
type ranked struct {
	index uint16
	rank  uint64
}

// before reports whether r comes before other. Equal ranks are ordered by index,
// which is the order of the ids, so that every process gets the same order.
func (r ranked) before(other ranked) bool {
	if r.rank != other.rank {
		return r.rank > other.rank
	}
	return r.index < other.index
}

// topList holds the highest-ranked members of one bucket in order.
type topList struct {
	items [hickorymodel.MaxCandidates]ranked
	// count is the number of items in use.
	count int
	// lowest is the rank of the last item when the list is full, or 0.
	lowest uint64
}

func (l *topList) reset() {
	l.count = 0
	l.lowest = 0
}

// add inserts an item if its rank is among the highest.
func (l *topList) add(item ranked) {
	if l.count == len(l.items) {
		if !item.before(l.items[l.count-1]) {
			return
		}
		l.count--
	}
	i := l.count
	for ; i > 0 && item.before(l.items[i-1]); i-- {
		l.items[i] = l.items[i-1]
	}
	l.items[i] = item
	l.count++
	if l.count == len(l.items) {
		l.lowest = l.items[l.count-1].rank
	}
}
