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

const readingEvery = 300 * time.Millisecond

// swinging plays one standing run whose own load swings, beside opportunistic
// runs that come and go, and learns from what it would tell.
type swinging struct {
	random *rand.Rand
	truth  map[string]float64
	phase  float64
	now    time.Duration
	model  *Model
	tail   Quiet
	beside Load
	misses []float64
}

// own is the logarithm of the tail without others: 12 to 40 ms in 14 s.
func (s *swinging) own() float64 {
	return math.Log(22) + 0.6*math.Sin(2*math.Pi*s.now.Seconds()/14+s.phase)
}

func (s *swinging) step() {
	s.now += readingEvery
	beside := Load{}
	for image := range s.truth {
		beside[image] = s.beside[image]
		if s.random.IntN(4) == 0 {
			beside[image] = float64(s.random.IntN(4)) * 0.09
		}
	}
	told := s.own()
	for image, share := range beside {
		told += s.truth[image] * share
	}
	told = Log(math.Round(math.Exp(told)))
	expected := s.tail.Expect(s.now) + s.model.Added("standing", beside)
	change := beside.After(s.beside)
	if s.tail.Follows(s.now) {
		s.misses = append(s.misses, math.Abs(told-expected))
		s.model.Learn("standing", s.now, change, told-expected)
	}
	s.tail.Note(s.now, told, s.model.Added("standing", beside), s.model.Added("standing", s.beside))
	s.beside = beside
}

// Symptom: images that disturb nobody are kept away and slowed, and harmful ones
// are let in. Sequence: the own load of standing tasks swings by a factor of
// three in seconds while opportunistic runs come and go beside them. Cause: the
// swing was taken for the doing of whatever ran beside.
func TestSwingIsNotTakenForDisturbance(t *testing.T) {
	for seed := range uint64(20) {
		learned := &Model{}
		truth := map[string]float64{"harmless": 0.2, "also harmless": 0.4, "harmful": 3, "worse": 4.5}
		runs := make([]*swinging, 12)
		for i := range runs {
			runs[i] = &swinging{random: rand.New(rand.NewPCG(seed, uint64(i))), truth: truth, phase: float64(i), model: learned, beside: Load{}}
		}
		for range 60 {
			for _, r := range runs {
				r.step()
			}
		}
		for image, want := range truth {
			got := learned.Weight("standing", image)
			assert.Assert(t, math.Abs(got-want) < 0.6, "seed %d: %s is taken for %.2f, and is %.2f", seed, image, got, want)
		}
	}
}

// The quiet tail is followed through its swing: what is expected half a second
// ahead is near what comes.
func TestQuietTailFollowsItsSwing(t *testing.T) {
	s := &swinging{random: rand.New(rand.NewPCG(1, 1)), truth: map[string]float64{}, model: &Model{}, beside: Load{}}
	worst := 0.0
	for i := range 200 {
		s.step()
		ahead := s.tail.Expect(s.now + 500*time.Millisecond)
		s.now += 500 * time.Millisecond
		off := math.Abs(ahead - s.own())
		s.now -= 500 * time.Millisecond
		if i > 10 {
			worst = max(worst, off)
		}
	}
	assert.Assert(t, worst < 0.2, "off by a factor of %.2f", math.Exp(worst))
}

// After a pause in its readings a run's trend is unknown, and nothing is learned
// from what changed meanwhile.
func TestPauseEndsTheTrend(t *testing.T) {
	q := Quiet{}
	q.Note(time.Second, 3, 0, 0)
	q.Note(1300*time.Millisecond, 3.2, 0, 0)
	assert.Assert(t, q.Trend > 0)
	later := 1300*time.Millisecond + maxReadingGap + time.Millisecond
	assert.Assert(t, !q.Follows(later))
	q.Note(later, 2, 0, 0)
	assert.Equal(t, q.Trend, 0.0)
	assert.Equal(t, q.Level, 2.0)
}

// The change of a load names what came, what went and nothing else.
func TestLoadAfterAnother(t *testing.T) {
	got := Load{"came": 0.2, "stayed": 0.1, "grew": 0.3}.After(Load{"went": 0.4, "stayed": 0.1, "grew": 0.25})
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
		p.Learn("standing", time.Duration(i)*readingEvery, Load{"image": 0.2}, 0)
	}
	sure := p.weights[pair{"standing", "image"}].variance
	old := p.aged("standing", "image", time.Hour).variance
	assert.Assert(t, sure < 0.2, "%v", sure)
	assert.Equal(t, old, firstVariance)
}

// Symptom: the leader's memory grows for as long as callers name new images.
func TestPairsAreBounded(t *testing.T) {
	m := &Model{}
	for i := range 2 * maxPairs {
		m.Learn("standing", time.Duration(i), Load{fmt.Sprint(i): 0.1}, 0)
	}
	assert.Assert(t, len(m.weights) <= maxPairs+1, "%d pairs", len(m.weights))
}
