// This file defines Model and Load.

// Package tails learns how opportunistic work disturbs standing work: how busy a
// standing task is by itself, and what each image that runs beside it adds to
// that.
//
// A standing task's tail latency follows its utilization like a queue's: it is a
// base divided by the part that is free. What runs beside adds to the
// utilization, whatever the task's own load is; so the same work that shows in no
// tail while the load is low takes it past any target while it is high. All that
// is learned and compared is therefore utilization, 0 to 1, and not the tail.
//
// It is plain arithmetic over readings; time comes in with them. All loads are
// shares of an agent's processors.
package tails

import (
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// firstWeight stands for pairs of images not seen together yet: above the
	// harmless and below the harmful ones, so that a first try is made, but a small one.
	firstWeight = 0.5
	// maxWeight bounds a weight, so that one bad reading can't keep a pair apart for good.
	maxWeight = 4.0
	// firstVariance is that of weights around the first one.
	firstVariance = 0.25
	// weightDrift is how fast the variance of a weight grows while it isn't seen,
	// a second: a tenth of the first one in ten seconds.
	weightDrift = 0.0025
	// leastBusy is the utilization of a standing task in its quietest moments, at
	// which its lowest tails are told.
	leastBusy = 0.22
	// firstFloor is the part of its target that the lowest tail of an image is
	// taken for before lower ones are told.
	firstFloor = 0.26
	// maxBusy is the utilization at which tails stop growing: they were told as up
	// to 40 times the base.
	maxBusy = 0.975
	// negligible is the share of an agent's processors below which an image is left
	// out of an average.
	negligible = 0.001
	// maxPairs bounds what is remembered, since images are named by callers; beyond
	// it all is learned anew.
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

	// Model is what is learned: the utilization of a standing task is its own plus,
	// for each opportunistic image beside it, a weight times the share of the
	// agent's processors which that image uses. The zero value knows nothing.
	//
	// The own load of standing tasks swings smoothly, by a factor of three within
	// seconds, while what runs beside changes at once. So the weights are learned
	// from the changes between two readings of a run, less the trend of its own
	// load, over all agents together, each with a variance of its own (a Kalman
	// filter that leaves out how the errors of two weights depend on each other).
	// Learned from the readings themselves, a weight takes up the swing: of images
	// that add nothing, half were taken for harmful.
	Model struct {
		// Swing is how standing tasks' own loads swing.
		Variation Variation
		weights   map[pair]estimate
		floors    map[string]float64 // lowest tails told, by standing image
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

// Weight is what an image that used all of an agent's processors would add to
// the utilization of a standing one.
func (m *Model) Weight(standing, beside string) float64 {
	if known, ok := m.weights[pair{standing, beside}]; ok {
		return known.weight
	}
	return firstWeight
}

// Added is what a load adds to the utilization of a standing task.
func (m *Model) Interference(standing string, beside Load) float64 {
	sum := 0.0
	for image, share := range beside.sorted() {
		sum += m.Weight(standing, image) * share
	}
	return sum
}

// Doubt is how far Added may be off, by the variances of the weights.
func (m *Model) Uncertainty(standing string, beside Load) float64 {
	sum := 0.0
	for image, share := range beside.sorted() {
		variance := firstVariance
		if known, ok := m.weights[pair{standing, image}]; ok {
			variance = known.variance
		}
		sum += math.Sqrt(variance) * share
	}
	return sum
}

// Learn takes what a utilization is off by, with the variance of its reading,
// after a change of the load beside it.
func (m *Model) UpdateWeights(standing string, now time.Duration, change Load, miss, variance float64) {
	if m.weights == nil || len(m.weights) > maxPairs {
		m.weights = map[pair]estimate{}
	}
	noise := variance
	for image, share := range change.sorted() {
		known := m.aged(standing, image, now)
		noise += known.variance * share * share
		m.weights[pair{standing, image}] = known
	}
	surprise := maxSurprise * math.Sqrt(noise)
	miss = min(max(miss, -surprise), surprise)
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

// sorted goes over a load in the order of the images. A sum of fractions depends on
// the order of its terms, and what is decided on it must not depend on chance.
func (l Load) sorted() iter.Seq2[string, float64] {
	return func(yield func(string, float64) bool) {
		var few [16]string // on the stack; agents have fewer images beside a task
		images := few[:0]
		for image := range l {
			images = append(images, image)
		}
		slices.Sort(images)
		for _, image := range images {
			if !yield(image, l[image]) {
				return
			}
		}
	}
}

// After is the load that came since an earlier one; less where it went.
func (l Load) Sub(earlier Load) Load {
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

// toward is the load moved by a part of the way to another one.
func (l Load) toward(other Load, part float64) Load {
	moved := Load{}
	for image, share := range l {
		if share > negligible {
			moved[image] += share * (1 - part)
		}
	}
	for image, share := range other {
		moved[image] += share * part
	}
	return moved
}

// base is the tail of a standing image without any load, as far as is known.
func (m *Model) base(t Target) float64 {
	floor := t.Milliseconds * firstFloor
	if seen, ok := m.floors[t.Image]; ok {
		floor = min(floor, seen)
	}
	return floor * (1 - leastBusy)
}

// Busy is the utilization at which a standing task has a tail.
func (m *Model) Utilization(t Target, milliseconds float64) float64 {
	base := m.base(t)
	return min(1-base/max(milliseconds, base), maxBusy)
}

// noteFloor keeps the lowest tail told of an image.
func (m *Model) noteFloor(t Target, milliseconds float64) {
	if m.floors == nil || len(m.floors) > maxPairs {
		m.floors = map[string]float64{}
	}
	if seen, ok := m.floors[t.Image]; !ok || milliseconds < seen {
		m.floors[t.Image] = max(milliseconds, 1)
	}
}
