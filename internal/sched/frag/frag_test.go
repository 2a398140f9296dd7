// This file defines the tests of the measure of fragmentation and of the reserve by size class.

package frag

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const core = 1000.0

// demandFor returns a demand of tasks by request.
func demandFor(tasks map[float64]float64) *Demand {
	counts := make([]float64, maxClasses)
	for request, n := range tasks {
		counts[ClassOf(request)] += n
	}
	d := &Demand{}
	d.Update(time.Second, counts)
	return d
}

func TestHolesAndClasses(t *testing.T) {
	for _, c := range []struct {
		free, size float64
		want       int
	}{{12 * core, 13 * core, 0}, {13 * core, 13 * core, 1}, {64 * core, 13 * core, 4}, {-1, core, 0}, {core, 0, 0}} {
		assert.Equal(t, Holes(c.free, c.size), c.want, "%v", c)
	}
	assert.Equal(t, ClassOf(2*core), 0)
	assert.Equal(t, ClassOf(2*core+1), 1)
	assert.Equal(t, ClassOf(1e9), maxClasses-1)
	assert.Equal(t, ClassSize(ClassOf(34*core)), 34*core)
}

// Guards against small tasks that take the only room for wide ones, and standing tasks that leave
// pieces which fit nothing.
func TestCost(t *testing.T) {
	d := demandFor(map[float64]float64{2 * core: 1, 34 * core: 1})
	assert.Assert(t, Cost(d, 12*core, 2*core) < Cost(d, 34*core, 2*core), "small task in a small hole")
	assert.Assert(t, Cost(d, 13*core, 13*core) < Cost(d, 46*core, 13*core), "standing task that completes an agent")
	assert.Assert(t, Cost(d, 47*core, 13*core) < Cost(d, 46*core, 13*core), "standing task that leaves the wide hole")
	assert.Equal(t, Cost(&Demand{}, 12*core, 2*core), 0.0, "no demand seen")
}

// Guards against cached values that outlive a change of demand, and demand that never decays.
func TestDemandDecays(t *testing.T) {
	d := demandFor(map[float64]float64{34 * core: 1})
	before := d.Unusable(20 * core)
	counts := make([]float64, ClassOf(4*core)+1)
	counts[ClassOf(4*core)] = 1
	d.Update(31*time.Second, counts)
	assert.Equal(t, before, 20*core)
	assert.Assert(t, d.Unusable(20*core) < core, "%v", d.Unusable(20*core))
	assert.Equal(t, NewReserve(d, 1, 1).needed[ClassOf(34*core)], 0)
}

// Guards against standing tasks that take the last hole of a size class while the sum of free CPU
// is ample, and against a reserve that holds back more than its limit or than it gains by.
func TestReserve(t *testing.T) {
	d := demandFor(map[float64]float64{34 * core: 2})
	r := NewReserve(d, 1, 1)
	for _, free := range []float64{40 * core, 48 * core, 64 * core, 12 * core} {
		r.Add(free, 64*core)
	}
	assert.Assert(t, r.Allows(48*core, 13*core), "the wide hole remains")
	assert.Assert(t, r.Allows(40*core, 13*core), "two wide holes remain")
	r.Take(40*core, 13*core)
	assert.Assert(t, !r.Allows(64*core, 31*core), "one wide hole would remain")
	assert.Assert(t, r.Allows(12*core, 12*core), "takes no wide hole")
	for share, allowed := range map[float64]bool{0.4: true, 1: false} {
		limited := NewReserve(d, 1, share)
		limited.Add(40*core, 64*core)
		limited.Add(40*core, 64*core)
		assert.Equal(t, limited.Allows(40*core, 13*core), allowed, "at most %v of the pool", share)
	}
}
