package hickorywork

import (
	"math"
	"time"
)

const (
	// shortestWork is the lower end of the first bucket; shorter times count there.
	shortestWork seconds = 64e-6
	// bucketsPerDoubling makes buckets 19% wide, so that a mean from their middles is
	// within a few percent.
	bucketsPerDoubling = 4
	// bucketCount makes the last bucket begin at about a minute, which is longer than
	// agents wait for an answer.
	bucketCount = 80
)

// seconds is a time as a floating-point number, in which distributions calculate.
type seconds float64

func toSeconds(d time.Duration) seconds {
	return seconds(d.Seconds())
}

func (s seconds) duration() time.Duration {
	return time.Duration(s * seconds(time.Second))
}

// bucketBounds has the lower end of each bucket, and the upper end of the last one.
var bucketBounds = func() (bounds [bucketCount + 1]seconds) {
	for i := range bounds {
		bounds[i] = shortestWork * seconds(math.Exp2(float64(i)/bucketsPerDoubling))
	}
	return bounds
}()

// bucketOf returns the bucket of a time of work.
func bucketOf(work seconds) int {
	if work <= shortestWork {
		return 0
	}
	return min(int(math.Log2(float64(work/shortestWork))*bucketsPerDoubling), bucketCount-1)
}

// distribution holds weighted times of work in buckets of equal ratio, so that a change
// of the upstream's speed moves all samples by the same number of buckets.
type distribution struct {
	counts [bucketCount]float64
	// weight is the sum of counts; sum is that of the times, each multiplied by its
	// weight.
	weight float64
	sum    seconds
	// recentWeight and recentSum are those of the samples in the window, which are not
	// in counts yet.
	recentWeight float64
	recentSum    seconds
	// above has the weight of the samples from each bucket on; it is valid unless
	// changed is true.
	above   [bucketCount + 1]float64
	changed bool
}

func (d *distribution) add(work, capped seconds, weight float64) {
	d.counts[bucketOf(work)] += weight
	d.weight += weight
	d.sum += capped * seconds(weight)
	d.changed = true
}

// addRecent adds a sample to those of the window; a negative weight takes it out.
func (d *distribution) addRecent(capped seconds, weight float64) {
	d.recentWeight += weight
	d.recentSum += capped * seconds(weight)
}

// scale multiplies all weights.
func (d *distribution) scale(factor float64) {
	for i := range d.counts {
		d.counts[i] *= factor
	}
	d.weight *= factor
	d.sum *= seconds(factor)
	d.recentWeight *= factor
	d.recentSum *= seconds(factor)
	d.changed = true
}

// shift moves the samples that are not in the window by a number of buckets and
// multiplies their weights by retain.
func (d *distribution) shift(buckets int, retain float64) {
	moved := [bucketCount]float64{}
	for i, count := range d.counts {
		to := max(0, min(i+buckets, bucketCount-1))
		moved[to] += count * retain
	}
	d.counts = moved
	d.weight *= retain
	d.sum *= seconds(retain * math.Exp2(float64(buckets)/bucketsPerDoubling))
	d.changed = true
}

// longer returns the weight of the samples that are longer than work.
func (d *distribution) longer(work seconds) float64 {
	if d.changed {
		d.sumAbove()
	}
	if work <= bucketBounds[0] {
		return d.weight
	}
	bucket := bucketOf(work)
	low, high := bucketBounds[bucket], bucketBounds[bucket+1]
	share := max(0, float64((high-work)/(high-low)))
	return d.above[bucket+1] + d.counts[bucket]*share
}

// rank returns the share of the samples in lower buckets, with half of those in the same
// one.
func (d *distribution) rank(bucket int) float64 {
	if d.changed {
		d.sumAbove()
	}
	return 1 - (d.above[bucket+1]+d.counts[bucket]/2)/d.weight
}

func (d *distribution) sumAbove() {
	for i := bucketCount - 1; i >= 0; i-- {
		d.above[i] = d.above[i+1] + d.counts[i]
	}
	d.changed = false
}

// density returns the share of samples around a bucket, which may be out of range. It
// is never 0, so that a single sample that has not been seen before proves little.
func (d *distribution) density(bucket int) float64 {
	count := func(i int) float64 {
		if i < 0 || i >= bucketCount {
			return 0
		}
		return d.counts[i]
	}
	smooth := (count(bucket-1) + 2*count(bucket) + count(bucket+1)) / 4
	return (smooth + unseenShare*d.weight/bucketCount) / d.weight
}
