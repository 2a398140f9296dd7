// This file defines the tests of reservations, persisted estimates and feature names.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// disabled returns a set of features to disable.
func disabled(features ...drive.Feature) map[drive.Feature]bool {
	set := map[drive.Feature]bool{}
	for _, f := range features {
		set[f] = true
	}
	return set
}

// Guards against short urgent jobs that wait behind standing tasks on a new deployment, because
// nothing was reserved before the first ordinary job.
func TestReservationBeforeFirstOrdinaryJob(t *testing.T) {
	for _, c := range []struct {
		name      string
		disabled  map[drive.Feature]bool
		completed bool
	}{{"reserved", nil, true}, {"not reserved", disabled(drive.ReserveForOrdinary), false}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 4, true, faults{disabled: c.disabled})
			s.run(2*time.Second, 0)
			for range 10 {
				s.submitJob(&wire.Step{Count: 4, CpuMillis: 1000, EstimateMs: 500, Standing: true})
			}
			s.run(3*time.Second, 0)
			s.submitJob(&wire.Step{Count: 2, CpuMillis: 1000, EstimateMs: 500})
			s.run(2*time.Second, 0)
			urgent := s.graph.Job(s.jobs[len(s.jobs)-1])
			assert.Equal(t, urgent.State == wire.WorkState_WORK_STATE_COMPLETED, c.completed, "%v", urgent.State)
		})
	}
}

// A leader's estimates of interference are in the state and in its snapshots.
func TestEstimatesArePersisted(t *testing.T) {
	s := newSim(1, 2, true, faults{})
	c := interferenceScenario{low: 15, high: 30, adds: 3}
	s.tailLatencyOf = c.reportedTail
	s.submitJob(&wire.Step{Count: 2, CpuMillis: 2000, MemoryMb: 100, EstimateMs: 500, Standing: true, TailTargetMs: targetMillis, Image: "standing", SpreadLimit: 1})
	s.run(4*time.Second, 0)
	for range 40 {
		s.submitJob(&wire.Step{Count: 1, CpuMillis: 1200, MemoryMb: 10, EstimateMs: 1500, Opportunistic: true, Checkpointable: true, Image: "beside"})
		s.run(200*time.Millisecond, 0)
	}
	weight := weightOf(s.graph)
	assert.Assert(t, weight > 0, "no estimate was saved")
	image := s.graph.Save()
	restored := graph.New()
	assert.NilError(t, restored.Load(image))
	assert.Equal(t, weightOf(restored), weight, "the estimate isn't in the snapshot")
}

func weightOf(g *graph.Graph) float32 {
	for _, p := range g.Estimates().GetPairs() {
		if p.Standing == "standing" && p.Beside == "beside" {
			return p.Weight
		}
	}
	return 0
}

func TestFeatureNames(t *testing.T) {
	named, err := drive.ParseFeatures([]string{"Halts", " Moves"})
	assert.NilError(t, err)
	assert.Assert(t, named[drive.HaltOpportunistic] && named[drive.Migrate] && !named[drive.ReserveForOrdinary])
	_, err = drive.ParseFeatures([]string{"Hats"})
	assert.ErrorContains(t, err, "Hats")
	optional, err := drive.ParseOptionalFeatures([]string{"JobAdmission"})
	assert.NilError(t, err)
	assert.Assert(t, optional[drive.JobAdmission] && !optional[drive.AgentHealth])
	_, err = drive.ParseOptionalFeatures([]string{"Halts"})
	assert.ErrorContains(t, err, "Halts")
}

// Guards against a standing task that isn't placed on idle agents because capacity is reserved for
// a past burst of ordinary work.
func TestReservationShrinksAfterBurst(t *testing.T) {
	s := newSim(1, 3, true, faults{})
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 100, CpuMillis: 8000, MemoryMb: 10, EstimateMs: 100})
	s.run(15*time.Second, 0)
	assert.Equal(t, s.graph.Job(s.jobs[0]).State, wire.WorkState_WORK_STATE_COMPLETED)
	s.submitJob(&wire.Step{Count: 2, CpuMillis: 1000, MemoryMb: 10, EstimateMs: 500, Standing: true})
	s.run(2*time.Second, 0)
	assert.Equal(t, s.graph.Job(s.jobs[1]).Occurrences[0][0].Unplaced, 0)
}
