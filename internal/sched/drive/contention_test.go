// This file defines the tests of CPU contention between ordinary and opportunistic work.

package drive

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

// contendedAgent returns an engine and an agent of ten cores with runs of the given steps.
func contendedAgent(enabled bool, steps ...*wire.Step) (*Engine, *agent) {
	e := New(Options{
		Graph: graph.New(), Enabled: map[Feature]bool{ContentionAware: enabled}, IsLeader: func() (uint64, bool) { return 0, false },
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	e.now = time.Minute
	a := &agent{record: &wire.Agent{Id: "a", CpuMillis: 10000, MemoryMb: 1000}, runs: map[*graph.Task]*run{}, dueIndex: notQueued, freeStale: true}
	for i, step := range steps {
		stage := &graph.Stage{Job: &graph.Job{Sequence: uint64(i)}, Step: step}
		a.addRun(&run{task: &graph.Task{Stage: stage}, agent: a, phase: phaseRunning, cpuPercent: fullPercent, targetPercent: fullPercent})
	}
	return e, a
}

// Guards against a burst of ordinary tasks that lands on agents full of opportunistic work while
// others have CPU unused, so that the tail latencies of standing tasks there rise.
func TestOrdinaryTasksAvoidContention(t *testing.T) {
	opportunistic := &wire.Step{CpuMillis: 10000, Opportunistic: true}
	standing := &wire.Step{CpuMillis: 2000, Standing: true}
	cases := []struct {
		name       string
		enabled    bool
		prefersOff bool // prefers the agent without opportunistic work
	}{
		{"by requests", false, false},
		{"by expected usage", true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, busy := contendedAgent(c.enabled, opportunistic)
			_, free := contendedAgent(c.enabled, standing)
			p := &pass{engine: e}
			stage := &graph.Stage{Job: &graph.Job{}, Step: &wire.Step{CpuMillis: 5000}}
			onBusy, onFree := p.cost(stage, e.freeResourcesOf(busy)), p.cost(stage, e.freeResourcesOf(free))
			assert.Equal(t, onFree < onBusy, c.prefersOff, "%.2f beside opportunistic work, %.2f elsewhere", onBusy, onFree)
		})
	}
}

// addIdleAgent adds another agent of ten cores to an engine.
func (e *Engine) addIdleAgent() {
	e.agents.add(&agent{
		record: &wire.Agent{Id: "idle", CpuMillis: 10000, MemoryMb: 1000}, runs: map[*graph.Task]*run{}, dueIndex: notQueued, freeStale: true,
		synced: true, reported: true,
	})
}

// Guards against opportunistic runs that use the CPU of an agent where ordinary work needs it, and
// against their eviction where no other agent can take them.
func TestContentionEvictsOpportunisticRuns(t *testing.T) {
	ordinary := &wire.Step{CpuMillis: 8000}
	checkpointable := &wire.Step{CpuMillis: 4000, Opportunistic: true, Checkpointable: true}
	uncheckpointed := &wire.Step{CpuMillis: 4000, Opportunistic: true}
	type outcome string
	const (
		runs, evicted, halted outcome = "runs", "evicted", "halted"
	)
	cases := []struct {
		name    string
		enabled bool
		alone   bool // there is no other agent
		steps   []*wire.Step
		want    []outcome // by run
	}{
		{"latest first, until the rest fits", true, false, []*wire.Step{ordinary, checkpointable, checkpointable}, []outcome{runs, runs, evicted}},
		{"no other agent", true, true, []*wire.Step{ordinary, checkpointable, checkpointable}, []outcome{runs, runs, halted}},
		{"only with a checkpoint", true, false, []*wire.Step{ordinary, uncheckpointed, uncheckpointed}, []outcome{runs, runs, runs}},
		{"within the capacity", true, false, []*wire.Step{ordinary, checkpointable}, []outcome{runs, runs}},
		{"switched off", false, false, []*wire.Step{ordinary, checkpointable, checkpointable}, []outcome{runs, runs, runs}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, a := contendedAgent(c.enabled, c.steps...)
			if !c.alone {
				e.addIdleAgent()
			}
			e.relieveContention(a)
			for i, r := range a.sortedRuns {
				got := runs
				switch {
				case r.stopReason != "":
					got = evicted
				case r.targetPercent == 0:
					got = halted
				}
				assert.Equal(t, got, c.want[i], "run %d", i)
			}
		})
	}
}
