// This file defines the tests of the interference model.

package tails

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	readingInterval = 300 * time.Millisecond
	modelTick       = 20 * time.Millisecond
)

// target is six times the idle tail latency of the simulated tasks.
var target = Target{Image: "standing", Milliseconds: 150}

// simulatedRun simulates a standing run with a periodic baseline and changing colocated
// runs, and passes its readings to a model.
type simulatedRun struct {
	random       *rand.Rand
	trueWeights  map[string]float64
	period       time.Duration
	phase        float64
	now          time.Duration
	smoothedTail float64
	model        *Model
	baseline     Baseline
	colocated    Load
}

// baselineLoad returns the utilization without interference, 0.24 to 0.72.
func (s *simulatedRun) baselineLoad() float64 { return s.baselineLoadAt(s.now) }

func (s *simulatedRun) baselineLoadAt(at time.Duration) float64 {
	return 0.48 + 0.24*math.Sin(2*math.Pi*at.Seconds()/s.period.Seconds()+s.phase)
}

// step advances the time to the next reading and passes it to the model.
func (s *simulatedRun) step() {
	for range readingInterval / modelTick {
		s.now += modelTick
		utilization := s.baselineLoad()
		for im, sh := range s.colocated {
			utilization += s.trueWeights[im] * sh
		}
		decay := math.Exp(-float64(modelTick) / float64(smoothingTime))
		s.smoothedTail = s.smoothedTail*decay + 25/(1-min(utilization, maxUtilization))*(1-decay)
	}
	observed := math.Round(s.smoothedTail * (1 + readingNoise*s.random.NormFloat64()))
	s.model.Observe(&s.baseline, Reading{Target: target, At: s.now, Milliseconds: observed, Colocated: s.colocated})
	s.changeColocated()
}

// changeColocated starts and ends colocated runs at random.
func (s *simulatedRun) changeColocated() {
	next := Load{}
	for _, im := range []string{"harmless", "also harmless", "harmful", "worse"} {
		next[im] = s.colocated[im]
		if s.random.IntN(6) == 0 {
			next[im] = float64(s.random.IntN(3)) * 0.09
		}
	}
	if s.trueWeights != nil {
		s.colocated = next
	}
}

func newSimulatedRun(seed uint64, n int, period time.Duration, model *Model, trueWeights map[string]float64) *simulatedRun {
	return &simulatedRun{
		random: rand.New(rand.NewPCG(seed, uint64(n))), trueWeights: trueWeights, period: period, phase: float64(n),
		model: model, colocated: Load{}, smoothedTail: 25 / (1 - 0.48),
	}
}

// Guards against attributing the periodic variation of baselines to colocated images.
func TestVariationIsNotInterference(t *testing.T) {
	trueWeights := map[string]float64{"harmless": 0.05, "also harmless": 0.15, "harmful": 1, "worse": 2}
	for n := range uint64(20) {
		model := &Model{}
		runs := make([]*simulatedRun, 12)
		for i := range runs {
			runs[i] = newSimulatedRun(n, i, 20*time.Second, model, trueWeights)
		}
		for range 60 {
			for _, r := range runs {
				r.step()
			}
		}
		for im, w := range trueWeights {
			got := model.Weight("standing", im)
			assert.Assert(t, math.Abs(got-w) < 0.1+w/5, "seed %d: weight of %s is %.2f, want %.2f", n, im, got, w)
		}
	}
}

// Guards against placements that have to be stopped two seconds later because the
// baseline was taken as constant or extrapolated linearly.
func TestVariationIsPredicted(t *testing.T) {
	for _, d := range []time.Duration{14 * time.Second, 20 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			model := &Model{}
			runs := make([]*simulatedRun, 40)
			for i := range runs {
				runs[i] = newSimulatedRun(1, i, d, model, nil)
			}
			const ahead = 2 * time.Second
			var deviation, peakDeviation, n float64
			for i := range 100 {
				for _, r := range runs {
					r.step()
					if i < 50 {
						continue
					}
					n++
					deviation += math.Abs(model.Predict(&r.baseline, r.now+ahead) - r.baselineLoadAt(r.now+ahead))
					highest := 0.0
					for d := time.Duration(0); d <= ahead; d += modelTick {
						highest = max(highest, r.baselineLoadAt(r.now+d))
					}
					peakDeviation += math.Abs(model.PredictPeak(&r.baseline, r.now+ahead) - highest)
				}
			}
			frequency := 2 * math.Pi / d.Seconds()
			assert.Assert(t, math.Abs(model.Variation.AngularFrequency()/frequency-1) < 0.15, "frequency is %.3f rad/s, want %.3f", model.Variation.AngularFrequency(), frequency)
			assert.Assert(t, deviation/n < 0.05, "mean error two seconds ahead is %.3f", deviation/n)
			assert.Assert(t, peakDeviation/n < 0.05, "mean error of the peak is %.3f", peakDeviation/n)
		})
	}
}

// Interference that has ended doesn't count any longer, though the smoothed tail latency
// is still high.
func TestSmoothingIsReversed(t *testing.T) {
	m := &Model{minTails: map[string]float64{target.Image: 25 / (1 - minUtilization)}}
	b := &Baseline{Valid: true, At: time.Second, lastTail: 600, image: target.Image}
	decay := math.Exp(-float64(readingInterval) / float64(smoothingTime))
	observed := 600*decay + 50*(1-decay)
	utilization, _ := m.estimateUtilization(b, Reading{Target: target, At: time.Second + readingInterval, Milliseconds: observed})
	assert.Assert(t, observed > 2*target.Milliseconds*0.95, "%v", observed)
	assert.Assert(t, math.Abs(utilization-m.Utilization(target, 50)) < 0.01, "%v", utilization)
}

// After a gap in a run's readings its trend is reset, and the change since the previous
// reading updates no weight.
func TestReadingGapResetsTrend(t *testing.T) {
	m, b := &Model{}, &Baseline{}
	m.Observe(b, Reading{Target: target, At: time.Second, Milliseconds: 60})
	m.Observe(b, Reading{Target: target, At: 1300 * time.Millisecond, Milliseconds: 80})
	assert.Assert(t, b.trend > 0)
	later := 1300*time.Millisecond + maxReadingInterval + time.Millisecond
	assert.Assert(t, !b.Comparable(later))
	m.Observe(b, Reading{Target: target, At: later, Milliseconds: 50, Colocated: Load{"image": 0.2}})
	assert.Equal(t, b.trend, 0.0)
	assert.Equal(t, len(m.weights), 0)
}

// A level estimated with earlier weights is corrected when the weights change.
func TestLevelUsesCurrentWeights(t *testing.T) {
	m, b := &Model{}, &Baseline{}
	colocated := Load{"image": 0.2}
	m.Observe(b, Reading{Target: target, At: time.Second, Milliseconds: 100, Colocated: colocated})
	before := m.Level(b) + m.Interference(target.Image, colocated)
	m.UpdateWeights(target.Image, time.Second, colocated, 0.2, 0.0004)
	assert.Assert(t, m.Weight(target.Image, "image") > priorWeight)
	assert.Assert(t, math.Abs(m.Level(b)+m.Interference(target.Image, colocated)-before) < 1e-9)
}

// The difference of two loads has the images that changed and no others.
func TestLoadSub(t *testing.T) {
	got := Load{"came": 0.2, "stayed": 0.1, "grew": 0.3}.Sub(Load{"went": 0.4, "stayed": 0.1, "grew": 0.25})
	assert.Equal(t, len(got), 3)
	want := Load{"came": 0.2, "went": -0.4, "grew": 0.05}
	for im, w := range want {
		assert.Assert(t, math.Abs(got[im]-w) < 1e-9, "%s: %v", im, got[im])
	}
}

// The variance of a weight without updates grows up to the prior variance.
func TestWeightVarianceGrowsWithAge(t *testing.T) {
	m := &Model{}
	for i := range 50 {
		m.UpdateWeights("standing", time.Duration(i)*readingInterval, Load{"image": 0.2}, 0, 0.0005)
	}
	updated := m.weights[imagePair{"standing", "image"}].variance
	aged := m.currentEstimate("standing", "image", time.Hour).variance
	assert.Assert(t, updated < 0.02, "%v", updated)
	assert.Equal(t, aged, priorWeightVariance)
}

// Guards against attributing the interference of a run that came and went between two
// readings to the image colocated at the second one.
func TestOutlierIsBounded(t *testing.T) {
	m := &Model{}
	for i := range 30 {
		m.UpdateWeights("standing", time.Duration(i)*readingInterval, Load{"image": 0.1}, 0.005-m.Weight("standing", "image")*0.1, 0.0005)
	}
	m.UpdateWeights("standing", 31*readingInterval, Load{"image": 0.1}, 0.5, 0.0005)
	assert.Assert(t, m.Weight("standing", "image") < 0.3, "%v", m.Weight("standing", "image"))
}

// Guards against memory that grows without bound as callers name new images.
func TestEstimatesAreBounded(t *testing.T) {
	m := &Model{}
	for i := range 2 * maxPairs {
		m.UpdateWeights("standing", time.Duration(i), Load{fmt.Sprint(i): 0.1}, 0, 0.0005)
		m.recordMinTail(Target{Image: fmt.Sprint(i)}, 10)
	}
	assert.Assert(t, len(m.weights) <= maxPairs+1, "%d pairs", len(m.weights))
	assert.Assert(t, len(m.minTails) <= maxPairs+1, "%d minimum tails", len(m.minTails))
}
