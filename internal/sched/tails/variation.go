// This file defines Variation.

package tails

import (
	"math"
	"time"
)

const (
	// sampleInterval is the least time between two levels of a run that are correlated
	// to estimate the frequency: long enough for them to differ clearly, short enough
	// not to skip a period.
	sampleInterval = 3 * time.Second
	// priorMean, priorLevelVariance and priorFrequency are the mean, the variance and
	// the angular frequency (radians per second; a period of 18 s) assumed before there
	// are samples. They count as priorSamples samples.
	priorMean          = 0.48
	priorLevelVariance = 0.03
	priorFrequency     = 0.35
	priorSamples       = 50
	// maxSamples is the number of samples after which earlier ones are halved in weight.
	maxSamples = 4000
	// maxLagCosine and minLagCosine bound the estimated period to 47 s and 7 s.
	maxLagCosine = 0.92
	minLagCosine = -0.9
)

// Variation is the estimate of the periodic variation of standing runs' baselines. Each
// is modelled as a sine around a common mean, with a common frequency and an amplitude
// and phase of its own, so a run's level and trend determine its baseline seconds ahead.
// The zero value uses the prior mean and frequency.
type Variation struct {
	samples    float64
	sum        float64 // of levels
	squares    float64 // of the levels' deviations from the mean
	products   float64 // of two deviations of a run, about sampleInterval apart
	lagSeconds float64 // sum of the times between two such levels
}

// Mean returns the mean baseline of all standing runs.
func (v *Variation) Mean() float64 {
	return (v.sum + priorMean*priorSamples) / (v.samples + priorSamples)
}

// AngularFrequency returns the frequency of the variation in radians per second.
func (v *Variation) AngularFrequency() float64 {
	lag := (v.lagSeconds + sampleInterval.Seconds()*priorSamples) / (v.samples + priorSamples)
	products := v.products + priorLevelVariance*priorSamples*math.Cos(priorFrequency*sampleInterval.Seconds())
	squares := v.squares + priorLevelVariance*priorSamples
	return math.Acos(min(max(products/squares, minLagCosine), maxLagCosine)) / lag
}

// addSample adds two levels of a run and the time between them.
func (v *Variation) addSample(earlier, later float64, lag time.Duration) {
	if v.samples > maxSamples {
		v.samples, v.sum, v.squares = v.samples/2, v.sum/2, v.squares/2
		v.products, v.lagSeconds = v.products/2, v.lagSeconds/2
	}
	mean := v.Mean()
	v.samples++
	v.sum += later
	v.squares += ((earlier-mean)*(earlier-mean) + (later-mean)*(later-mean)) / 2
	v.products += (earlier - mean) * (later - mean)
	v.lagSeconds += lag.Seconds()
}

// extrapolate returns the expected level and trend after some time of a baseline that
// now has the given level and trend per second.
func (v *Variation) extrapolate(level, trend float64, by time.Duration) (float64, float64) {
	mean, frequency := v.Mean(), v.AngularFrequency()
	offset, velocity := level-mean, trend/frequency
	sin, cos := math.Sincos(frequency * by.Seconds())
	return mean + offset*cos + velocity*sin, (velocity*cos - offset*sin) * frequency
}

// peakWithin returns the highest expected level within some time of a baseline that now
// has the given level and trend.
func (v *Variation) peakWithin(level, trend float64, within time.Duration) float64 {
	mean, frequency := v.Mean(), v.AngularFrequency()
	offset, velocity := level-mean, trend/frequency
	untilPeak := math.Atan2(velocity, offset) / frequency
	if untilPeak > 0 && untilPeak < within.Seconds() {
		return mean + math.Hypot(offset, velocity)
	}
	end, _ := v.extrapolate(level, trend, within)
	return max(level, end)
}
