// This file defines what is learned of how opportunistic work disturbs
// standing work.

package drive

import (
	"math"
	"time"
)

const (
	// firstWeight stands for pairs of images not seen together yet: between
	// the harmless (0.1 to 0.5) and the harmful (2 to 6) ones that were measured,
	// so that a first try is made, but a small one.
	firstWeight = 2.0
	maxWeight   = 20.0
	// firstVariance is that of the measured weights around the first one.
	firstVariance = 4.0
	// weightDrift is how fast the variance of a weight grows while it isn't seen,
	// a second. Measured weights kept within 1 over ten seconds.
	weightDrift = 0.02
	// readingVariance is that of a tail's logarithm around what is expected, once
	// the weights are known: 0.06 to 0.2 was measured as its root.
	readingVariance = 0.01
	// usualQuiet is the part of its target that a standing task's tail is
	// taken for before its first reading.
	usualQuiet = 0.4
	// trendStep is the weight of the newest reading in the trend of a quiet tail;
	// with it about a second of readings decides.
	trendStep = 0.3
	// maxTrend bounds the trend, a second. The swing of a standing task's own load
	// moved the logarithm of its tail by up to 0.5 a second.
	maxTrend = 0.6
	// minReadingGap and maxReadingGap lie between two readings that are compared.
	// Tails are told in whole milliseconds, so that closer ones tell nothing of
	// the trend; between farther ones the load swings.
	minReadingGap = 200 * time.Millisecond
	maxReadingGap = 1500 * time.Millisecond
)

type (
	// pair is a standing image and an opportunistic one beside it.
	pair struct{ standing, beside string }

	// estimate is a learned weight and how far it may be off.
	estimate struct {
		weight, variance float64
		at               time.Duration
	}

	// pressure is the learned model: the logarithm of a standing task's tail
	// is that of its own quiet tail plus, for each opportunistic image beside
	// it, a weight times the share of the agent's processors which that image
	// uses. The zero value knows nothing.
	//
	// Quiet tails swing smoothly with each task's own load, by a factor of three
	// within seconds, while what runs beside changes at once. So the weights are
	// learned from the changes between two readings of a run, less the trend of
	// its quiet tail, over all agents together, each with a variance of its own (a
	// Kalman filter that leaves out how the errors of two weights depend on each
	// other). Learned from the tails themselves, a weight takes up the swing: of
	// images that add nothing, half were taken for harmful.
	pressure struct {
		weights map[pair]estimate
	}

	// load is the share of an agent's processors in use, by image.
	load map[string]float64

	// quietTail is what is known of a standing run's tail without others' doing:
	// its logarithm at the latest reading, and how that changes in a second. The
	// zero value knows nothing.
	quietTail struct {
		known bool
		level float64
		trend float64
		// tail is the logarithm of the reading itself.
		tail float64
		at   time.Duration
	}
)

func (p *pressure) weight(standing, beside string) float64 {
	if known, ok := p.weights[pair{standing, beside}]; ok {
		return known.weight
	}
	return firstWeight
}

// added is what a load adds to the logarithm of a standing task's tail.
func (p *pressure) added(standing string, beside load) float64 {
	sum := 0.0
	for image, share := range beside {
		sum += p.weight(standing, image) * share
	}
	return sum
}

// doubt is how far added may be off, by the variances of the weights.
func (p *pressure) doubt(standing string, beside load) float64 {
	sum := 0.0
	for image, share := range beside {
		variance := firstVariance
		if known, ok := p.weights[pair{standing, image}]; ok {
			variance = known.variance
		}
		sum += math.Sqrt(variance) * share
	}
	return sum
}

// learn takes what the logarithm of a tail is off by, after a change of the load
// beside it.
func (p *pressure) learn(standing string, now time.Duration, change load, miss float64) {
	if p.weights == nil {
		p.weights = map[pair]estimate{}
	}
	noise := readingVariance
	for image, share := range change {
		known := p.aged(standing, image, now)
		noise += known.variance * share * share
		p.weights[pair{standing, image}] = known
	}
	for image, share := range change {
		known := p.weights[pair{standing, image}]
		gain := known.variance * share / noise
		known.weight = min(max(known.weight+gain*miss, 0), maxWeight)
		known.variance *= 1 - gain*share
		p.weights[pair{standing, image}] = known
	}
}

// aged is the estimate of a pair as of now.
func (p *pressure) aged(standing, beside string, now time.Duration) estimate {
	known, ok := p.weights[pair{standing, beside}]
	if !ok {
		return estimate{weight: firstWeight, variance: firstVariance, at: now}
	}
	known.variance = min(known.variance+weightDrift*(now-known.at).Seconds(), firstVariance)
	known.at = now
	return known
}

// after is the load that came since an earlier one; less where it went.
func (l load) after(earlier load) load {
	change := load{}
	for image, share := range l {
		if d := share - earlier[image]; d != 0 {
			change[image] = d
		}
	}
	for image, share := range earlier {
		if _, there := l[image]; !there {
			change[image] = -share
		}
	}
	return change
}

// expect is the logarithm of the quiet tail at a time after the latest reading.
func (q *quietTail) expect(now time.Duration) float64 {
	return q.level + q.trend*min(now-q.at, maxReadingGap).Seconds()
}

// follows tells whether a reading can be compared with the one before.
func (q *quietTail) follows(now time.Duration) bool {
	return q.known && now-q.at <= maxReadingGap
}

// note takes a reading: the logarithm of the tail, what is beside adding to it,
// and what that would have added at the reading before.
func (q *quietTail) note(now time.Duration, tail, added, addedBefore float64) {
	if q.follows(now) {
		slope := (tail - added - q.tail + addedBefore) / (now - q.at).Seconds()
		q.trend += (min(max(slope, -maxTrend), maxTrend) - q.trend) * trendStep
	} else {
		q.trend = 0
	}
	q.known, q.level, q.tail, q.at = true, tail-added, tail, now
}

func logOf(milliseconds float64) float64 {
	return math.Log(max(milliseconds, 1))
}
