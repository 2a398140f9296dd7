// This file defines Demand, the recent demand of ordinary tasks by size, and the measure of
// fragmentation that follows from it.

// Package frag measures how usable the free CPU of agents is for the sizes of tasks that are
// requested. It answers a load of wide urgent tasks on agents that are nearly full of standing
// tasks: much CPU is free in total, but in pieces that fit nothing. The measure follows Weng et
// al., Beware of Fragmentation: Scheduling GPU-Sharing Workloads with Fragmentation Gradient
// Descent (2023).
//
// Everything here is pure: the time is passed in, and CPU is in millicores.
package frag

import (
	"math"
	"time"
)

const (
	// ClassMillis is the width of a size class. The smallest urgent tasks request 2 cores;
	// narrower classes would split a demand of few tasks without changing which agents fit.
	ClassMillis = 2000
	// maxClasses limits the classes; the last one includes all larger requests.
	maxClasses = 64
	// bucketMillis is the granularity of cached values. It divides ClassMillis, so that
	// rounding down to it changes no number of holes.
	bucketMillis = 250
	// halfLife is the half-life of the histogram. Demand varies with periods of 11 and 17 s;
	// a shorter half-life would forget the wide tasks of one peak before the next one.
	halfLife = 10 * time.Second
	// firstInterval is the weight of the first update, before which no time is known.
	firstInterval = 50 * time.Millisecond
	// maxInterval limits the weight of an update after a time without any.
	maxInterval = time.Second
	// peakDecay is the factor by which the recorded peaks decay per second, as those of the
	// reserve by sum. Their half-life is 14 s.
	peakDecay = 0.95
)

// Demand is the recent demand of ordinary tasks by size class: a decaying histogram of their
// requests, weighted by how long they waited or ran, and the peaks of the holes that they needed at
// the same time. The zero value has seen no demand.
type Demand struct {
	weights   []float64
	peaks     []float64 // holes of each class
	updatedAt time.Duration
	updated   bool
	// unusable caches the measure by bucket of free CPU; negative values aren't computed yet.
	unusable []float64
}

// ClassOf returns the size class of a request.
func ClassOf(request float64) int {
	return min(max(int(math.Ceil(request/ClassMillis))-1, 0), maxClasses-1)
}

// ClassSize returns the largest request of a size class.
func ClassSize(class int) float64 { return float64(class+1) * ClassMillis }

// Holes returns how many tasks of a size fit into free CPU.
func Holes(free, size float64) int {
	if free < size || size <= 0 {
		return 0
	}
	return int(free / size)
}

// Update records the number of concurrent ordinary tasks of each class, running or waiting.
func (d *Demand) Update(now time.Duration, tasks []float64) {
	interval := firstInterval
	if d.updated {
		interval = max(now-d.updatedAt, 0)
	}
	d.updated, d.updatedAt = true, now
	d.unusable = d.unusable[:0]
	for len(d.weights) < min(len(tasks), maxClasses) {
		d.weights, d.peaks = append(d.weights, 0), append(d.peaks, 0)
	}
	decay, lowered := math.Exp2(-interval.Seconds()/halfLife.Seconds()), math.Pow(peakDecay, interval.Seconds())
	for c := range d.weights {
		n, holes := 0.0, 0.0
		if c < len(tasks) {
			n = tasks[c]
		}
		for k := c; k < len(tasks); k++ {
			holes += tasks[k] * float64(Holes(ClassSize(k), ClassSize(c)))
		}
		d.weights[c] = d.weights[c]*decay + n*min(interval, maxInterval).Seconds()
		d.peaks[c] = max(holes, d.peaks[c]*lowered)
	}
}

// Unusable returns the expected part of an agent's free CPU that the demand can't use: what is
// left after as many tasks of one size as fit, weighted by the demand for that size.
func (d *Demand) Unusable(free float64) float64 {
	bucket := int(max(free, 0) / bucketMillis)
	for len(d.unusable) <= bucket {
		d.unusable = append(d.unusable, -1)
	}
	if d.unusable[bucket] < 0 {
		d.unusable[bucket] = d.measure(float64(bucket) * bucketMillis)
	}
	return d.unusable[bucket]
}

func (d *Demand) measure(free float64) float64 {
	sum, total := 0.0, 0.0
	for c, w := range d.weights {
		size := ClassSize(c)
		sum += w * (free - float64(Holes(free, size))*size)
		total += w
	}
	if total == 0 {
		return 0
	}
	return sum / total
}

// Mean returns the mean request of the recent demand, 0 without any.
func (d *Demand) Mean() float64 {
	sum, total := 0.0, 0.0
	for c, w := range d.weights {
		sum += w * ClassSize(c)
		total += w
	}
	if total == 0 {
		return 0
	}
	return sum / total
}

// Cost returns by how much a request raises the unusable free CPU of an agent. It is negative
// where the request uses CPU that the demand can't use.
func Cost(d *Demand, free, request float64) float64 {
	return d.Unusable(free-request) - d.Unusable(free)
}
