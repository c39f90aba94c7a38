package hickorywork

import "math"

const (
	// windowSize is the number of the newest samples that are compared with the older
	// ones, to tell a change of the upstream's speed.
	windowSize = 16
	// checkInterval is the number of samples between two comparisons.
	checkInterval = 4
	// rankDeviation is how far the mean rank of the window's samples has to be from the
	// middle before a change is looked for: about three standard deviations.
	rankDeviation = 0.2
	// minEvidence is the logarithm of how much more likely the samples are with the
	// changed speed than without it.
	minEvidence = 8
	// minShift is the smallest change that is told from chance, in buckets: a factor of
	// 1.4. Smaller ones show as the samples of before lose weight.
	minShift = 2
	// maxShift is the largest change, a factor of 64.
	maxShift = 6 * bucketsPerDoubling
	// unseenShare is the share of samples that may lie anywhere.
	unseenShare = 0.02
	// shiftSamples is the weight that the earlier samples keep after a change, in
	// samples: their form still counts, their level soon does not.
	shiftSamples = 32
)

// detectSpeedChange looks for a change of the upstream's speed and applies it to the
// distributions. It returns the factor by which work has become longer, 1 for no change.
func (l *learned) detectSpeedChange() float64 {
	if l.windowed < windowSize || l.next%checkInterval != 0 {
		return 1
	}
	ranks, count := l.ranks()
	if count < windowSize/2 || math.Abs(ranks/float64(count)-0.5) < rankDeviation {
		return 1
	}
	shift := l.likeliestShift()
	if shift == 0 {
		return 1
	}
	l.shift(shift)
	return math.Exp2(float64(shift) / bucketsPerDoubling)
}

// shift moves what was learned by a number of buckets: the distributions, and the
// samples of the window that are likelier without the change.
func (l *learned) shift(buckets int) {
	factor := seconds(math.Exp2(float64(buckets) / bucketsPerDoubling))
	for i := range l.window {
		s := &l.window[i]
		d, ratio, ok := l.form(s.route)
		bucket := bucketOf(s.work / ratio)
		if !ok || d.density(bucket) <= d.density(bucket-buckets) {
			continue
		}
		for _, j := range [...]int{s.route, allRoutes} {
			l.distributions[j].addRecent(s.capped, -s.weight)
			l.distributions[j].addRecent(s.capped*factor, s.weight)
		}
		s.work *= factor
		s.capped *= factor
	}
	retain := min(1, shiftSamples*l.weight/l.distributions[allRoutes].weight)
	for i := range l.distributions {
		l.distributions[i].shift(buckets, retain)
	}
}

// form returns the distribution that a route's samples are compared with, and the factor
// by which its times are to be multiplied, both without the samples of the window. It
// returns false for a route with too few samples: that its requests cost more than those
// of others says nothing about the upstream's speed.
func (l *learned) form(route int) (*distribution, seconds, bool) {
	d, all := &l.distributions[route], &l.distributions[allRoutes]
	switch {
	case d.weight >= shapeSamples*l.weight:
		return d, 1, true
	case d.weight >= minSamples*l.weight && all.weight >= shapeSamples*l.weight:
		return all, d.sum / seconds(d.weight) * seconds(all.weight) / all.sum, true
	default:
		return nil, 1, false
	}
}

// ranks returns the sum of the ranks of the window's samples among the earlier ones, 0
// for the shortest and 1 for the longest, and their number.
func (l *learned) ranks() (sum float64, count int) {
	for i := range l.window {
		s := &l.window[i]
		d, ratio, ok := l.form(s.route)
		if !ok {
			continue
		}
		sum += d.rank(bucketOf(s.work / ratio))
		count++
	}
	return sum, count
}

// likeliestShift returns the number of buckets by which the distributions have to be
// moved so that the window's samples are likeliest; 0 without enough evidence.
func (l *learned) likeliestShift() int {
	best, bestShift := l.likelihood(0)+minEvidence, 0
	for shift := -maxShift; shift <= maxShift; shift++ {
		if shift > -minShift && shift < minShift {
			continue
		}
		if likelihood := l.likelihood(shift); likelihood > best {
			best, bestShift = likelihood, shift
		}
	}
	return bestShift
}

// likelihood returns the logarithm of the likelihood of the window's samples if the
// distributions are moved by a number of buckets.
func (l *learned) likelihood(shift int) float64 {
	sum := 0.0
	for i := range l.window {
		s := &l.window[i]
		if d, ratio, ok := l.form(s.route); ok {
			sum += math.Log(d.density(bucketOf(s.work/ratio) - shift))
		}
	}
	return sum
}
