// This file defines Reserve, the holes of each size class to keep for ordinary tasks.

package frag

import "math"

// Reserve compares the holes that the agents of a pool have for each size class with those that
// the recent peak demand needs. A task of a wider class takes as many of them as fit into it.
type Reserve struct {
	holes, needed []int           // by class
	agents        map[float64]int // by capacity
	share         float64
	limited       bool // needed is limited to share
}

// NewReserve returns a reserve for the peak demand times a factor, of at most a share of the holes
// that empty agents have for each class. A burst can exceed the pool; reserved in full, it would
// hold standing tasks back for long after it.
func NewReserve(d *Demand, factor, share float64) *Reserve {
	n := len(d.peaks)
	r := &Reserve{holes: make([]int, n), needed: make([]int, n), agents: map[float64]int{}, share: share}
	for c, n := range d.peaks {
		r.needed[c] = int(math.Round(n * factor))
	}
	return r
}

// Add adds an agent of a capacity, with free CPU that no standing task requests. It must not be
// called after Allows.
func (r *Reserve) Add(free, capacity float64) {
	for c := range r.holes {
		r.holes[c] += Holes(free, ClassSize(c))
	}
	r.agents[capacity]++
}

// limit limits the needed holes to a share of those of all agents.
func (r *Reserve) limit() {
	r.limited = true
	for c := range r.needed {
		total := 0
		for capacity, n := range r.agents {
			total += n * Holes(capacity, ClassSize(c))
		}
		r.needed[c] = min(r.needed[c], int(r.share*float64(total)))
	}
}

// Allows reports whether a standing task may take its request from such an agent. A task that
// takes no hole of a class isn't held back because that class has too few.
func (r *Reserve) Allows(free, request float64) bool {
	if !r.limited {
		r.limit()
	}
	for c, n := range r.needed {
		taken := Holes(free, ClassSize(c)) - Holes(free-request, ClassSize(c))
		if taken > 0 && r.holes[c]-taken < n {
			return false
		}
	}
	return true
}

// Take subtracts the holes that a placed standing task takes.
func (r *Reserve) Take(free, request float64) {
	for c := range r.holes {
		r.holes[c] -= Holes(free, ClassSize(c)) - Holes(free-request, ClassSize(c))
	}
}
