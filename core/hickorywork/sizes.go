package hickorywork

import (
	"math"
	"math/bits"
)

const (
	// sizeClasses is the number of classes of request sizes; each begins at four times
	// the size of the one before, the second at smallestSize bytes.
	sizeClasses  = 8
	smallestSize = 64
	// sizeHalfLife is the number of requests after which one weighs half.
	sizeHalfLife = 256
	// sizeSamples is the number of requests after which the size may count. Single dear
	// requests could make a class seem dear before.
	sizeSamples = 100
	// minGain is the share by which the size must reduce the squared error of the
	// expected work before it counts.
	minGain = 0.1
)

// sizes learns whether the size of a request tells what it costs. Work is measured in
// units of the mean of the request's route, so that what the route tells is not counted
// again.
type sizes struct {
	classes [sizeClasses]distribution
	// weight is that of a request which is added now; see learned.
	weight float64
	// without and with are sums of squared errors, of the route's mean alone and with
	// the mean of the class.
	without float64
	with    float64
	samples float64
}

func sizeClass(size int) int {
	return min((bits.Len(uint(max(size, 0)/smallestSize))+1)/2, sizeClasses-1)
}

// predict reports whether the size has shown to tell what requests cost.
func (s *sizes) predict() bool {
	return s.samples >= sizeSamples && s.with < (1-minGain)*s.without
}

// ratio returns the mean work of a class in units of the route's mean, to which a class
// with few samples is drawn.
func (s *sizes) ratio(class int) float64 {
	d := &s.classes[class]
	prior := routeSamples * s.weight
	return (float64(d.sum) + prior) / (d.weight + prior)
}

// hasShape reports whether there are enough samples of a class to tell how its work
// spreads.
func (s *sizes) hasShape(class int) bool {
	return s.classes[class].weight >= shapeSamples*s.weight
}

// add records the work of a request in units of the route's mean.
func (s *sizes) add(class int, work float64) {
	work = min(work, outlierRatio)
	deviation := work - s.ratio(class)
	decay := math.Exp2(-1.0 / sizeHalfLife)
	s.without = s.without*decay + (work-1)*(work-1)
	s.with = s.with*decay + deviation*deviation
	s.samples = s.samples*decay + 1
	s.weight /= decay
	if s.weight > maxWeight {
		for i := range s.classes {
			s.classes[i].scale(1 / s.weight)
		}
		s.weight = 1
	}
	s.classes[class].add(seconds(work), seconds(work), s.weight)
}
