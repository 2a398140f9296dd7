// This file defines the tests of what is learned.

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
	readingEvery = 300 * time.Millisecond
	modelTick    = 20 * time.Millisecond
)

// target is that of the modelled standing tasks: six times their tail without any
// load, as on one of the deployments that were measured.
var target = Target{Image: "standing", Milliseconds: 150}

// swinging plays one standing run whose own load swings, beside opportunistic
// runs that come and go, and learns from what it would tell.
type swinging struct {
	random *rand.Rand
	truth  map[string]float64
	period time.Duration
	phase  float64
	now    time.Duration
	told   float64 // smoothed tail
	model  *Model
	run    Baseline
	beside Load
}

// own is the utilization without others: 0.24 to 0.72.
func (s *swinging) own() float64 { return s.ownAt(s.now) }

func (s *swinging) ownAt(at time.Duration) float64 {
	return 0.48 + 0.24*math.Sin(2*math.Pi*at.Seconds()/s.period.Seconds()+s.phase)
}

// step lets time go by until the next reading, and reads it.
func (s *swinging) step() {
	for range readingEvery / modelTick {
		s.now += modelTick
		busy := s.own()
		for image, share := range s.beside {
			busy += s.truth[image] * share
		}
		kept := math.Exp(-float64(modelTick) / float64(toldOver))
		s.told = s.told*kept + 25/(1-min(busy, maxBusy))*(1-kept)
	}
	told := math.Round(s.told * (1 + toldNoise*s.random.NormFloat64()))
	s.model.Observe(&s.run, Reading{Target: target, At: s.now, Milliseconds: told, Colocated: s.beside})
	s.change()
}

// change has runs come and go beside.
func (s *swinging) change() {
	next := Load{}
	for _, image := range []string{"harmless", "also harmless", "harmful", "worse"} {
		next[image] = s.beside[image]
		if s.random.IntN(6) == 0 {
			next[image] = float64(s.random.IntN(3)) * 0.09
		}
	}
	if s.truth != nil {
		s.beside = next
	}
}

func newSwinging(seed uint64, n int, period time.Duration, learned *Model, truth map[string]float64) *swinging {
	return &swinging{
		random: rand.New(rand.NewPCG(seed, uint64(n))), truth: truth, period: period, phase: float64(n),
		model: learned, beside: Load{}, told: 25 / (1 - 0.48),
	}
}

// Symptom: images that disturb nobody are kept away and slowed, and harmful ones
// are let in. Sequence: the own load of standing tasks swings by a factor of
// three in seconds while opportunistic runs come and go beside them. Cause: the
// swing was taken for the doing of whatever ran beside.
func TestSwingIsNotTakenForDisturbance(t *testing.T) {
	truth := map[string]float64{"harmless": 0.05, "also harmless": 0.15, "harmful": 1, "worse": 2}
	for seed := range uint64(20) {
		learned := &Model{}
		runs := make([]*swinging, 12)
		for i := range runs {
			runs[i] = newSwinging(seed, i, 20*time.Second, learned, truth)
		}
		for range 60 {
			for _, r := range runs {
				r.step()
			}
		}
		for image, want := range truth {
			got := learned.Weight("standing", image)
			assert.Assert(t, math.Abs(got-want) < 0.1+want/5, "seed %d: %s is taken for %.2f, and is %.2f", seed, image, got, want)
		}
	}
}

// Symptom: opportunistic work is let in beside a standing task and has to be
// stopped two seconds later. Cause: its load was looked at as it was, or carried on
// along a straight line, while it swings.
func TestSwingIsForeseen(t *testing.T) {
	for _, period := range []time.Duration{14 * time.Second, 20 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			learned := &Model{}
			runs := make([]*swinging, 40)
			for i := range runs {
				runs[i] = newSwinging(1, i, period, learned, nil)
			}
			const ahead = 2 * time.Second
			var off, offPeak, n float64
			for i := range 100 {
				for _, r := range runs {
					r.step()
					if i < 50 {
						continue
					}
					n++
					off += math.Abs(learned.Predict(&r.run, r.now+ahead) - r.ownAt(r.now+ahead))
					highest := 0.0
					for d := time.Duration(0); d <= ahead; d += modelTick {
						highest = max(highest, r.ownAt(r.now+d))
					}
					offPeak += math.Abs(learned.PredictPeak(&r.run, r.now+ahead) - highest)
				}
			}
			speed := 2 * math.Pi / period.Seconds()
			assert.Assert(t, math.Abs(learned.Variation.AngularFrequency()/speed-1) < 0.15, "%.3f radians a second, not %.3f", learned.Variation.AngularFrequency(), speed)
			assert.Assert(t, off/n < 0.05, "off by %.3f two seconds ahead", off/n)
			assert.Assert(t, offPeak/n < 0.05, "the peak is off by %.3f", offPeak/n)
		})
	}
}

// A disturbance that has ended isn't seen any longer than it lasted, though told
// tails are smoothed and go on to tell of it.
func TestSmoothingIsUndone(t *testing.T) {
	m := &Model{floors: map[string]float64{target.Image: 25 / (1 - leastBusy)}}
	o := &Baseline{Valid: true, At: time.Second, told: 600, image: target.Image}
	kept := math.Exp(-float64(readingEvery) / float64(toldOver))
	told := 600*kept + 50*(1-kept)
	busy, _ := m.read(o, Reading{Target: target, At: time.Second + readingEvery, Milliseconds: told})
	assert.Assert(t, told > 2*target.Milliseconds*0.95, "%v", told)
	assert.Assert(t, math.Abs(busy-m.Utilization(target, 50)) < 0.01, "%v", busy)
}

// After a pause in its readings a run's trend is unknown, and nothing is learned
// from what changed meanwhile.
func TestPauseEndsTheTrend(t *testing.T) {
	m, o := &Model{}, &Baseline{}
	m.Observe(o, Reading{Target: target, At: time.Second, Milliseconds: 60})
	m.Observe(o, Reading{Target: target, At: 1300 * time.Millisecond, Milliseconds: 80})
	assert.Assert(t, o.trend > 0)
	later := 1300*time.Millisecond + maxReadingGap + time.Millisecond
	assert.Assert(t, !o.Comparable(later))
	m.Observe(o, Reading{Target: target, At: later, Milliseconds: 50, Colocated: Load{"image": 0.2}})
	assert.Equal(t, o.trend, 0.0)
	assert.Equal(t, len(m.weights), 0)
}

// What the weights were thought to be when a level was worked out doesn't stay in
// it once they are known better.
func TestLevelFollowsTheWeights(t *testing.T) {
	m, o := &Model{}, &Baseline{}
	beside := Load{"image": 0.2}
	m.Observe(o, Reading{Target: target, At: time.Second, Milliseconds: 100, Colocated: beside})
	before := m.Level(o) + m.Interference(target.Image, beside)
	m.UpdateWeights(target.Image, time.Second, beside, 0.2, 0.0004)
	assert.Assert(t, m.Weight(target.Image, "image") > firstWeight)
	assert.Assert(t, math.Abs(m.Level(o)+m.Interference(target.Image, beside)-before) < 1e-9)
}

// The change of a load names what came, what went and nothing else.
func TestLoadAfterAnother(t *testing.T) {
	got := Load{"came": 0.2, "stayed": 0.1, "grew": 0.3}.Sub(Load{"went": 0.4, "stayed": 0.1, "grew": 0.25})
	assert.Equal(t, len(got), 3)
	want := Load{"came": 0.2, "went": -0.4, "grew": 0.05}
	for image, want := range want {
		assert.Assert(t, math.Abs(got[image]-want) < 1e-9, "%s: %v", image, got[image])
	}
}

// The weight of a pair that hasn't been seen for long may be off again, by no
// more than that of one never seen.
func TestOldWeightsAreLearnedAnew(t *testing.T) {
	p := &Model{}
	for i := range 50 {
		p.UpdateWeights("standing", time.Duration(i)*readingEvery, Load{"image": 0.2}, 0, 0.0005)
	}
	sure := p.weights[pair{"standing", "image"}].variance
	old := p.aged("standing", "image", time.Hour).variance
	assert.Assert(t, sure < 0.02, "%v", sure)
	assert.Equal(t, old, firstVariance)
}

// Symptom: an image that adds nothing is kept away for seconds. Sequence: a run
// that came and went between two readings took a tail up; another one stood beside
// at the second. Cause: the whole of the surprise was laid to that one.
func TestOneSurpriseDecidesNothing(t *testing.T) {
	m := &Model{}
	for i := range 30 {
		m.UpdateWeights("standing", time.Duration(i)*readingEvery, Load{"image": 0.1}, 0.005-m.Weight("standing", "image")*0.1, 0.0005)
	}
	m.UpdateWeights("standing", 31*readingEvery, Load{"image": 0.1}, 0.5, 0.0005)
	assert.Assert(t, m.Weight("standing", "image") < 0.3, "%v", m.Weight("standing", "image"))
}

// Symptom: the leader's memory grows for as long as callers name new images.
func TestPairsAreBounded(t *testing.T) {
	m := &Model{}
	for i := range 2 * maxPairs {
		m.UpdateWeights("standing", time.Duration(i), Load{fmt.Sprint(i): 0.1}, 0, 0.0005)
		m.noteFloor(Target{Image: fmt.Sprint(i)}, 10)
	}
	assert.Assert(t, len(m.weights) <= maxPairs+1, "%d pairs", len(m.weights))
	assert.Assert(t, len(m.floors) <= maxPairs+1, "%d floors", len(m.floors))
}
