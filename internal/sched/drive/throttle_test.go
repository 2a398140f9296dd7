// This file defines the tests of halting all work colocated with a standing run, and of the
// estimates a new leader starts with.

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

// Guards against a standing task that stays over its target while a colocated run interferes more
// than estimated: without a change of the colocated load, the excess is attributed to the task's
// baseline.
func TestLongTimeOverTargetHalts(t *testing.T) {
	const target = 125
	cases := []struct {
		name     string
		baseline float64 // estimated, milliseconds
		overFor  time.Duration
		halts    bool
	}{
		{"interference, for a short time", 100, haltAfter - time.Millisecond, false},
		{"interference, for a long time", 100, haltAfter, true},
		{"high baseline, for a long time", 150, haltAfter, false},
		{"high baseline, for too long", 150, haltRegardlessAfter, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stage := &graph.Stage{Step: &wire.Step{TailTargetMs: target, Standing: true, Image: "standing"}}
			task := &graph.Task{Stage: stage}
			e := &Engine{now: time.Minute}
			a := &agent{runs: map[*graph.Task]*run{}}
			a.addRun(&run{
				task: task, agent: a, phase: phaseRunning, progressPercent: 100, usage: target + 10, usageAt: e.now,
				overTargetSince: e.now - c.overFor,
			})
			e.tailModel.Observe(&a.runs[task].baseline, tails.Reading{Target: latencyTargetOf(stage.Step), At: e.now, Milliseconds: c.baseline})
			assert.Equal(t, e.findOverTarget(a) != nil, c.halts)
		})
	}
}

// Guards against a new leader that has to estimate interference from the beginning.
func TestNewLeaderRestoresEstimates(t *testing.T) {
	cases := []struct {
		name     string
		disabled map[Feature]bool
		want     float64
	}{
		{"restored", nil, 2.5},
		{"disabled", map[Feature]bool{PersistEstimates: true}, (&tails.Model{}).Weight("standing", "beside")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := graph.New()
			g.Apply(time.Unix(0, 0), &wire.WorkCommand{Body: &wire.WorkCommand_Learned{Learned: &wire.Learned{
				Pairs: []*wire.LearnedPair{{Standing: "standing", Beside: "beside", Weight: 2.5, Variance: 0.01}},
			}}})
			e := New(Options{
				Graph: g, Disabled: c.disabled, IsLeader: func() (uint64, bool) { return 7, true }, WallClock: time.Now,
				Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			e.Tick(time.Second)
			assert.Equal(t, e.tailModel.Weight("standing", "beside"), c.want)
		})
	}
}
