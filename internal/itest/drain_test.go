// This file tests the draining of failure domains.

package itest

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

func (c *cluster) drain(entry, domain string, restore bool) *wire.DrainDomainResponse {
	c.t.Helper()
	ctx, cancel := c.context()
	defer cancel()
	r, err := wire.NewWorkServiceClient(c.connTo(entry)).DrainDomain(ctx, &wire.DrainDomainRequest{FailureDomain: domain, Restore: restore})
	assert.NilError(c.t, err)
	return r
}

// Guards against calls and tasks in a drained failure domain, also after the leader was
// killed and after all control processes were restarted.
func TestDrainedDomainGetsNoNewWork(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	for _, d := range []string{"east", "west"} {
		c.server("server-"+d, "--failure-domain", d, "--slots", "32")
		c.worker("worker-"+d, "--failure-domain", d)
	}
	c.waitUsable(2)
	c.waitWorkers(2)
	assert.Equal(t, c.drain("entry-0", "east", false).Answer, wire.WorkAnswer_WORK_ANSWER_DONE)
	c.waitUsable(1)
	assertOnlyWest := func(name string) {
		t.Helper()
		for i := range 4 {
			c.waitFor("a call is answered", func() bool {
				r, err := c.call(c.entries[i%2], fmt.Sprint(name, i), true)
				return err == nil && r.Outcome == wire.Outcome_OUTCOME_COMPLETED && r.BackendServerId == "server-west"
			})
			id := c.submitWithRetries(c.entries[i%2], fmt.Sprint(name, "-job-", i), "batch", "units=1")
			assert.Equal(t, c.waitJobState(id, wire.JobState_JOB_STATE_FINISHED).WorkerId, "worker-west")
		}
	}
	assertOnlyWest("drained")
	c.kill(c.leader())
	assertOnlyWest("next-leader")
	for _, n := range c.controls {
		_ = c.process(n).cmd.Process.Kill() // the former leader has already exited
		c.wait(n)
	}
	for _, n := range c.controls {
		c.restart(n)
	}
	c.leader()
	assertOnlyWest("all-restarted")
	assert.DeepEqual(t, c.status().DrainedDomains, []string{"east"})
	c.drain("entry-1", "east", true)
	c.waitUsable(2)
	c.assertNoViolations()
}
