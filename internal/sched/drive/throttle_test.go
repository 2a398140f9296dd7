// This file defines the tests of when all that works beside a standing run is
// halted, and of what a new leader knows of disturbance.

package drive

import (
	"io"
	"log/slog"
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
		{"others may be the cause, not for long", 100, haltAfter - time.Millisecond, false},
		{"others may be the cause, for long", 100, haltAfter, true},
		{"the own load seems to be, for long", 150, haltAfter, false},
		{"the own load seems to be, for too long", 150, haltRegardlessAfter, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stage := &graph.Stage{Step: &wire.Step{TailTargetMs: target, Standing: true, Image: "standing"}}
			task := &graph.Task{Stage: stage}
			e := &Engine{now: time.Minute}
			at := &agent{runs: map[*graph.Task]*run{}}
			at.addRun(&run{
				task: task, agent: at, phase: phaseRunning, progressPercent: 100, usage: target + 10, usageAt: e.now,
				overTargetSince: e.now - c.over,
			})
			e.tailModel.Observe(&at.runs[task].baseline, tails.Reading{Target: latencyTargetOf(stage.Step), At: e.now, Milliseconds: c.own})
			assert.Equal(t, e.longestOverTarget(at) != nil, c.halts)
		})
	}
}

// Symptom: after each change of leader standing tasks are over their targets as in
// the first seconds of a day. Cause: what the leader had learned of which images
// disturb which went with it.
func TestNextLeaderKnowsWhatWasLearned(t *testing.T) {
	cases := []struct {
		name string
		off  map[Feature]bool
		want float64
	}{
		{"kept", nil, 2.5},
		{"switched off", map[Feature]bool{PersistEstimates: true}, (&tails.Model{}).Weight("standing", "beside")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := graph.New()
			g.Apply(time.Unix(0, 0), &wire.WorkCommand{Body: &wire.WorkCommand_Learned{Learned: &wire.Learned{
				Pairs: []*wire.LearnedPair{{Standing: "standing", Beside: "beside", Weight: 2.5, Variance: 0.01}},
			}}})
			e := New(Options{
				Graph: g, Disabled: c.off, IsLeader: func() (uint64, bool) { return 7, true }, WallClock: time.Now,
				Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			e.Tick(time.Second)
			assert.Equal(t, e.tailModel.Weight("standing", "beside"), c.want)
		})
	}
}
