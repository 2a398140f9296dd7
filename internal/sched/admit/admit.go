// This file defines Decide, which refuses jobs that can't be served.

// Package admit decides at their submission which jobs the leader refuses, because they fit
// no agent or would begin too late to be worth anything. A caller who is refused at once
// can return later or go elsewhere; without it the job ages in the queue, and its caller
// learns nothing until its worth is gone.
package admit

import (
	"fmt"
	"math"
	"slices"
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// RegistrationTime is how long agents have to register with a new leader before a job
	// is refused because none fits. Callers who are refused return after it, too: whatever
	// is registered then has had as much time again.
	RegistrationTime = 15 * time.Second
	// RecordTime is how long a leader records how fast work drains before it refuses any
	// because of the backlog.
	RecordTime = 5 * time.Second
	// objectives is how many times its objective a job may take before its end is worth
	// nothing to the caller.
	objectives = 3
	// longestReturn bounds the time after which a caller returns. Load varies within about
	// ten seconds, so that a longer forecast says nothing.
	shortestReturn, longestReturn = 1 * time.Second, 10 * time.Second
)

// Reasons of refusals.
const (
	Accepted Reason = iota
	NoAgent
	Backlog
	Memory
)

const (
	// smallJob is the size up to which jobs may use all memory for jobs, in bytes. Larger
	// ones leave smallShare of it.
	smallJob   = 256 << 10
	smallShare = 0.25
	// memoryReturn is when a job that found no memory may be submitted again.
	memoryReturn = 5 * time.Second
)

type (
	// Reason is why a job is refused.
	Reason int

	// Load is the work of one kind that a job competes with: ordinary or opportunistic.
	Load struct {
		// WaitingWork is what waits in the job's queue and in more urgent ones and can
		// still end within objectives times its objective, in millicores times
		// milliseconds of declared time.
		WaitingWork float64
		// DrainMillis is the rate at which such work ends at most, in millicores.
		DrainMillis float64
	}

	// Request is what the leader knows about a job that is submitted.
	Request struct {
		Spec *wire.WorkSpec
		// TermAge is how long the leader has led.
		TermAge time.Duration
		// Objective is the time in which the job should end.
		Objective time.Duration
		// Agents are the registered agents of the job's pool.
		Agents []*wire.Agent
		// HasRoom reports whether an agent has capacity free for a task of a step.
		HasRoom func(*wire.Step) bool
		// Ordinary and Opportunistic are the loads of the pool.
		Ordinary, Opportunistic Load
	}

	// Decision is the outcome for a job. The zero value accepts it.
	Decision struct {
		Reason Reason
		// Step is the step that decided.
		Step int
		// Begin is the expected time until a task of the job can start, Limit the longest
		// at which the job is accepted. Both are zero without an estimate.
		Begin, Limit time.Duration
		// RetryAfter is when the job may be submitted again.
		RetryAfter time.Duration
	}
)

var reasonNames = [...]string{Accepted: "accepted", NoAgent: "no_agent", Backlog: "backlog", Memory: "memory"}

// String returns the name used in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Decide decides about a job. It refuses only what is certain: never standing jobs and
// jobs with occurrences, which wait for capacity on purpose, and never a job that fits
// into idle capacity. The size of a job plays no role beyond that.
func Decide(r Request) Decision {
	if r.Spec.Occurrences > 0 || slices.ContainsFunc(r.Spec.Steps, (*wire.Step).GetStanding) {
		return Decision{}
	}
	if step := r.stepWithoutAgent(); step >= 0 {
		return Decision{Reason: NoAgent, Step: step, RetryAfter: RegistrationTime}
	}
	return r.decideByBacklog()
}

// DecideByMemory decides about a job of an estimated size while others take memory, which is
// limited; 0 means no limit. Large jobs leave room for small ones.
func DecideByMemory(size, taken, limit int64) Decision {
	if limit > 0 && taken+size > memoryFor(size, limit) {
		return Decision{Reason: Memory, RetryAfter: memoryReturn}
	}
	return Decision{}
}

// FitsMemory reports whether a job of an estimated size can ever be accepted.
func FitsMemory(size, limit int64) bool { return limit == 0 || size <= memoryFor(size, limit) }

func memoryFor(size, limit int64) int64 {
	if size > smallJob {
		return int64(float64(limit) * (1 - smallShare))
	}
	return limit
}

// stepWithoutAgent returns the first step whose tasks fit no agent, or -1. A pool without
// agents isn't judged: all of them may be cut off for a moment.
func (r *Request) stepWithoutAgent() int {
	if r.TermAge < RegistrationTime || len(r.Agents) == 0 {
		return -1
	}
	return slices.IndexFunc(r.Spec.Steps, func(s *wire.Step) bool {
		return !slices.ContainsFunc(r.Agents, func(a *wire.Agent) bool { return Fits(s, a) })
	})
}

// Fits reports whether a task of a step fits an agent that is empty. The CPU of an
// opportunistic task isn't counted.
func Fits(s *wire.Step, a *wire.Agent) bool {
	return (s.Opportunistic || s.CpuMillis <= a.CpuMillis) && s.MemoryMb <= a.MemoryMb && s.Accelerators <= a.Accelerators &&
		(s.RequiredLabel == "" || slices.Contains(a.Labels, s.RequiredLabel))
}

// decideByBacklog refuses a job if all of its first steps would begin too late. Steps
// without declared times have no estimate.
func (r *Request) decideByBacklog() Decision {
	if r.TermAge < RecordTime || r.Objective <= 0 {
		return Decision{}
	}
	d := Decision{Reason: Backlog, Begin: math.MaxInt64, Limit: objectives * r.Objective}
	for i, s := range r.Spec.Steps {
		if s.EstimateMs == 0 {
			return Decision{}
		}
		if len(s.After) > 0 {
			continue
		}
		load := r.Ordinary
		if s.Opportunistic {
			load = r.Opportunistic
		}
		begin, known := load.begin()
		if !known || begin <= d.Limit || r.HasRoom(s) {
			return Decision{}
		}
		if begin < d.Begin {
			d.Begin, d.Step = begin, i
		}
	}
	late := (d.Begin - d.Limit + time.Second - 1).Truncate(time.Second)
	d.RetryAfter = min(max(late, shortestReturn), longestReturn)
	return d
}

// begin returns the time in which the waiting work drains; false if nothing drains, which
// allows no forecast.
func (l Load) begin() (time.Duration, bool) {
	if l.DrainMillis <= 0 {
		return 0, false
	}
	return time.Duration(min(l.WaitingWork/l.DrainMillis, 1e9) * float64(time.Millisecond)), true
}

// Refusal is the error of a refused job.
type Refusal struct{ Decision }

// Error returns the text for the caller.
func (r *Refusal) Error() string {
	switch r.Reason {
	case NoAgent:
		return fmt.Sprintf("admit: a task of step %d fits no agent of the pool", r.Step)
	case Memory:
		return "admit: the jobs in work leave no memory for this one"
	}
	return fmt.Sprintf("admit: the job would begin after %v, which is over three times its objective", r.Begin.Round(time.Millisecond))
}
