package hickorytable_test

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// hashing is a method to choose a host for a flow. build returns the lookup
// function for hosts with the given scores.
type hashing struct {
	name  string
	build func(scores []uint64) func(hash uint64) int
}

// hashings are the method of this package (rendezvous) and the alternatives of
// section 6 of the design.
var hashings = []hashing{
	{"rendezvous", func(s []uint64) func(uint64) int { return buckets(rendezvous(s, 1<<16, 0)) }},
	{"rendezvous 128 a host", func(s []uint64) func(uint64) int { return buckets(rendezvous(s, doublingBucketCount(len(s)), 0)) }},
	{"capacity 1.00", func(s []uint64) func(uint64) int { return buckets(rendezvous(s, 1<<16, 1.00)) }},
	{"capacity 1.02", func(s []uint64) func(uint64) int { return buckets(rendezvous(s, 1<<16, 1.02)) }},
	{"capacity 1.10", func(s []uint64) func(uint64) int { return buckets(rendezvous(s, 1<<16, 1.10)) }},
	{"maglev", maglev},
	{"jump", jumpHash},
}

func hashPair(a, b uint64) uint64 {
	var data [16]byte
	binary.BigEndian.PutUint64(data[0:], a)
	binary.BigEndian.PutUint64(data[8:], b)
	return xxhash.Sum64(data[:])
}

func buckets(table []uint16) func(uint64) int {
	return func(hash uint64) int { return int(table[hash%uint64(len(table))]) }
}

// doublingBucketCount returns a number of buckets that grows with the hosts.
func doublingBucketCount(hosts int) int {
	return max(256, min(1<<14, 1<<bits.Len(uint(hosts*128-1))))
}

// rendezvous assigns each bucket to its highest-ranked host. With a capacity above
// 0, it skips hosts that already have capacity times the mean number of buckets.
func rendezvous(scores []uint64, count int, capacity float64) []uint16 {
	table := make([]uint16, count)
	bucketCounts := make([]int, len(scores))
	limit := count
	if capacity > 0 {
		limit = int(capacity*float64(count)/float64(len(scores))) + 1
	}
	for bucket := range table {
		best, bestRank := -1, uint64(0)
		for i, score := range scores {
			high, low := bits.Mul64(hashPair(0, uint64(bucket))^score, 0x9e3779b97f4a7c15)
			if rank := high ^ low; bucketCounts[i] < limit && (best < 0 || rank > bestRank) {
				best, bestRank = i, rank
			}
		}
		bucketCounts[best]++
		table[bucket] = uint16(best)
	}
	return table
}

// maglev fills a table of a prime size: the hosts take turns, and each picks the
// next free slot of its own permutation.
func maglev(scores []uint64) func(uint64) int {
	const size = 65537
	table := make([]uint16, size)
	usedSlots := make([]bool, size)
	next := make([]uint64, len(scores))
	for filled := 0; ; {
		for i, score := range scores {
			for {
				slotIndex := (hashPair(1, score) + next[i]*(hashPair(2, score)%(size-1)+1)%size) % size
				next[i]++
				if !usedSlots[slotIndex] {
					usedSlots[slotIndex], table[slotIndex] = true, uint16(i)
					break
				}
			}
			if filled++; filled == size {
				return buckets(table)
			}
		}
	}
}

// jumpHash is jump consistent hashing; the hosts are numbered in the order of the
// list.
func jumpHash(scores []uint64) func(uint64) int {
	return func(hash uint64) int {
		key := hashPair(3, hash)
		b, j := int64(-1), int64(0)
		for j < int64(len(scores)) {
			b = j
			key = key*2862933555777941757 + 1
			j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
		}
		return int(b)
	}
}

const hashingSeeds = 5

// hashingResults holds one value for each seed. BenchmarkHashing reports their
// medians, and the largest imbalance as worst.
type hashingResults struct{ imbalance, loss, arrival []float64 }

// BenchmarkHashing compares the methods by imbalance, by the flows that move when
// a host is removed (loss) or added (arrival) divided by the minimum, and by build
// time and lookup time.
func BenchmarkHashing(b *testing.B) {
	for _, hosts := range []int{3, 7, 40, 500} {
		for _, method := range hashings {
			b.Run(fmt.Sprintf("hosts=%d/%s", hosts, method.name), func(b *testing.B) {
				var results hashingResults
				for seed := range uint64(hashingSeeds) {
					results.measure(method, hosts, seed)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(median(results.imbalance), "imbalance")
				b.ReportMetric(slices.Max(results.imbalance), "worst")
				b.ReportMetric(median(results.loss), "loss")
				b.ReportMetric(median(results.arrival), "arrival")
			})
			b.Run(fmt.Sprintf("hosts=%d/%s/build", hosts, method.name), func(b *testing.B) {
				scores := hostScores(hosts, 0)
				for b.Loop() {
					method.build(scores)
				}
			})
			b.Run(fmt.Sprintf("hosts=%d/%s/lookup", hosts, method.name), func(b *testing.B) {
				lookup := method.build(hostScores(hosts, 0))
				b.ResetTimer()
				for i := range b.N {
					lookup(uint64(i) * lookupStep)
				}
			})
		}
	}
}

func median(values []float64) float64 {
	return slices.Sorted(slices.Values(values))[len(values)/2]
}

func hostScores(hosts int, seed uint64) []uint64 {
	scores := make([]uint64, hosts)
	for i := range scores {
		scores[i] = hashPair(seed, uint64(i))
	}
	return scores
}

// measure adds the values of one seed.
func (results *hashingResults) measure(method hashing, hosts int, seed uint64) {
	scores := hostScores(hosts+1, seed)
	before := method.build(scores[:hosts])
	removedIndex := int(hashPair(seed, 99) % uint64(hosts))
	smaller := slices.Delete(slices.Clone(scores[:hosts]), removedIndex, removedIndex+1)
	after, grown := method.build(smaller), method.build(scores)
	const samples = 1 << 19
	counts := make([]int, hosts)
	moved, removedHostFlows, arrivalMoved, newHostFlows := 0, 0, 0, 0
	for hash := range uint64(samples) {
		host := before(hash)
		counts[host]++
		removedHostFlows += boolToInt(host == removedIndex)
		moved += boolToInt(scores[host] != smaller[after(hash)])
		grownHost := grown(hash)
		newHostFlows += boolToInt(grownHost == hosts)
		arrivalMoved += boolToInt(grownHost != host)
	}
	results.imbalance = append(results.imbalance, float64(slices.Max(counts)*hosts)/samples)
	results.loss = append(results.loss, float64(moved)/float64(removedHostFlows))
	results.arrival = append(results.arrival, float64(arrivalMoved)/float64(newHostFlows))
}

// lookupStep spreads the lookups over the table.
const lookupStep = 0x9e3779b97f4a7c15

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
