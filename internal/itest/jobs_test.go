// This file defines how the tests hand in jobs and follow them.

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

// submit hands in a job that has to be taken at the first try.
func (c *cluster) submit(entry, key, kind, payload string, urgent bool) string {
	c.t.Helper()
	id, err := c.trySubmit(entry, key, kind, payload, urgent)
	assert.NilError(c.t, err)
	return id
}

// submitAgain hands in a job as its owners do: again, under the same key, for as long as
// the answer is that it was refused and nothing was done.
func (c *cluster) submitAgain(entry, key, kind, payload string) string {
	c.t.Helper()
	id := ""
	c.until(fmt.Sprintf("job %s is taken", key), func() bool {
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
	r, err := wire.NewJobServiceClient(c.at(entry)).Submit(ctx, &wire.SubmitRequest{IdempotencyKey: key, Spec: &wire.JobSpec{
		ClientAccount: "acct", JobKind: kind, Payload: []byte(payload), Urgent: urgent,
	}})
	if err != nil {
		return "", err
	}
	return r.Job.JobId, nil
}

// job asks any entry that answers.
func (c *cluster) job(id string) *wire.Job {
	for _, e := range c.entries {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		r, err := wire.NewJobServiceClient(c.at(e)).Get(ctx, &wire.GetRequest{JobId: id})
		cancel()
		if err == nil {
			return r.Job
		}
	}
	return nil
}

func (c *cluster) untilState(id string, want wire.JobState) *wire.Job {
	c.t.Helper()
	var j *wire.Job
	c.until(fmt.Sprintf("job %s is %v", id, want), func() bool {
		j = c.job(id)
		return j.GetState() == want
	})
	return j
}
