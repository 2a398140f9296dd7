// This file tests the ends of runs whose job has ended.

package graph

import (
	"testing"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Guards against a panic of every replica when the last run of an ended job ends: the job is compacted
// while the command still reads its tasks.
func TestLastRunOfEndedJobEnds(t *testing.T) {
	steps := map[string]*wire.Step{"gang": {Count: 2, Gang: true}, "plain": {Count: 2}, "standing": {Count: 2, Standing: true}}
	for name, step := range steps {
		for outcome := wire.RunOutcome_RUN_OUTCOME_DONE; outcome <= wire.RunOutcome_RUN_OUTCOME_CRASHED_AT_START; outcome++ {
			t.Run(name+" "+outcome.String(), func(t *testing.T) {
				g := newTestGraph(t, step)
				g.Apply(noon, placeCommand("a1", runID(0, 0, 1), runID(0, 1, 1)))
				g.Apply(noon, endCommand("a1", runID(0, 1, 1), wire.RunOutcome_RUN_OUTCOME_BROKEN))
				g.Apply(noon, cancelCommand(jobID, "q"))
				g.Apply(noon, endCommand("a1", runID(0, 0, 1), outcome))
				assertState(t, g, wire.WorkState_WORK_STATE_CANCELLED, 0)
				assert.Equal(t, g.Job(jobID).ActiveRuns(), 0)
				assert.Assert(t, g.FindTask(runID(0, 0, 1)) == nil, "the job isn't compacted")
			})
		}
	}
}

// Guards against a panic when two members of a gang fail in its last attempt: the job has ended by the
// first.
func TestMembersFailInLastAttempt(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 2, Gang: true})
	for run := uint32(1); run <= 2; run++ {
		g.Apply(noon, placeCommand("a1", runID(0, 0, run), runID(0, 1, run)))
		for index := range uint32(2) {
			g.Apply(noon, endCommand("a1", runID(0, index, run), wire.RunOutcome_RUN_OUTCOME_FAILED))
		}
	}
	assertState(t, g, wire.WorkState_WORK_STATE_FAILED, 0)
}

// Guards against a failed end that is missing from what is kept of an ended job.
func TestFailureOfEndedJobIsKept(t *testing.T) {
	g := newTestGraph(t, &wire.Step{Count: 1})
	g.Apply(noon, placeCommand("a1", runID(0, 0, 1)))
	g.Apply(noon, cancelCommand(jobID, "q"))
	g.Apply(noon, endCommand("a1", runID(0, 0, 1), wire.RunOutcome_RUN_OUTCOME_FAILED))
	assert.Equal(t, g.Job(jobID).Record().Tasks[0].Failures, uint32(1))
}

// Guards against a snapshot with a task or an agent that isn't there, which ended the process without
// a reason.
func TestDamagedImagesAreRefused(t *testing.T) {
	cases := map[string]func(*wire.WorkImage){
		"occurrence": func(i *wire.WorkImage) { i.Jobs[0].Tasks[0].Occurrence = 1 },
		"step":       func(i *wire.WorkImage) { i.Jobs[0].Tasks[0].Step = 1 },
		"index":      func(i *wire.WorkImage) { i.Jobs[0].Tasks[0].Index = 1 },
		"agent":      func(i *wire.WorkImage) { i.Agents = nil },
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			g := newTestGraph(t, &wire.Step{Count: 1})
			g.Apply(noon, placeCommand("a1", runID(0, 0, 1)))
			image := g.Save()
			damage(image)
			assert.ErrorIs(t, New().Load(image), ErrInvalid)
		})
	}
	t.Run("later release", func(t *testing.T) {
		assert.ErrorIs(t, New().Load(&wire.WorkImage{StateVersion: Version + 1}), ErrLaterVersion)
	})
}
