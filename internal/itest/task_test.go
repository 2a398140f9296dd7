// This file tests batch jobs and standing tasks.

package itest

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/model/audit"
	"sycamoredeck.example/internal/model/front"
	"sycamoredeck.example/internal/schema/wire"
)

// Guards against a standing task that runs on two workers after one was frozen past its
// lease: the lease must count from the report that it answers, and must not be granted by a
// deposed leader.
func TestWorkerResumesAfterFreeze(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	c.worker("worker-0")
	c.worker("worker-1")
	c.waitWorkers(2)
	id := c.submit("entry-0", "s", "standing", "", false)
	first := c.waitJobState(id, wire.JobState_JOB_STATE_RUNNING)
	c.signal(first.WorkerId, syscall.SIGSTOP)
	c.waitFor("the task runs elsewhere", func() bool {
		j := c.job(id)
		return j.GetState() == wire.JobState_JOB_STATE_RUNNING && j.WorkerId != first.WorkerId
	})
	c.signal(first.WorkerId, syscall.SIGCONT)
	c.waitWorkers(2)
	c.waitFor("the second attempt makes progress", func() bool { return c.job(id).GetCheckpoint() > first.Checkpoint+10 })
	c.assertNoViolations()
}

// Guards against losing jobs or running them twice when the leader is isolated and killed.
// An isolated leader must neither declare workers lost nor grant leases.
func TestJobsSurviveLeaderFailure(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	for i := range 3 {
		c.worker(fmt.Sprintf("worker-%d", i))
	}
	c.waitWorkers(3)
	var ids []string
	for i := range 12 {
		ids = append(ids, c.submit(c.entries[i%2], fmt.Sprint("j", i), "batch", "units=150", false))
	}
	standing := c.submit("entry-1", "s", "standing", "", false)
	c.waitJobState(standing, wire.JobState_JOB_STATE_RUNNING)
	isolated := c.leader()
	c.mesh.isolate(isolated, append(c.controls, c.entries...)...)
	c.waitFor("another leader is elected", func() bool { l := c.status().GetLeader(); return l != "" && l != isolated })
	time.Sleep(2 * workerLease)
	c.mesh.heal()
	c.kill(c.leader())
	for _, id := range ids {
		c.waitJobState(id, wire.JobState_JOB_STATE_FINISHED)
	}
	c.waitJobState(standing, wire.JobState_JOB_STATE_RUNNING)
	assert.Equal(t, c.assertNoViolations().Finished, len(ids))
}

// Guards against a leader that resumes after a freeze and grants leases for queued reports
// while its successor leads.
func TestLeaderResumesAfterFreeze(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	c.worker("worker-0")
	c.worker("worker-1")
	c.waitWorkers(2)
	ids := []string{c.submit("entry-0", "s", "standing", "", false), c.submit("entry-0", "t", "standing", "", false)}
	for _, id := range ids {
		c.waitJobState(id, wire.JobState_JOB_STATE_RUNNING)
	}
	for range 3 {
		frozen := c.leader()
		c.signal(frozen, syscall.SIGSTOP)
		c.waitFor("another leader is elected", func() bool { l := c.status().GetLeader(); return l != "" && l != frozen })
		c.signal("worker-0", syscall.SIGSTOP)
		time.Sleep(2 * workerLease)
		c.signal(frozen, syscall.SIGCONT)
		c.signal("worker-0", syscall.SIGCONT)
		c.waitWorkers(2)
	}
	for _, id := range ids {
		c.waitJobState(id, wire.JobState_JOB_STATE_RUNNING)
	}
	c.assertNoViolations()
}

// Guards against evicted tasks that start over, are lost, or run twice: they must resume at
// their checkpoints.
func TestEvictedWorkResumesOnce(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.configure()
	c.worker("worker-0")
	c.waitWorkers(1)
	var ids []string
	for i := range 4 {
		ids = append(ids, c.submit("entry-0", fmt.Sprint("b", i), "batch", "units=200", false))
	}
	for _, id := range ids {
		c.waitJobState(id, wire.JobState_JOB_STATE_RUNNING)
	}
	for i := range 2 {
		ids = append(ids, c.submit("entry-0", fmt.Sprint("u", i), "batch", "units=20", true))
	}
	var evictions uint32
	for _, id := range ids {
		evictions += c.waitJobState(id, wire.JobState_JOB_STATE_FINISHED).Evictions
	}
	assert.Equal(t, evictions, uint32(2))
	f := c.assertNoViolations()
	assert.Equal(t, f.Finished, len(ids))
	assert.Equal(t, f.UnitsRepeated, 0, "units before the checkpoint were repeated")
}

// Checks that idempotent jobs of a killed worker resume elsewhere from a checkpoint, and
// that others end as unknown.
func TestKilledWorker(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	c.worker("worker-0")
	c.waitWorkers(1)
	again := c.submit("entry-0", "b", "batch", "units=100", false)
	once := c.submit("entry-0", "o", "once", "units=100", false)
	c.waitFor("both have a checkpoint", func() bool {
		return c.job(again).GetCheckpoint() > 0 && c.job(once).GetCheckpoint() > 0
	})
	c.kill("worker-0")
	c.worker("worker-1")
	j := c.waitJobState(again, wire.JobState_JOB_STATE_FINISHED)
	assert.Equal(t, j.Attempt, uint32(2))
	c.waitJobState(once, wire.JobState_JOB_STATE_OUTCOME_UNKNOWN)
	c.assertNoViolations()
}

// Guards against a worker that fails all tasks and consumes all attempts of jobs.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.configure()
	c.worker("bad", "--fail-everything")
	c.worker("good")
	c.waitWorkers(2)
	var ids []string
	for i := range 20 {
		ids = append(ids, c.submit("entry-0", fmt.Sprint("j", i), "batch", "units=5", false))
	}
	for _, id := range ids {
		c.waitJobState(id, wire.JobState_JOB_STATE_FINISHED)
	}
	ctx, cancel := c.context()
	defer cancel()
	r, err := wire.NewOperatorServiceClient(c.connTo("entry-0")).ListWorkers(ctx, &wire.ListWorkersRequest{})
	assert.NilError(t, err)
	assert.Assert(t, r.Workers[0].Worker.WorkerId == "bad" && r.Workers[0].QuarantineReason != "", "%v", r.Workers[0])
	assert.Equal(t, r.Workers[1].QuarantineReason, "")
}

// Checks repeated cancellations of running and queued jobs.
func TestOverlappingCancellations(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	c.worker("worker-0")
	c.waitWorkers(1)
	var ids []string
	for i := range 60 {
		ids = append(ids, c.submit("entry-0", fmt.Sprint("j", i), "batch", "units=10000", false))
	}
	c.waitJobState(ids[0], wire.JobState_JOB_STATE_RUNNING)
	for _, w := range [][]string{ids[:40], ids[20:]} {
		ctx, cancel := c.context()
		_, err := wire.NewJobServiceClient(c.connTo("entry-1")).Cancel(ctx, &wire.CancelRequest{JobIds: w})
		cancel()
		assert.NilError(t, err)
	}
	for _, id := range ids {
		c.waitJobState(id, wire.JobState_JOB_STATE_CANCELLED)
	}
	after := c.submit("entry-0", "after", "batch", "units=5", false)
	c.waitJobState(after, wire.JobState_JOB_STATE_FINISHED)
	c.assertNoViolations()
}

// Guards against workers that go on with cancelled jobs, also when the leader ends right after it has
// acknowledged the cancellations.
func TestCancelledJobsStop(t *testing.T) {
	for _, name := range []string{"calm", "leader killed", "leader frozen"} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 2)
			c.configure()
			c.worker("worker-0")
			c.worker("worker-1")
			c.waitWorkers(2)
			journal, err := front.OpenJournal(c.journal("operator"), "operator")
			assert.NilError(t, err)
			var ids []string
			for i := range 12 {
				ids = append(ids, c.submit("entry-0", fmt.Sprint("j", i), []string{"batch", "standing"}[i%2], "units=10000", false))
			}
			c.waitJobState(ids[0], wire.JobState_JOB_STATE_RUNNING)
			leader := c.leader()
			ctx, cancel := c.context()
			_, err = wire.NewJobServiceClient(c.connTo("entry-1")).Cancel(ctx, &wire.CancelRequest{JobIds: ids})
			cancel()
			assert.NilError(t, err)
			for _, id := range ids {
				journal.Add(audit.Cancelled, id, 0, 0)
			}
			switch name {
			case "leader killed":
				c.kill(leader)
				journal.Add(audit.Fault, "", 0, 0)
			case "leader frozen":
				c.signal(leader, syscall.SIGSTOP)
				journal.Add(audit.Fault, "", 0, 0)
			}
			time.Sleep(audit.ContactTime + audit.CancelLimit + 2*time.Second)
			c.assertNoViolations()
		})
	}
}

// Checks that a job that no worker can ever run is refused and doesn't block others.
func TestInfeasibleJobIsRefused(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.configure()
	c.worker("worker-0")
	c.waitWorkers(1)
	ctx, cancel := c.context()
	defer cancel()
	_, err := wire.NewJobServiceClient(c.connTo("entry-0")).Submit(ctx, &wire.SubmitRequest{IdempotencyKey: "huge", Spec: &wire.JobSpec{
		ClientAccount: "acct", JobKind: "batch", Resources: &wire.Resources{MilliProcessors: 5000, MemoryBytes: 1},
	}})
	assert.ErrorContains(t, err, "can never run")
	c.waitJobState(c.submit("entry-0", "j", "batch", "units=1", false), wire.JobState_JOB_STATE_FINISHED)
}
