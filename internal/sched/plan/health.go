// This file defines how faulty workers are distinguished from jobs that fail on any worker.

package plan

import (
	"fmt"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

const (
	// quarantineFailures is the number of different jobs that a worker must fail in a row to
	// be quarantined. A success in between starts the count anew.
	quarantineFailures = 3
)

type (
	// kindStats counts the ended attempts of a job kind over all workers.
	kindStats struct {
		finished, failed float64
	}

	// failureStreak holds the jobs that failed on a worker since its last success.
	failureStreak struct {
		jobs map[string]bool
		// expectedFailures is the number of them expected to fail on any worker.
		expectedFailures float64
	}

	// health tracks the failures of workers and job kinds.
	health struct {
		kinds   map[string]*kindStats
		streaks map[string]*failureStreak
		// failedOn holds the workers on which a job's earlier attempts failed, by job.
		failedOn map[string]map[string]bool
	}
)

func newHealth() *health {
	return &health{kinds: map[string]*kindStats{}, streaks: map[string]*failureStreak{}, failedOn: map[string]map[string]bool{}}
}

// failureRate returns the estimated share of a kind's attempts that fail. The estimate
// starts at 10%.
func (h *health) failureRate(kind string) float64 {
	k := h.kinds[kind]
	if k == nil {
		return 0.1
	}
	return (k.failed + 0.5) / (k.failed + k.finished + 5)
}

func (h *health) recordFinished(worker, kind, job string) {
	h.statsOf(kind).finished++
	delete(h.streaks, worker)
	delete(h.failedOn, job)
}

// recordFailed records a failed attempt and reports whether the worker has failed more
// jobs in a row than their kinds' failure rates explain.
func (h *health) recordFailed(worker, kind, job string) bool {
	s := h.streaks[worker]
	if s == nil {
		s = &failureStreak{jobs: map[string]bool{}}
		h.streaks[worker] = s
	}
	if !s.jobs[job] {
		s.expectedFailures += h.failureRate(kind)
	}
	s.jobs[job] = true
	h.statsOf(kind).failed++
	if h.failedOn[job] == nil {
		h.failedOn[job] = map[string]bool{}
	}
	h.failedOn[job][worker] = true
	return len(s.jobs) >= quarantineFailures && float64(len(s.jobs)) > 2*s.expectedFailures
}

func (h *health) statsOf(kind string) *kindStats {
	k := h.kinds[kind]
	if k == nil {
		k = &kindStats{}
		h.kinds[kind] = k
	}
	return k
}

func (p *Planner) recordCompletion(worker string, j *wire.Job, t *wire.TaskReport) {
	kind := j.Spec.ClientAccount + "/" + j.Spec.JobKind
	switch t.State {
	case wire.TaskState_TASK_STATE_FINISHED:
		p.health.recordFinished(worker, kind, j.JobId)
	case wire.TaskState_TASK_STATE_FAILED:
		if p.health.recordFailed(worker, kind, j.JobId) {
			p.proposeQuarantine(worker)
		}
		if state.Ended(j) {
			delete(p.health.failedOn, j.JobId)
		}
	default:
	}
}

func (p *Planner) proposeQuarantine(worker string) {
	registered := p.options.Machine.Worker(worker)
	if registered == nil || registered.Quarantine != "" {
		return
	}
	reason := fmt.Sprintf("failed %d jobs in a row", len(p.health.streaks[worker].jobs))
	command := &wire.Command{Body: &wire.Command_Quarantine{Quarantine: &wire.Quarantine{WorkerId: worker, Reason: reason}}}
	p.options.Propose(command, func(r state.Result, err error) {
		if err == nil && r.Err == nil {
			quarantineTotal.Inc()
			p.options.Logger.Warn("worker quarantined", "worker", worker, "reason", reason)
		}
	})
}
