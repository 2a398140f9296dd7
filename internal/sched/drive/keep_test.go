// This file defines the tests of what is kept: room for ordinary work, and what was
// learned.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

func off(mechanisms ...drive.Feature) map[drive.Feature]bool {
	named := map[drive.Feature]bool{}
	for _, m := range mechanisms {
		named[m] = true
	}
	return named
}

// Symptom: short urgent jobs wait for seconds, for as long as standing tasks stay.
// Sequence: a new deployment gets its standing tasks first, more than fit, and
// ordinary work seconds later. Cause: what is kept for ordinary work followed what
// had been seen of it, which was nothing.
func TestRoomIsKeptBeforeOrdinaryWorkWasSeen(t *testing.T) {
	for _, c := range []struct {
		name   string
		off    map[drive.Feature]bool
		atOnce bool
	}{{"kept", nil, true}, {"not kept", off(drive.ReserveForOrdinary), false}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 4, true, faults{off: c.off})
			s.run(2*time.Second, 0)
			for range 10 {
				s.submitSpec(&wire.Step{Count: 4, CpuMillis: 1000, EstimateMs: 500, Standing: true})
			}
			s.run(3*time.Second, 0)
			s.submitSpec(&wire.Step{Count: 2, CpuMillis: 1000, EstimateMs: 500})
			s.run(2*time.Second, 0)
			urgent := s.graph.Job(s.jobs[len(s.jobs)-1])
			assert.Equal(t, urgent.State == wire.WorkState_WORK_STATE_COMPLETED, c.atOnce, "%v", urgent.State)
		})
	}
}

// What a leader learned of which images disturb which is in the state and in
// snapshots of it; that the next one uses it is tested beside the engine.
func TestWhatIsLearnedIsKept(t *testing.T) {
	s := newSim(1, 2, true, faults{})
	c := standingAndBeside{low: 15, high: 30, adds: 3}
	s.tailOf = c.told
	s.submitSpec(&wire.Step{Count: 2, CpuMillis: 2000, MemoryMb: 100, EstimateMs: 500, Standing: true, TailTargetMs: standingTarget, Image: "standing", SpreadLimit: 1})
	s.run(4*time.Second, 0)
	for range 40 {
		s.submitSpec(&wire.Step{Count: 1, CpuMillis: 1200, MemoryMb: 10, EstimateMs: 1500, Opportunistic: true, Checkpointable: true, Image: "beside"})
		s.run(200*time.Millisecond, 0)
	}
	learned := weightOf(s.graph)
	assert.Assert(t, learned > 0, "nothing was kept")
	image := s.graph.Save()
	restored := graph.New()
	restored.Load(image)
	assert.Equal(t, weightOf(restored), learned, "a snapshot loses it")
}

func weightOf(g *graph.Graph) float32 {
	for _, p := range g.Estimates().GetPairs() {
		if p.Standing == "standing" && p.Beside == "beside" {
			return p.Weight
		}
	}
	return 0
}

func TestMechanismNames(t *testing.T) {
	named, err := drive.ParseFeatures([]string{"Halts", " Moves"})
	assert.NilError(t, err)
	assert.Assert(t, named[drive.HaltOpportunistic] && named[drive.Migrate] && !named[drive.ReserveForOrdinary])
	_, err = drive.ParseFeatures([]string{"Hats"})
	assert.ErrorContains(t, err, "Hats")
}

// Symptom: a new standing task runs nowhere for a minute though most agents are idle.
// Sequence: far more ordinary work waits than there is room for; it is done; standing
// work comes. Cause: the most that had waited was kept free, however much it was.
func TestReserveOfAPastBurstLeavesRoom(t *testing.T) {
	s := newSim(1, 3, true, faults{})
	s.run(2*time.Second, 0)
	s.submitSpec(&wire.Step{Count: 100, CpuMillis: 8000, MemoryMb: 10, EstimateMs: 100})
	s.run(15*time.Second, 0)
	assert.Equal(t, s.graph.Job(s.jobs[0]).State, wire.WorkState_WORK_STATE_COMPLETED)
	s.submitSpec(&wire.Step{Count: 2, CpuMillis: 1000, MemoryMb: 10, EstimateMs: 500, Standing: true})
	s.run(2*time.Second, 0)
	assert.Equal(t, s.graph.Job(s.jobs[1]).Occurrences[0][0].Unplaced, 0)
}
