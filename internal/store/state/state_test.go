// This file defines the tests of the replicated state machine.

package state_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

func resources(cpu uint64) *wire.Resources {
	return &wire.Resources{MilliProcessors: cpu, MemoryBytes: cpu * 1000}
}

func testConfiguration() *wire.Configuration {
	kind := func(name string, class wire.JobClass, idempotent bool) *wire.JobKind {
		return &wire.JobKind{Name: name, ClientAccount: "etiketa", Class: class, Idempotent: idempotent, Resources: resources(1000)}
	}
	return &wire.Configuration{
		ClientAccounts: []*wire.ClientAccount{{Name: "etiketa", Share: 1, Quota: &wire.Resources{MilliProcessors: 9000}}},
		JobKinds: []*wire.JobKind{
			kind("audit", wire.JobClass_JOB_CLASS_BATCH, true),
			kind("bill", wire.JobClass_JOB_CLASS_BATCH, false),
			kind("watch", wire.JobClass_JOB_CLASS_STANDING, false),
		},
	}
}

func applyConfiguration(id string, expected uint64, c *wire.Configuration) *wire.Command {
	return &wire.Command{Body: &wire.Command_ApplyConfiguration{ApplyConfiguration: &wire.ApplyConfigurationRequest{
		OperationId: id, ExpectedVersion: expected, Configuration: c,
	}}}
}

func submit(id, kind string, cpu uint64) *wire.Command {
	spec := &wire.JobSpec{ClientAccount: "etiketa", JobKind: kind}
	if cpu > 0 {
		spec.Resources = resources(cpu)
	}
	return &wire.Command{Body: &wire.Command_SubmitJob{SubmitJob: &wire.SubmitJob{JobId: id, IdempotencyKey: "key-" + id, Spec: spec}}}
}

func register(id, incarnation string, cpu uint64) *wire.Command {
	return &wire.Command{Body: &wire.Command_RegisterWorker{RegisterWorker: &wire.Worker{
		WorkerId: id, Incarnation: incarnation, Capacity: resources(cpu),
	}}}
}

func place(job string, attempt uint32, worker, incarnation string) *wire.Command {
	return &wire.Command{Body: &wire.Command_PlaceTasks{PlaceTasks: &wire.PlaceTasks{Placements: []*wire.Placement{
		{JobId: job, Attempt: attempt, WorkerId: worker, WorkerIncarnation: incarnation},
	}}}}
}

func end(job string, attempt uint32, worker string, s wire.TaskState, checkpoint uint64) *wire.Command {
	return &wire.Command{Body: &wire.Command_EndTask{EndTask: &wire.EndTask{WorkerId: worker, Report: &wire.TaskReport{
		JobId: job, Attempt: attempt, State: s, Checkpoint: checkpoint,
	}}}}
}

func lose(worker, incarnation string) *wire.Command {
	return &wire.Command{Body: &wire.Command_LoseWorker{LoseWorker: &wire.LoseWorker{WorkerId: worker, Incarnation: incarnation}}}
}

func cancel(jobs ...string) *wire.Command {
	return &wire.Command{Body: &wire.Command_CancelJobs{CancelJobs: &wire.CancelJobs{JobIds: jobs}}}
}

// newTestMachine returns a machine with the test configuration and a worker of 4,000
// milliprocessors.
func newTestMachine(t testing.TB) *state.Machine {
	t.Helper()
	m := state.New(state.Options{Retention: time.Hour})
	m.Apply(applyConfiguration("op", 0, testConfiguration()))
	assert.NilError(t, m.Apply(register("w1", "a", 4000)).Err)
	return m
}

func assertJob(t testing.TB, m *state.Machine, id string, s wire.JobState, attempt uint32) {
	t.Helper()
	j := m.Job(id)
	assert.Assert(t, j != nil, id)
	assert.Equal(t, j.State, s, id)
	assert.Equal(t, j.Attempt, attempt, id)
}

// Guards against two concurrent operators both winning, and against a retried request
// undoing a later change.
func TestConfigurationRace(t *testing.T) {
	m := state.New(state.Options{})
	first, second := testConfiguration(), testConfiguration()
	second.ClientAccounts[0].Share = 2
	won := m.Apply(applyConfiguration("op-1", 0, first)).Apply
	assert.Equal(t, won.Outcome, wire.ApplyOutcome_APPLY_OUTCOME_APPLIED)
	lost := m.Apply(applyConfiguration("op-2", 0, second)).Apply
	assert.Equal(t, lost.Outcome, wire.ApplyOutcome_APPLY_OUTCOME_CONFLICT)
	assert.Equal(t, lost.Current.OperationId, "op-1", "the conflict doesn't name the winning operation")
	m.Apply(applyConfiguration("op-3", 1, second))
	again := m.Apply(applyConfiguration("op-1", 0, first)).Apply
	assert.Equal(t, again.Outcome, wire.ApplyOutcome_APPLY_OUTCOME_APPLIED)
	assert.Equal(t, again.Current.Version, uint64(1), "the retried operation got another answer")
	assert.Equal(t, m.Configuration().Version, uint64(2), "the retried operation changed the configuration")
	assert.ErrorIs(t, m.Apply(applyConfiguration("op-1", 2, second)).Err, state.ErrOperationReuse)
}

func TestSubmitErrors(t *testing.T) {
	cases := []struct {
		name    string
		command *wire.Command
		want    error
	}{
		{"unknown kind", submit("j", "nonsense", 0), state.ErrUnknownKind},
		{"beyond quota", submit("j", "audit", 9001), state.ErrUnschedulable},
		{"beyond every worker", submit("j", "audit", 4001), state.ErrUnschedulable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.ErrorIs(t, newTestMachine(t).Apply(c.command).Err, c.want) })
	}
	t.Run("same key", func(t *testing.T) {
		m := newTestMachine(t)
		m.Apply(submit("j", "audit", 0))
		twice := submit("k", "audit", 0)
		twice.GetSubmitJob().IdempotencyKey = "key-j"
		result := m.Apply(twice)
		assert.Assert(t, result.Duplicate)
		assert.Equal(t, result.Job.JobId, "j")
		other := submit("l", "bill", 0)
		other.GetSubmitJob().IdempotencyKey = "key-j"
		assert.ErrorIs(t, m.Apply(other).Err, state.ErrKeyReused)
	})
}

// Guards against accepting a placement that is based on an older state.
func TestPlacementErrors(t *testing.T) {
	cases := []struct {
		name    string
		before  []*wire.Command
		command *wire.Command
		want    error
	}{
		{"insufficient capacity", []*wire.Command{submit("j", "audit", 3500), submit("k", "audit", 1000), place("j", 1, "w1", "a")}, place("k", 1, "w1", "a"), state.ErrInsufficientCapacity},
		{"placed already", []*wire.Command{submit("j", "audit", 0), place("j", 1, "w1", "a")}, place("j", 2, "w1", "a"), state.ErrNotQueued},
		{"old attempt", []*wire.Command{submit("j", "audit", 0), place("j", 1, "w1", "a"), end("j", 1, "w1", wire.TaskState_TASK_STATE_STOPPED, 3)}, place("j", 1, "w1", "a"), state.ErrSuperseded},
		{"other incarnation", []*wire.Command{submit("j", "audit", 0)}, place("j", 1, "w1", "b"), state.ErrUnknownWorker},
		{"cancelled", []*wire.Command{submit("j", "audit", 0), cancel("j")}, place("j", 1, "w1", "a"), state.ErrNotQueued},
		{"quarantined", []*wire.Command{submit("j", "audit", 0), {Body: &wire.Command_Quarantine{Quarantine: &wire.Quarantine{WorkerId: "w1", Reason: "bad"}}}}, place("j", 1, "w1", "a"), state.ErrQuarantined},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMachine(t)
			for _, b := range c.before {
				assert.NilError(t, m.Apply(b).Err)
			}
			assert.ErrorIs(t, m.Apply(c.command).PlacementErrors[0], c.want)
		})
	}
}

// Guards against running work of a lost worker twice or not at all: only idempotent and
// standing jobs are queued again, at their checkpoint, and late reports are ignored.
func TestLostWorker(t *testing.T) {
	m := newTestMachine(t)
	for _, c := range []*wire.Command{submit("j", "audit", 0), submit("b", "bill", 0), submit("s", "watch", 0)} {
		m.Apply(c)
		id := c.GetSubmitJob().JobId
		m.Apply(place(id, 1, "w1", "a"))
	}
	m.Apply(&wire.Command{Body: &wire.Command_SaveCheckpoints{SaveCheckpoints: &wire.SaveCheckpoints{
		Reports: []*wire.TaskReport{{JobId: "j", Attempt: 1, Checkpoint: 7}},
	}}})
	assert.NilError(t, m.Apply(lose("w1", "a")).Err)
	assertJob(t, m, "j", wire.JobState_JOB_STATE_QUEUED, 1)
	assert.Equal(t, m.Job("j").Checkpoint, uint64(7))
	assertJob(t, m, "b", wire.JobState_JOB_STATE_OUTCOME_UNKNOWN, 1)
	assertJob(t, m, "s", wire.JobState_JOB_STATE_QUEUED, 1)
	late := m.Apply(end("j", 1, "w1", wire.TaskState_TASK_STATE_FINISHED, 9))
	assert.ErrorIs(t, late.Err, state.ErrSuperseded)
	assertJob(t, m, "j", wire.JobState_JOB_STATE_QUEUED, 1)
}

// Guards against a late report of an evicted attempt ending the current attempt on the same
// worker.
func TestLateReportOfEarlierAttempt(t *testing.T) {
	m := newTestMachine(t)
	m.Apply(submit("j", "audit", 0))
	m.Apply(place("j", 1, "w1", "a"))
	m.Apply(end("j", 1, "w1", wire.TaskState_TASK_STATE_STOPPED, 2))
	m.Apply(place("j", 2, "w1", "a"))
	assert.ErrorIs(t, m.Apply(end("j", 1, "w1", wire.TaskState_TASK_STATE_FINISHED, 9)).Err, state.ErrSuperseded)
	assertJob(t, m, "j", wire.JobState_JOB_STATE_RUNNING, 2)
}

func TestTaskEnds(t *testing.T) {
	cases := []struct {
		name, kind string
		commands   []*wire.Command
		want       wire.JobState
	}{
		{"finished", "audit", []*wire.Command{end("j", 1, "w1", wire.TaskState_TASK_STATE_FINISHED, 0)}, wire.JobState_JOB_STATE_FINISHED},
		{"stopped", "audit", []*wire.Command{end("j", 1, "w1", wire.TaskState_TASK_STATE_STOPPED, 4)}, wire.JobState_JOB_STATE_QUEUED},
		{"failed once", "audit", []*wire.Command{end("j", 1, "w1", wire.TaskState_TASK_STATE_FAILED, 0)}, wire.JobState_JOB_STATE_QUEUED},
		{"stopped after cancel", "audit", []*wire.Command{cancel("j"), end("j", 1, "w1", wire.TaskState_TASK_STATE_STOPPED, 0)}, wire.JobState_JOB_STATE_CANCELLED},
		{"finished before the stop", "audit", []*wire.Command{cancel("j"), end("j", 1, "w1", wire.TaskState_TASK_STATE_FINISHED, 0)}, wire.JobState_JOB_STATE_FINISHED},
		{"standing task finished", "watch", []*wire.Command{end("j", 1, "w1", wire.TaskState_TASK_STATE_FINISHED, 0)}, wire.JobState_JOB_STATE_QUEUED},
		{"other worker's report", "audit", []*wire.Command{end("j", 1, "w2", wire.TaskState_TASK_STATE_FINISHED, 0)}, wire.JobState_JOB_STATE_RUNNING},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMachine(t)
			m.Apply(submit("j", c.kind, 0))
			m.Apply(place("j", 1, "w1", "a"))
			for _, cm := range c.commands {
				m.Apply(cm)
			}
			assertJob(t, m, "j", c.want, 1)
		})
	}
	t.Run("failed for good", func(t *testing.T) {
		m := newTestMachine(t)
		m.Apply(submit("j", "audit", 0))
		for n := uint32(1); n <= 3; n++ {
			m.Apply(place("j", n, "w1", "a"))
			m.Apply(end("j", n, "w1", wire.TaskState_TASK_STATE_FAILED, 0))
		}
		assertJob(t, m, "j", wire.JobState_JOB_STATE_FAILED, 3)
	})
}

// Guards against sending a non-idempotent request twice when it is retried through another
// entry. Only the first nonce is granted until the request is known not to have run.
func TestDispatchIsGrantedOnce(t *testing.T) {
	m := state.New(state.Options{})
	open := func(nonce string) bool {
		return m.Apply(&wire.Command{Body: &wire.Command_OpenDispatch{OpenDispatch: &wire.DispatchRecord{
			ClientAccount: "a", RequestId: "r", Nonce: nonce, KeepUntil: timestamppb.New(time.Unix(1000, 0)),
		}}}).Dispatch.Granted
	}
	closeDispatch := func(nonce string, notRun bool) {
		m.Apply(&wire.Command{Body: &wire.Command_CloseDispatch{CloseDispatch: &wire.CloseDispatch{
			ClientAccount: "a", RequestId: "r", Nonce: nonce, NotRun: notRun,
		}}})
	}
	assert.Assert(t, open("one"))
	assert.Assert(t, open("one"), "a retry with the same nonce was denied")
	assert.Assert(t, !open("two"))
	closeDispatch("two", true)
	assert.Assert(t, !open("two"), "a close with another nonce removed the record")
	closeDispatch("one", true)
	assert.Assert(t, open("two"))
	closeDispatch("two", false)
	assert.Assert(t, !open("two") && !open("three"))
	m.Apply(&wire.Command{At: timestamppb.New(time.Unix(999, 0)), Body: &wire.Command_Sweep{Sweep: &wire.Sweep{}}})
	assert.Assert(t, !open("three"), "the record was removed too early")
}

// drawCommand draws a random command over few IDs, so that they often collide.
func drawCommand(rt *rapid.T, version uint64) *wire.Command {
	job := fmt.Sprintf("j%d", rapid.IntRange(0, 5).Draw(rt, "job"))
	worker := fmt.Sprintf("w%d", rapid.IntRange(1, 2).Draw(rt, "worker"))
	incarnation := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "incarnation")
	attempt := uint32(rapid.IntRange(1, 4).Draw(rt, "attempt"))
	kind := rapid.SampledFrom([]string{"audit", "bill", "watch"}).Draw(rt, "kind")
	switch rapid.IntRange(0, 9).Draw(rt, "command") {
	case 0:
		return submit(job, kind, uint64(rapid.IntRange(1, 5).Draw(rt, "cpu"))*1000)
	case 1, 2, 3:
		return place(job, attempt, worker, incarnation)
	case 4:
		s := rapid.SampledFrom([]wire.TaskState{wire.TaskState_TASK_STATE_FINISHED, wire.TaskState_TASK_STATE_FAILED, wire.TaskState_TASK_STATE_STOPPED}).Draw(rt, "end")
		return end(job, attempt, worker, s, uint64(attempt))
	case 5:
		return register(worker, incarnation, uint64(rapid.IntRange(1, 5).Draw(rt, "capacity"))*1000)
	case 6:
		return lose(worker, incarnation)
	case 7:
		return cancel(job)
	case 8:
		c := testConfiguration()
		if rapid.Bool().Draw(rt, "removed") {
			c = &wire.Configuration{}
		}
		return applyConfiguration(fmt.Sprint("op-", version), version, c)
	default:
		return &wire.Command{At: timestamppb.New(time.Unix(1e6, 0)), Body: &wire.Command_Sweep{Sweep: &wire.Sweep{}}}
	}
}

func assertInvariants(t rapid.TB, m *state.Machine) {
	t.Helper()
	workerOf := map[string]string{}
	var used state.Resources
	for id, w := range m.Workers() {
		var sum state.Resources
		for k, j := range w.Tasks {
			assert.Equal(t, workerOf[k], "", "%s is running on two workers", k)
			workerOf[k] = id
			assert.Equal(t, j.State, wire.JobState_JOB_STATE_RUNNING)
			assert.Equal(t, j.WorkerIncarnation, w.Record.Incarnation)
			sum = sum.Add(state.ResourcesOf(j.Spec.Resources))
		}
		assert.Equal(t, sum, w.Committed)
		assert.Assert(t, sum.FitsIn(state.ResourcesOf(w.Record.Capacity)), "%s is committed beyond its capacity", id)
		used = used.Add(sum)
	}
	assert.Equal(t, m.Used("etiketa"), used)
	assert.Assert(t, used.MilliProcessors <= 9000, "the quota is exceeded")
	queued, running, _ := m.Counts()
	seen := 0
	m.Queued("etiketa", func(j *wire.Job) bool {
		assert.Equal(t, j.State, wire.JobState_JOB_STATE_QUEUED)
		seen++
		return true
	})
	assert.Equal(t, seen, queued)
	assert.Equal(t, len(workerOf), running)
}

// Guards against committing a worker beyond its capacity or a job to two workers, and
// against replicas that diverge, one of them restored from snapshots.
func TestInvariantsUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m, other := state.New(state.Options{Retention: time.Minute}), state.New(state.Options{Retention: time.Minute})
		m.Apply(applyConfiguration("op", 0, testConfiguration()))
		other.Apply(applyConfiguration("op", 0, testConfiguration()))
		finalStates := map[string]wire.JobState{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			c := drawCommand(rt, m.Configuration().Version)
			m.Apply(c)
			other.Apply(c)
			assertInvariants(rt, m)
			for id, s := range finalStates {
				if j := m.Job(id); j != nil {
					assert.Equal(rt, j.State, s, "%s left its final state", id)
				}
			}
			clear(finalStates)
			for i := range 6 {
				if j := m.Job(fmt.Sprintf("j%d", i)); j != nil && state.Ended(j) {
					finalStates[j.JobId] = j.State
				}
			}
			if rapid.IntRange(0, 9).Draw(rt, "reload") == 0 {
				data, err := m.Save()
				assert.NilError(rt, err)
				m = state.New(state.Options{Retention: time.Minute})
				assert.NilError(rt, m.Load(data))
				assertInvariants(rt, m)
			}
		}
		a, err := m.Save()
		assert.NilError(rt, err)
		b, err := other.Save()
		assert.NilError(rt, err)
		assert.Assert(rt, bytes.Equal(a, b), "replicas differ")
	})
}
