// This file defines Model and Load.

// Package tails estimates how opportunistic work interferes with standing work: the
// baseline utilization of each standing task, and the utilization that each colocated
// image adds to it.
//
// A standing task's tail latency follows its utilization as in a queueing model: it is
// the idle tail latency divided by the free share. Colocated work adds to the utilization
// whatever the task's baseline is, so work that doesn't change the tail latency while the
// baseline is low can take it past any target while the baseline is high. All estimates
// and comparisons therefore use utilization, 0 to 1, and not tail latency.
//
// The package reads no clock; times come with the readings. All loads are shares of an
// agent's processors.
package tails

import (
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// priorWeight is the weight of a pair of images never seen together. It lies between
	// typical harmless and harmful weights, so that a small first trial is allowed.
	priorWeight = 0.5
	// maxWeight bounds a weight, so that one bad reading doesn't separate a pair permanently.
	maxWeight = 4.0
	// priorWeightVariance is the variance of priorWeight, and the maximum of any weight's.
	priorWeightVariance = 0.25
	// weightDrift is the growth of a weight's variance per second without an update: a
	// tenth of the prior variance in ten seconds.
	weightDrift = 0.0025
	// minUtilization is the assumed utilization at an image's lowest tail latency.
	minUtilization = 0.22
	// priorMinTailShare is the assumed lowest tail latency of an image, as a share of its
	// target, until a lower one is observed.
	priorMinTailShare = 0.26
	// maxUtilization bounds utilization. It corresponds to 40 times the idle tail latency.
	maxUtilization = 0.975
	// negligibleShare is the share of an agent's processors below which an image is left
	// out of an average.
	negligibleShare = 0.001
	// maxPairs bounds the number of estimates, since callers name images. Above it all
	// estimates are discarded.
	maxPairs = 20000
)

type (
	// imagePair is a standing image and an opportunistic one colocated with it.
	imagePair struct{ standing, opportunistic string }

	// estimate is an estimated weight and its variance at a time.
	estimate struct {
		weight, variance float64
		at               time.Duration
	}

	// Model predicts the utilization of a standing task as its baseline plus, for each
	// colocated opportunistic image, a weight times the share of the agent's processors
	// that the image uses. The zero value has no estimates and uses the priors.
	//
	// Baselines vary smoothly, by a factor of three within seconds, while the colocated
	// load changes in steps. The weights are therefore estimated from the changes between
	// two readings of a run, less the predicted change of its baseline, over all agents
	// together. Each has its own variance: a Kalman filter that ignores the covariance of
	// two weights. Weights estimated from the readings themselves would absorb the
	// variation of the baselines.
	Model struct {
		// Variation is the periodic variation of the baselines.
		Variation Variation
		weights   map[imagePair]estimate
		minTails  map[string]float64 // lowest observed tail latencies, by standing image
	}

	// Load is the share of an agent's processors in use, by image.
	Load map[string]float64

	// Target is a standing image and the tail latency in milliseconds that its
	// tasks should stay below.
	Target struct {
		Image        string
		Milliseconds float64
	}
)

// Weight returns the utilization that an opportunistic image would add to a standing one
// if it used all of an agent's processors.
func (m *Model) Weight(standing, opportunistic string) float64 {
	if current, ok := m.weights[imagePair{standing, opportunistic}]; ok {
		return current.weight
	}
	return priorWeight
}

// Interference returns the utilization that a colocated load adds to a standing task.
func (m *Model) Interference(standing string, colocated Load) float64 {
	sum := 0.0
	for im, sh := range colocated.sorted() {
		sum += m.Weight(standing, im) * sh
	}
	return sum
}

// Uncertainty returns the standard deviation of Interference, with the errors of the
// weights taken as fully correlated.
func (m *Model) Uncertainty(standing string, colocated Load) float64 {
	sum := 0.0
	for im, sh := range colocated.sorted() {
		variance := priorWeightVariance
		if current, ok := m.weights[imagePair{standing, im}]; ok {
			variance = current.variance
		}
		sum += math.Sqrt(variance) * sh
	}
	return sum
}

// UpdateWeights corrects the weights of the images whose load changed by the residual of
// a predicted utilization, which has the given variance.
func (m *Model) UpdateWeights(standing string, now time.Duration, change Load, residual, variance float64) {
	if m.weights == nil || len(m.weights) > maxPairs {
		m.weights = map[imagePair]estimate{}
	}
	totalVariance := variance
	for im, sh := range change.sorted() {
		current := m.currentEstimate(standing, im, now)
		totalVariance += current.variance * sh * sh
		m.weights[imagePair{standing, im}] = current
	}
	bound := outlierDeviations * math.Sqrt(totalVariance)
	residual = min(max(residual, -bound), bound)
	for im, sh := range change {
		current := m.weights[imagePair{standing, im}]
		gain := current.variance * sh / totalVariance
		current.weight = min(max(current.weight+gain*residual, 0), maxWeight)
		current.variance *= 1 - gain*sh
		m.weights[imagePair{standing, im}] = current
	}
}

// currentEstimate returns the estimate of a pair with its variance grown until now.
func (m *Model) currentEstimate(standing, opportunistic string, now time.Duration) estimate {
	current, ok := m.weights[imagePair{standing, opportunistic}]
	if !ok {
		return estimate{weight: priorWeight, variance: priorWeightVariance, at: now}
	}
	current.variance = min(current.variance+weightDrift*(now-current.at).Seconds(), priorWeightVariance)
	current.at = now
	return current
}

// sorted iterates over a load in the order of the images' names. A floating-point sum
// depends on the order of its terms, and decisions must not depend on map order.
func (l Load) sorted() iter.Seq2[string, float64] {
	return func(yield func(string, float64) bool) {
		var buffer [16]string // avoids an allocation for up to 16 images
		images := buffer[:0]
		for im := range l {
			images = append(images, im)
		}
		slices.Sort(images)
		for _, im := range images {
			if !yield(im, l[im]) {
				return
			}
		}
	}
}

// Sub returns the change since an earlier load, without the images that didn't change.
func (l Load) Sub(earlier Load) Load {
	change := Load{}
	for im, sh := range l {
		if d := sh - earlier[im]; d != 0 {
			change[im] = d
		}
	}
	for im, sh := range earlier {
		if _, ok := l[im]; !ok {
			change[im] = -sh
		}
	}
	return change
}

// blend returns the weighted average of two loads, where other has the given weight.
func (l Load) blend(other Load, weight float64) Load {
	blended := Load{}
	for im, sh := range l {
		if sh > negligibleShare {
			blended[im] += sh * (1 - weight)
		}
	}
	for im, sh := range other {
		blended[im] += sh * weight
	}
	return blended
}

// idleTail returns the estimated tail latency of a standing image without load.
func (m *Model) idleTail(t Target) float64 {
	lowest := t.Milliseconds * priorMinTailShare
	if seen, ok := m.minTails[t.Image]; ok {
		lowest = min(lowest, seen)
	}
	return lowest * (1 - minUtilization)
}

// Utilization returns the utilization at which a standing task has a tail latency.
func (m *Model) Utilization(t Target, milliseconds float64) float64 {
	idle := m.idleTail(t)
	return min(1-idle/max(milliseconds, idle), maxUtilization)
}

// recordMinTail keeps the lowest tail latency observed for an image.
func (m *Model) recordMinTail(t Target, milliseconds float64) {
	if m.minTails == nil || len(m.minTails) > maxPairs {
		m.minTails = map[string]float64{}
	}
	if seen, ok := m.minTails[t.Image]; !ok || milliseconds < seen {
		m.minTails[t.Image] = max(milliseconds, 1)
	}
}
