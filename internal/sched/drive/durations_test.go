// This file defines the tests of estimated run durations.

package drive

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fitOf returns a fit to runs with a median duration of one second. Spread and off are the
// standard deviations of the logarithms of the duration and of its ratio to the declared one.
func fitOf(runs int, spread, off float64) *durationFit {
	random := rand.New(rand.NewPCG(1, 2))
	f := &durationFit{}
	for range runs {
		actual := time.Duration(float64(time.Second) * math.Exp(random.NormFloat64()*spread))
		declared := time.Duration(float64(actual) * math.Exp(random.NormFloat64()*off))
		f.add(declared, actual)
	}
	return f
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(math.Log(got/want)) < 0.15, "got %.2f, want about %.2f", got, want)
}

func TestDurationFit(t *testing.T) {
	cases := []struct {
		name        string
		runs        int
		spread, off float64
		declared    time.Duration
		want        float64
	}{
		{"too few runs", minFitSamples - 1, 0.5, 0.9, 4 * time.Second, 1},
		{"exact declared durations", 2000, 0.5, 0, 4 * time.Second, 1},
		{"uninformative declared durations", 2000, 0.01, 0.9, 4 * time.Second, 0.25},
		{"partly informative declared durations", 2000, 0.5, 0.5, 4 * time.Second, 0.5},
		{"more runs than are counted", 3 * maxFitSamples, 0.5, 0.5, time.Second / 4, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertNear(t, fitOf(c.runs, c.spread, c.off).factor(c.declared), c.want)
		})
	}
	t.Run("equal declared durations", func(t *testing.T) {
		f := &durationFit{}
		for range minFitSamples {
			f.add(time.Second, 3*time.Second)
		}
		assertNear(t, f.factor(time.Second), 3)
	})
	t.Run("no fit", func(t *testing.T) {
		var none *durationFit
		assert.Equal(t, none.factor(time.Second), 1.0)
	})
}

func TestJobDurationsNeedTwoRuns(t *testing.T) {
	o := &jobDurations{}
	o.add(time.Second, 2*time.Second)
	_, known := o.factor()
	assert.Assert(t, !known)
	o.add(time.Second, 8*time.Second)
	factor, known := o.factor()
	assert.Assert(t, known)
	assertNear(t, factor, 4)
}
