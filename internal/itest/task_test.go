// This file defines the proofs about batch and standing work.

package itest

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Symptom: a standing task runs on two workers. Sequence: its worker is frozen
// past its lease, the task is placed elsewhere, and the worker thaws. Cause,
// where it fails: a lease counted from its arrival and not from the report it
// answers, or granted by a leader that has lost its term.
func TestFrozenWorkerThaws(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	c.worker("worker-0")
	c.worker("worker-1")
	c.untilWorkers(2)
	id := c.submit("entry-0", "s", "standing", "", false)
	first := c.untilState(id, wire.JobState_JOB_STATE_RUNNING)
	c.signal(first.WorkerId, syscall.SIGSTOP)
	c.until("the task runs elsewhere", func() bool {
		j := c.job(id)
		return j.GetState() == wire.JobState_JOB_STATE_RUNNING && j.WorkerId != first.WorkerId
	})
	c.signal(first.WorkerId, syscall.SIGCONT)
	c.untilWorkers(2)
	c.until("the second attempt goes on", func() bool { return c.job(id).GetCheckpoint() > first.Checkpoint+10 })
	c.assertPromises()
}

// Symptom: jobs are lost or run twice after the control leader was isolated
// or killed. Sequence: jobs run, the leader is cut off silently for longer
// than a lease, comes back, and is killed. It may neither call workers lost
// nor grant leases once it can't reach a majority.
func TestJobsOutliveTheLeader(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	for i := range 3 {
		c.worker(fmt.Sprintf("worker-%d", i))
	}
	c.untilWorkers(3)
	var ids []string
	for i := range 12 {
		ids = append(ids, c.submit(c.entries[i%2], fmt.Sprint("j", i), "batch", "units=150", false))
	}
	standing := c.submit("entry-1", "s", "standing", "", false)
	c.untilState(standing, wire.JobState_JOB_STATE_RUNNING)
	isolated := c.leader()
	c.mesh.isolate(isolated, append(c.controls, c.entries...)...)
	c.until("another leads", func() bool { l := c.status().GetLeader(); return l != "" && l != isolated })
	time.Sleep(2 * lease)
	c.mesh.heal()
	c.kill(c.leader())
	for _, id := range ids {
		c.untilState(id, wire.JobState_JOB_STATE_FINISHED)
	}
	c.untilState(standing, wire.JobState_JOB_STATE_RUNNING)
	assert.Equal(t, c.assertPromises().Finished, len(ids))
}

// Symptom: an isolated or frozen leader, once thawed, grants leases by reports
// that waited for it, beside its successor.
func TestFrozenLeaderThaws(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	c.worker("worker-0")
	c.worker("worker-1")
	c.untilWorkers(2)
	ids := []string{c.submit("entry-0", "s", "standing", "", false), c.submit("entry-0", "t", "standing", "", false)}
	for _, id := range ids {
		c.untilState(id, wire.JobState_JOB_STATE_RUNNING)
	}
	for range 3 {
		frozen := c.leader()
		c.signal(frozen, syscall.SIGSTOP)
		c.until("another leads", func() bool { l := c.status().GetLeader(); return l != "" && l != frozen })
		c.signal("worker-0", syscall.SIGSTOP)
		time.Sleep(2 * lease)
		c.signal(frozen, syscall.SIGCONT)
		c.signal("worker-0", syscall.SIGCONT)
		c.untilWorkers(2)
	}
	for _, id := range ids {
		c.untilState(id, wire.JobState_JOB_STATE_RUNNING)
	}
	c.assertPromises()
}

// Symptom: evicted work starts over, is lost, or goes on in two places.
// Sequence: a worker is full of batch tasks, urgent ones arrive, some batch
// tasks are stopped at a checkpoint and resume from there.
func TestEvictedWorkResumesOnce(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.configure()
	c.worker("worker-0")
	c.untilWorkers(1)
	var ids []string
	for i := range 4 {
		ids = append(ids, c.submit("entry-0", fmt.Sprint("b", i), "batch", "units=200", false))
	}
	for _, id := range ids {
		c.untilState(id, wire.JobState_JOB_STATE_RUNNING)
	}
	for i := range 2 {
		ids = append(ids, c.submit("entry-0", fmt.Sprint("u", i), "batch", "units=20", true))
	}
	var evictions uint32
	for _, id := range ids {
		evictions += c.untilState(id, wire.JobState_JOB_STATE_FINISHED).Evictions
	}
	assert.Equal(t, evictions, uint32(2))
	f := c.assertPromises()
	assert.Equal(t, f.Finished, len(ids))
	assert.Equal(t, f.UnitsRepeated, 0, "work before the checkpoint was done again")
}

// Symptom: a killed worker's jobs are lost or run twice. What may be repeated
// goes on elsewhere from its checkpoint; what may not ends as unknown.
func TestKilledWorker(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	c.worker("worker-0")
	c.untilWorkers(1)
	again := c.submit("entry-0", "b", "batch", "units=100", false)
	once := c.submit("entry-0", "o", "once", "units=100", false)
	c.until("both have a checkpoint", func() bool {
		return c.job(again).GetCheckpoint() > 0 && c.job(once).GetCheckpoint() > 0
	})
	c.kill("worker-0")
	c.worker("worker-1")
	j := c.untilState(again, wire.JobState_JOB_STATE_FINISHED)
	assert.Equal(t, j.Attempt, uint32(2))
	c.untilState(once, wire.JobState_JOB_STATE_OUTCOME_UNKNOWN)
	c.assertPromises()
}

// Symptom: one worker that fails everything eats all jobs. It is put aside,
// and its jobs finish elsewhere.
func TestBadWorkerIsQuarantined(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.configure()
	c.worker("bad", "--fail-everything")
	c.worker("good")
	c.untilWorkers(2)
	var ids []string
	for i := range 20 {
		ids = append(ids, c.submit("entry-0", fmt.Sprint("j", i), "batch", "units=5", false))
	}
	for _, id := range ids {
		c.untilState(id, wire.JobState_JOB_STATE_FINISHED)
	}
	ctx, cancel := c.context()
	defer cancel()
	r, err := wire.NewOperatorServiceClient(c.at("entry-0")).ListWorkers(ctx, &wire.ListWorkersRequest{})
	assert.NilError(t, err)
	assert.Assert(t, r.Workers[0].Worker.WorkerId == "bad" && r.Workers[0].QuarantineReason != "", "%v", r.Workers[0])
	assert.Equal(t, r.Workers[1].QuarantineReason, "")
}

// Cancellations come in waves, running and queued jobs alike, and some twice.
func TestCancellationWave(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	c.worker("worker-0")
	c.untilWorkers(1)
	var ids []string
	for i := range 60 {
		ids = append(ids, c.submit("entry-0", fmt.Sprint("j", i), "batch", "units=10000", false))
	}
	c.untilState(ids[0], wire.JobState_JOB_STATE_RUNNING)
	for _, wave := range [][]string{ids[:40], ids[20:]} {
		ctx, cancel := c.context()
		_, err := wire.NewJobServiceClient(c.at("entry-1")).Cancel(ctx, &wire.CancelRequest{JobIds: wave})
		cancel()
		assert.NilError(t, err)
	}
	for _, id := range ids {
		c.untilState(id, wire.JobState_JOB_STATE_CANCELLED)
	}
	after := c.submit("entry-0", "after", "batch", "units=5", false)
	c.untilState(after, wire.JobState_JOB_STATE_FINISHED)
	c.assertPromises()
}

// A job that can never run is refused with the reason, and holds up no other.
func TestJobThatCanNeverRun(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.configure()
	c.worker("worker-0")
	c.untilWorkers(1)
	ctx, cancel := c.context()
	defer cancel()
	_, err := wire.NewJobServiceClient(c.at("entry-0")).Submit(ctx, &wire.SubmitRequest{IdempotencyKey: "huge", Spec: &wire.JobSpec{
		ClientAccount: "acct", JobKind: "batch", Resources: &wire.Resources{MilliProcessors: 5000, MemoryBytes: 1},
	}})
	assert.ErrorContains(t, err, "can never run")
	c.untilState(c.submit("entry-0", "j", "batch", "units=1", false), wire.JobState_JOB_STATE_FINISHED)
}
