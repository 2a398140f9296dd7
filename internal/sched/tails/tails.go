// This file defines Model, Load and Quiet.

// Package tails learns how opportunistic work disturbs standing work: what tail
// latency a standing task has by itself, and what each image that runs beside it
// adds to that.
//
// It is plain arithmetic over readings; time comes in with them. All figures of
// tails are natural logarithms of milliseconds, all loads shares of an agent's
// processors.
package tails

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
	// trendStep is the weight of the newest reading in the trend of a quiet tail;
	// with it about a second of readings decides.
	trendStep = 0.3
	// maxTrend bounds the trend, a second. The swing of a standing task's own load
	// moved the logarithm of its tail by up to 0.5 a second.
	maxTrend = 0.6
	// MinReadingGap and maxReadingGap lie between two readings that are compared.
	// Tails are told in whole milliseconds, so that closer ones tell nothing of
	// the trend; between farther ones the load swings.
	MinReadingGap = 200 * time.Millisecond
	maxReadingGap = 1500 * time.Millisecond
	// maxPairs bounds what is remembered, since images are named by callers; beyond
	// it all is learned anew. Today's deployments have 180 pairs.
	maxPairs = 20000
)

type (
	// pair is a standing image and an opportunistic one beside it.
	pair struct{ standing, beside string }

	// estimate is a learned weight and how far it may be off.
	estimate struct {
		weight, variance float64
		at               time.Duration
	}

	// Model is what is learned: the logarithm of a standing task's tail
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
	Model struct {
		weights map[pair]estimate
	}

	// Load is the share of an agent's processors in use, by image.
	Load map[string]float64

	// Quiet is what is known of a standing run's tail without others' doing. The
	// zero value knows nothing.
	Quiet struct {
		// Known tells that there was a reading, and that what came after it can
		// be compared with it.
		Known bool
		// Level is the quiet tail at the latest reading, Trend its change a second.
		Level, Trend float64
		// At is when the latest reading was taken.
		At time.Duration

		tail float64 // of the reading itself
	}
)

// Weight is what an image that used all of an agent's processors would add to
// the tail of a standing one.
func (m *Model) Weight(standing, beside string) float64 {
	if known, ok := m.weights[pair{standing, beside}]; ok {
		return known.weight
	}
	return firstWeight
}

// Added is what a load adds to the logarithm of a standing task's tail.
func (m *Model) Added(standing string, beside Load) float64 {
	sum := 0.0
	for image, share := range beside {
		sum += m.Weight(standing, image) * share
	}
	return sum
}

// Doubt is how far Added may be off, by the variances of the weights.
func (m *Model) Doubt(standing string, beside Load) float64 {
	sum := 0.0
	for image, share := range beside {
		variance := firstVariance
		if known, ok := m.weights[pair{standing, image}]; ok {
			variance = known.variance
		}
		sum += math.Sqrt(variance) * share
	}
	return sum
}

// Learn takes what the logarithm of a tail is off by, after a change of the load
// beside it.
func (m *Model) Learn(standing string, now time.Duration, change Load, miss float64) {
	if m.weights == nil || len(m.weights) > maxPairs {
		m.weights = map[pair]estimate{}
	}
	noise := readingVariance
	for image, share := range change {
		known := m.aged(standing, image, now)
		noise += known.variance * share * share
		m.weights[pair{standing, image}] = known
	}
	for image, share := range change {
		known := m.weights[pair{standing, image}]
		gain := known.variance * share / noise
		known.weight = min(max(known.weight+gain*miss, 0), maxWeight)
		known.variance *= 1 - gain*share
		m.weights[pair{standing, image}] = known
	}
}

// aged is the estimate of a pair as of now.
func (m *Model) aged(standing, beside string, now time.Duration) estimate {
	known, ok := m.weights[pair{standing, beside}]
	if !ok {
		return estimate{weight: firstWeight, variance: firstVariance, at: now}
	}
	known.variance = min(known.variance+weightDrift*(now-known.at).Seconds(), firstVariance)
	known.at = now
	return known
}

// After is the load that came since an earlier one; less where it went.
func (l Load) After(earlier Load) Load {
	change := Load{}
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

// Expect is the logarithm of the quiet tail at a time after the latest reading.
func (q *Quiet) Expect(now time.Duration) float64 {
	return q.Level + q.Trend*min(now-q.At, maxReadingGap).Seconds()
}

// Follows tells whether a reading can be compared with the one before.
func (q *Quiet) Follows(now time.Duration) bool {
	return q.Known && now-q.At <= maxReadingGap
}

// Note takes a reading: the logarithm of the tail, what is beside adding to it,
// and what that would have added at the reading before.
func (q *Quiet) Note(now time.Duration, tail, added, addedBefore float64) {
	if q.Follows(now) {
		slope := (tail - added - q.tail + addedBefore) / (now - q.At).Seconds()
		q.Trend += (min(max(slope, -maxTrend), maxTrend) - q.Trend) * trendStep
	} else {
		q.Trend = 0
	}
	q.Known, q.Level, q.tail, q.At = true, tail-added, tail, now
}

// Log is the logarithm of a tail; what is told as 0 counts as 1 ms.
func Log(milliseconds float64) float64 {
	return math.Log(max(milliseconds, 1))
}
