// This file defines Swing.

package tails

import (
	"math"
	"time"
)

const (
	// swingLag lies between two looks at a run's own load that are compared to
	// learn how fast loads swing: far enough apart to differ clearly, and close enough
	// to miss no swing.
	swingLag = 3 * time.Second
	// firstMean and firstSpread are the mean and the variance of own loads that
	// are taken for known before any were seen; firstSpeed is how fast they swing,
	// in radians a second: once in 18 s.
	firstMean    = 0.48
	firstSpread  = 0.03
	firstSpeed   = 0.35
	firstSamples = 50
	// maxSamples is how many looks decide; older ones count for half as much.
	maxSamples = 4000
	// slowestCosine and fastestCosine bound what is learned of the speed: swings of
	// 47 s and of 7 s.
	slowestCosine = 0.92
	fastestCosine = -0.9
)

// Swing is what is learned of how the own loads of all standing runs swing: each is
// a sine around one mean, with one frequency for all and an amplitude and phase of
// its own. With it, a load's level and trend tell where it will be seconds ahead. The
// zero value knows what was measured before.
type Variation struct {
	samples    float64
	sum        float64 // of levels
	squares    float64 // of levels' distances from the mean
	products   float64 // of two such distances of a run, swingLag apart
	lagSeconds float64 // of all such pairs
}

// Mean is the mean of own loads.
func (s *Variation) Mean() float64 {
	return (s.sum + firstMean*firstSamples) / (s.samples + firstSamples)
}

// Speed is how fast own loads swing, in radians a second.
func (s *Variation) AngularFrequency() float64 {
	lag := (s.lagSeconds + swingLag.Seconds()*firstSamples) / (s.samples + firstSamples)
	products := s.products + firstSpread*firstSamples*math.Cos(firstSpeed*swingLag.Seconds())
	squares := s.squares + firstSpread*firstSamples
	return math.Acos(min(max(products/squares, fastestCosine), slowestCosine)) / lag
}

// note takes two levels of a run and the time between them.
func (s *Variation) note(earlier, later float64, lag time.Duration) {
	if s.samples > maxSamples {
		s.samples, s.sum, s.squares = s.samples/2, s.sum/2, s.squares/2
		s.products, s.lagSeconds = s.products/2, s.lagSeconds/2
	}
	mean := s.Mean()
	s.samples++
	s.sum += later
	s.squares += ((earlier-mean)*(earlier-mean) + (later-mean)*(later-mean)) / 2
	s.products += (earlier - mean) * (later - mean)
	s.lagSeconds += lag.Seconds()
}

// ahead is where a load at a level with a trend, a second, will be.
func (s *Variation) ahead(level, trend float64, by time.Duration) (float64, float64) {
	mean, speed := s.Mean(), s.AngularFrequency()
	x, v := level-mean, trend/speed
	sin, cos := math.Sincos(speed * by.Seconds())
	return mean + x*cos + v*sin, (v*cos - x*sin) * speed
}

// peak is the highest that a load at a level with a trend will be within a time.
func (s *Variation) peak(level, trend float64, within time.Duration) float64 {
	mean, speed := s.Mean(), s.AngularFrequency()
	x, v := level-mean, trend/speed
	untilTop := math.Atan2(v, x) / speed
	if untilTop > 0 && untilTop < within.Seconds() {
		return mean + math.Hypot(x, v)
	}
	end, _ := s.ahead(level, trend, within)
	return max(level, end)
}
