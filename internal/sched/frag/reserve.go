// This file defines Reserve, the holes of each size class to keep for ordinary tasks.

package frag

import "math"

// Reserve compares the holes that the agents of a pool have for each size class with those that
// the recent peak demand needs. A task of a wider class takes as many of them as fit into it.
type Reserve struct {
	holes, needed, capacity []int // by class
	share                   float64
}

// NewReserve returns a reserve for the peak demand times a factor, of at most a share of the holes
// that empty agents have for each class. A burst can exceed the pool; reserved in full, it would
// hold standing tasks back for long after it.
func NewReserve(d *Demand, factor, share float64) *Reserve {
	n := len(d.peaks)
	r := &Reserve{holes: make([]int, n), needed: make([]int, n), capacity: make([]int, n), share: share}
	for c, n := range d.peaks {
		r.needed[c] = int(math.Round(n * factor))
	}
	return r
}

// Add adds an agent of a capacity, with free CPU that no standing task requests.
func (r *Reserve) Add(free, capacity float64) {
	for c := range r.holes {
		r.holes[c] += Holes(free, ClassSize(c))
		r.capacity[c] += Holes(capacity, ClassSize(c))
	}
}

// Allows reports whether a standing task may take its request from such an agent. A task that
// takes no hole of a class isn't held back because that class has too few.
func (r *Reserve) Allows(free, request float64) bool {
	for c, n := range r.needed {
		n = min(n, int(r.share*float64(r.capacity[c])))
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
