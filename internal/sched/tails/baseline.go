// This file defines Baseline and Reading, and how readings update a model.

package tails

import (
	"math"
	"time"
)

const (
	// smoothingTime is the time constant of the exponential smoothing that agents apply
	// to tail latencies.
	smoothingTime = 400 * time.Millisecond
	// readingNoise is the relative standard deviation of a reported tail latency.
	readingNoise = 0.03
	// minDeviation is the smallest standard deviation of an estimated utilization, since
	// tail latencies are reported in whole milliseconds.
	minDeviation = 0.02
	// warmupTime is the time after a run's first reading during which its smoothed tail
	// latency is still too low, since the smoothing starts from zero.
	warmupTime = 1500 * time.Millisecond
	// baselineDrift is the variance of the change of a baseline between two readings
	// that its periodic variation doesn't explain.
	baselineDrift = 0.0006
	// trendGain is the share of a level's correction that is added to the trend, per
	// second.
	trendGain = 0.25
	// maxTrend bounds the trend, in utilization per second. The periodic variation of a
	// standing task changes its utilization by up to 0.11 per second.
	maxTrend = 0.15
	// MinReadingInterval and maxReadingInterval bound the time between two readings that
	// are compared. Closer readings don't show the trend; between readings farther apart
	// the load varies too much.
	MinReadingInterval = 200 * time.Millisecond
	maxReadingInterval = 1500 * time.Millisecond
	// saturatedUtilization is the utilization above which tail latency no longer
	// measures utilization, only that it is high.
	saturatedUtilization = 0.94
	// outlierDeviations bounds a prediction error, in standard deviations. It keeps
	// interference that began and ended between two readings from being attributed to
	// the runs present at the second reading.
	outlierDeviations = 3.0
)

type (
	// Baseline is the estimate of a standing run's utilization without interference.
	// The zero value has no reading yet.
	Baseline struct {
		// Valid reports whether there is a reading that the next one can be compared with.
		Valid bool
		// At is the time of the latest reading.
		At time.Duration

		image string
		// level is the baseline utilization by the weights known at the latest reading;
		// trend is its change per second.
		level, trend float64
		// colocated is the average of the colocated load over the readings, weighted as
		// they are in level: an error in a weight causes an error in level proportional
		// to it. interference is the utilization that colocated adds by the weights known
		// at the latest reading.
		colocated    Load
		interference float64
		lastTail     float64       // tail latency of the latest reading
		firstAt      time.Duration // time of the first reading
		sampledAt    time.Duration // time of sampledLevel
		sampledLevel float64       // level last used as a sample of the variation
	}

	// Reading is the tail latency of a standing run as reported by its agent.
	Reading struct {
		Target Target
		At     time.Duration
		// Milliseconds is the observed tail latency.
		Milliseconds float64
		// Colocated is the average load of colocated opportunistic runs since the previous
		// reading. Uncertain is the part of it that may lie outside that interval.
		Colocated Load
		Uncertain Load
	}
)

// Comparable reports whether a reading taken now can be compared with the latest one.
func (b *Baseline) Comparable(now time.Duration) bool {
	return b.Valid && now-b.At <= maxReadingInterval
}

// warmedUp reports whether the run's smoothed tail latency can be trusted.
func (b *Baseline) warmedUp(now time.Duration) bool {
	return b.Valid && now-b.firstAt > warmupTime
}

// Level returns a run's baseline utilization at its latest reading.
func (m *Model) Level(b *Baseline) float64 {
	return min(max(b.level+b.interference-m.Interference(b.image, b.colocated), 0), maxUtilization)
}

// Predict returns a run's expected baseline utilization at a time after its latest
// reading.
func (m *Model) Predict(b *Baseline, now time.Duration) float64 {
	level, _ := m.Variation.extrapolate(m.Level(b), b.trend, now-b.At)
	return min(max(level, 0), maxUtilization)
}

// PredictPeak returns the highest expected baseline utilization of a run between its
// latest reading and a later time.
func (m *Model) PredictPeak(b *Baseline, until time.Duration) float64 {
	return min(max(m.Variation.peakWithin(m.Level(b), b.trend, until-b.At), 0), maxUtilization)
}

// Observe updates a run's baseline, the weights and the variation from a reading.
func (m *Model) Observe(b *Baseline, r Reading) {
	image := r.Target.Image
	utilization, variance := m.estimateUtilization(b, r)
	if !b.Comparable(r.At) {
		m.resetBaseline(b, r, utilization)
		return
	}
	variance += m.colocatedVariance(r)
	if utilization >= saturatedUtilization && utilization < m.Level(b)+m.Interference(image, r.Colocated) {
		variance = 1 // a saturated tail doesn't contradict a higher estimate
	}
	gain := baselineDrift / (baselineDrift + variance)
	if b.warmedUp(r.At) {
		expected, _ := m.Variation.extrapolate(m.Level(b), b.trend, r.At-b.At)
		residual := utilization - expected - m.Interference(image, r.Colocated)
		m.UpdateWeights(image, r.At, r.Colocated.Sub(b.colocated), residual, variance*(1+gain)+baselineDrift)
	}
	expected, trend := m.Variation.extrapolate(m.Level(b), b.trend, r.At-b.At)
	residual := utilization - expected - m.Interference(image, r.Colocated)
	b.level = min(max(expected+gain*residual, 0), maxUtilization)
	b.trend = min(max(trend+gain*residual*trendGain, -maxTrend), maxTrend)
	b.colocated = b.colocated.blend(r.Colocated, gain)
	b.interference = m.Interference(image, b.colocated)
	b.At, b.lastTail = r.At, r.Milliseconds
	if lag := r.At - b.sampledAt; lag >= sampleInterval {
		m.Variation.addSample(b.sampledLevel, b.level, lag)
		b.sampledAt, b.sampledLevel = r.At, b.level
	}
}

// resetBaseline starts the estimate for a run at its first reading, or again after a gap
// in its readings.
func (m *Model) resetBaseline(b *Baseline, r Reading, utilization float64) {
	first := b.firstAt
	if first == 0 {
		first = r.At
	}
	interference := m.Interference(r.Target.Image, r.Colocated)
	*b = Baseline{
		Valid: true, At: r.At, image: r.Target.Image, level: max(utilization-interference, 0), colocated: r.Colocated, interference: interference,
		lastTail: r.Milliseconds, firstAt: first, sampledAt: r.At,
	}
	b.sampledLevel = b.level
}

// estimateUtilization returns the utilization since the previous reading, and its
// variance. It reverses the smoothing of the tail latency: otherwise interference that
// has ended would still show for a second, and new interference only in part.
func (m *Model) estimateUtilization(b *Baseline, r Reading) (utilization, variance float64) {
	observed := r.Milliseconds
	tail, deviation := observed, readingNoise*observed
	if b.Comparable(r.At) {
		decay := math.Exp(-float64(r.At-b.At) / float64(smoothingTime))
		tail = (observed - decay*b.lastTail) / (1 - decay)
		deviation = readingNoise * math.Hypot(observed, decay*b.lastTail) / (1 - decay)
	}
	if b.warmedUp(r.At) {
		m.recordMinTail(r.Target, observed)
	}
	idle := m.idleTail(r.Target)
	tail = min(max(tail, idle), idle/(1-maxUtilization))
	utilizationDeviation := max(idle*deviation/(tail*tail), minDeviation)
	return m.Utilization(r.Target, tail), utilizationDeviation * utilizationDeviation
}

// colocatedVariance returns the variance of the interference due to the uncertain part
// of the colocated load.
func (m *Model) colocatedVariance(r Reading) float64 {
	sum := 0.0
	for im, sh := range r.Uncertain.sorted() {
		deviation := m.Weight(r.Target.Image, im) * sh
		sum += deviation * deviation
	}
	return sum
}
