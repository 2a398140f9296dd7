// This file implements the submission and inspection of jobs.

package itest

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// submit submits a job and requires that it is accepted at the first attempt.
func (c *cluster) submit(entry, key, kind, payload string, urgent bool) string {
	c.t.Helper()
	id, err := c.trySubmit(entry, key, kind, payload, urgent)
	assert.NilError(c.t, err)
	return id
}

// submitWithRetries submits a job under the same key until it is accepted. Each refusal
// must say that nothing was done.
func (c *cluster) submitWithRetries(entry, key, kind, payload string) string {
	c.t.Helper()
	id := ""
	c.waitFor(fmt.Sprintf("job %s is accepted", key), func() bool {
		var err error
		if id, err = c.trySubmit(entry, key, kind, payload, false); err == nil {
			return true
		}
		assert.Equal(c.t, status.Code(err), codes.Unavailable, "%v", err)
		assert.ErrorContains(c.t, err, "not done")
		return false
	})
	return id
}

func (c *cluster) trySubmit(entry, key, kind, payload string, urgent bool) (string, error) {
	ctx, cancel := c.context()
	defer cancel()
	r, err := wire.NewJobServiceClient(c.connTo(entry)).Submit(ctx, &wire.SubmitRequest{IdempotencyKey: key, Spec: &wire.JobSpec{
		ClientAccount: "acct", JobKind: kind, Payload: []byte(payload), Urgent: urgent,
	}})
	if err != nil {
		return "", err
	}
	return r.Job.JobId, nil
}

// job returns the job from the first entry that answers, or nil.
func (c *cluster) job(id string) *wire.Job {
	for _, e := range c.entries {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		r, err := wire.NewJobServiceClient(c.connTo(e)).Get(ctx, &wire.GetRequest{JobId: id})
		cancel()
		if err == nil {
			return r.Job
		}
	}
	return nil
}

func (c *cluster) waitJobState(id string, want wire.JobState) *wire.Job {
	c.t.Helper()
	var j *wire.Job
	c.waitFor(fmt.Sprintf("job %s is %v", id, want), func() bool {
		j = c.job(id)
		return j.GetState() == want
	})
	return j
}
