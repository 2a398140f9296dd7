// This file tests jobs whose kind or client account is removed from the configuration.

package state_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

// withoutTerms returns a machine whose configuration has lost the kinds and the account of its jobs.
func withoutTerms(t *testing.T, commands ...*wire.Command) *state.Machine {
	t.Helper()
	m := state.New(state.Options{Retention: time.Hour})
	c := testConfiguration()
	c.JobKinds[0].MaxFailures = 5
	m.Apply(applyConfiguration("op", 0, c))
	assert.NilError(t, m.Apply(register("w1", "a", 20000)).Err)
	for _, command := range commands {
		assert.NilError(t, m.Apply(command).Err)
	}
	m.Apply(applyConfiguration("op-2", 1, &wire.Configuration{}))
	return m
}

// reloaded returns a machine that was loaded from a snapshot.
func reloaded(t *testing.T, m *state.Machine) *state.Machine {
	t.Helper()
	data, err := m.Save()
	assert.NilError(t, err)
	loaded := state.New(state.Options{Retention: time.Hour})
	assert.NilError(t, loaded.Load(data))
	return loaded
}

// Guards against jobs that get other attempts, other resources or no second run because their kind or
// account was removed, and against kinds that still accept jobs after that.
func TestTermsOutlastConfiguration(t *testing.T) {
	t.Run("attempts", func(t *testing.T) {
		m := reloaded(t, withoutTerms(t, submit("j", "audit", 0)))
		for attempt := uint32(1); attempt <= 5; attempt++ {
			assertJob(t, m, "j", wire.JobState_JOB_STATE_QUEUED, attempt-1)
			m.Apply(place("j", attempt, "w1", "a"))
			m.Apply(end("j", attempt, "w1", wire.TaskState_TASK_STATE_FAILED, 0))
		}
		assertJob(t, m, "j", wire.JobState_JOB_STATE_FAILED, 5)
	})
	t.Run("idempotent on a lost worker", func(t *testing.T) {
		m := withoutTerms(t, submit("j", "audit", 0), place("j", 1, "w1", "a"))
		assert.NilError(t, m.Apply(lose("w1", "a")).Err)
		assertJob(t, m, "j", wire.JobState_JOB_STATE_QUEUED, 1)
	})
	t.Run("quota", func(t *testing.T) {
		m := withoutTerms(t, submit("j", "audit", 6000), submit("k", "audit", 6000))
		assert.NilError(t, m.Apply(place("j", 1, "w1", "a")).PlacementErrors[0])
		assert.ErrorIs(t, m.Apply(place("k", 1, "w1", "a")).PlacementErrors[0], state.ErrQuota)
	})
	t.Run("accepts nothing", func(t *testing.T) {
		m := withoutTerms(t, submit("j", "audit", 0))
		assert.ErrorIs(t, m.Apply(submit("k", "audit", 0)).Err, state.ErrUnknownKind)
	})
	t.Run("forgotten with the last job", func(t *testing.T) {
		m := withoutTerms(t, submit("j", "audit", 0))
		assert.Assert(t, m.Kind("etiketa", "bill") == nil)
		c := cancel("j")
		c.At = timestamppb.New(time.Unix(0, 0))
		m.Apply(c)
		assert.Assert(t, m.Kind("etiketa", "audit") != nil && m.Account("etiketa") != nil)
		m.Apply(&wire.Command{At: timestamppb.New(time.Unix(1e6, 0)), Body: &wire.Command_Sweep{Sweep: &wire.Sweep{}}})
		assert.Assert(t, m.Kind("etiketa", "audit") == nil && m.Account("etiketa") == nil)
	})
}
