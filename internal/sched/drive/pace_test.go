// This file defines the test of when all that works beside a standing run is
// halted.

package drive

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// Symptom: a standing task stays over its target for as long as a run beside it
// works, and nothing is halted. Sequence: an image that is known well adds more than
// before, while nothing comes or goes beside the task. Cause: no change of what
// runs beside told of it, so the task's own load was taken for the cause.
func TestTooLongOverTheTargetHaltsWhateverIsKnown(t *testing.T) {
	const target = 125
	cases := []struct {
		name  string
		own   float64 // milliseconds, as far as is known
		over  time.Duration
		halts bool
	}{
		{"others may be the cause, not for long", 100, longOver - time.Millisecond, false},
		{"others may be the cause, for long", 100, longOver, true},
		{"the own load seems to be, for long", 150, longOver, false},
		{"the own load seems to be, for too long", 150, tooLongOver, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stage := &graph.Stage{Step: &wire.Step{TailTargetMs: target, Standing: true, Image: "standing"}}
			task := &graph.Task{Stage: stage}
			e := &Engine{now: time.Minute}
			at := &agent{runs: map[*graph.Task]*run{}}
			at.runs[task] = &run{
				task: task, agent: at, phase: phaseRunning, percent: 100, usage: target + 10, usageAt: e.now,
				overSince: e.now - c.over,
			}
			e.pressure.Note(&at.runs[task].own, tails.Reading{Target: targetOf(stage.Step), At: e.now, Milliseconds: c.own})
			assert.Equal(t, e.longestOver(at) != nil, c.halts)
		})
	}
}
