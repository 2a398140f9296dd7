// This file defines cancellations that are committed before the submission of their job.

package graph

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"sycamoredeck.example/internal/schema/wire"
)

// maxEarlyCancellations limits the cancellations of unknown jobs that are kept; the oldest are
// forgotten. They are far more than may have a submission under way, and take about 1 MB.
const maxEarlyCancellations = 10_000

// earlyCancellations are the cancellations of jobs that weren't known, in the order in which they
// were committed. A submission may still be under way, on another connection or through an
// earlier leader. The zero value is empty.
type earlyCancellations struct {
	byJob map[string]earlyCancellation
	order []string // the jobs of byJob
}

type earlyCancellation struct {
	queue string
	at    time.Time
}

func (c *earlyCancellations) add(job, queue string, at time.Time) {
	if c.byJob == nil {
		c.byJob = map[string]earlyCancellation{}
	}
	if _, known := c.byJob[job]; known {
		return
	}
	c.byJob[job] = earlyCancellation{queue, at}
	c.order = append(c.order, job)
	if len(c.order) > maxEarlyCancellations {
		c.removeOldest()
	}
}

func (c *earlyCancellations) removeOldest() {
	delete(c.byJob, c.order[0])
	c.order = c.order[1:]
}

// take removes the cancellation of a job, and reports whether it was for the queue.
func (c *earlyCancellations) take(job, queue string) bool {
	known, ok := c.byJob[job]
	if !ok || known.queue != queue {
		return false
	}
	delete(c.byJob, job)
	c.order = slices.DeleteFunc(c.order, func(o string) bool { return o == job })
	return true
}

// removeBefore removes the cancellations from before a time.
func (c *earlyCancellations) removeBefore(t time.Time) {
	for c.anyBefore(t) {
		c.removeOldest()
	}
}

// anyBefore reports whether a cancellation is from before a time.
func (c *earlyCancellations) anyBefore(t time.Time) bool {
	return len(c.order) > 0 && c.byJob[c.order[0]].at.Before(t)
}

func (c *earlyCancellations) save() []*wire.EarlyCancellation {
	var saved []*wire.EarlyCancellation
	for _, job := range c.order {
		saved = append(saved, &wire.EarlyCancellation{Job: job, Queue: c.byJob[job].queue, At: timestamppb.New(c.byJob[job].at)})
	}
	return saved
}

func (c *earlyCancellations) load(saved []*wire.EarlyCancellation) {
	for _, s := range saved {
		c.add(s.Job, s.Queue, s.At.AsTime())
	}
}
