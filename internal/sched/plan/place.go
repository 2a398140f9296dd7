// This file defines the scheduling pass: the order of jobs and the choice of workers.

package plan

import (
	"sort"
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

const (
	// maxBatch bounds the placements of one command.
	maxBatch = 512
	// maxSkipped is the number of an account's jobs that may fail to be placed in a pass
	// before the account is left out of it.
	maxSkipped = 16
	// maxCandidates bounds the workers scored for one job, so that the time for a choice
	// doesn't grow with the number of workers.
	maxCandidates = 256
	// candidateStride is the distance between the workers scored for one job: a prime
	// larger than a rack or a row of a failure domain, so that candidates are spread.
	candidateStride = 1009
	// A failed job waits firstBackoff before its next attempt. The back-off doubles with
	// each further failure, up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 30 * time.Second
	maxDoublings = 9
)

type (
	// Candidate is a worker with sufficient free resources for a job.
	Candidate struct {
		Job    *wire.Job
		Worker *state.Worker
		// Free is the worker's free resources before the job is placed.
		Free, Capacity, Need state.Resources
		// FailedOnWorker reports whether an earlier attempt failed on this worker.
		FailedOnWorker bool
		// Siblings is the number of the same account's standing tasks in the
		// worker's failure domain, for standing jobs.
		Siblings int
	}

	// accountQueue holds an account's queued jobs in one pass.
	accountQueue struct {
		name    string
		share   float64 // weighted dominant share
		skipped int
		jobs    []*wire.Job
	}
)

// Spread scores a worker by what remains of its scarcest resource, prefers failure domains
// with fewer standing tasks of the account, and avoids workers on which the job failed.
func Spread(c Candidate) float64 {
	left := c.Free.Sub(c.Need)
	score := 1 - c.Capacity.Sub(left).DominantShare(c.Capacity)
	if c.FailedOnWorker {
		score -= 10
	}
	return score - float64(c.Siblings)
}

// placePass places queued jobs: urgent jobs first, then by the smallest weighted dominant
// share of their account (Dominant Resource Fairness, Ghodsi et al., NSDI 2011).
func (p *Planner) placePass(now time.Time) {
	eligible := p.eligible(now)
	if len(eligible.workers) == 0 {
		return
	}
	queues := p.accountQueues(now, eligible.total)
	var batch []*wire.Placement
	for len(queues) > 0 && len(batch) < maxBatch {
		i := nextAccount(queues)
		queue := queues[i]
		j := queue.jobs[0]
		queue.jobs = queue.jobs[1:]
		if placement := p.placeJob(eligible, j); placement != nil {
			batch = append(batch, placement)
			queue.share = p.weightedShare(queue.name, eligible.total)
		} else {
			queue.skipped++
		}
		if len(queue.jobs) == 0 || queue.skipped >= maxSkipped {
			queues = append(queues[:i], queues[i+1:]...)
		}
	}
	if len(batch) > 0 {
		p.proposePlacements(batch)
	}
}

type (
	// workerView is a worker in one pass, with its sums cached, since many workers are
	// examined for each job.
	workerView struct {
		worker         *state.Worker
		free, capacity state.Resources
		// crashSuspect reports whether a job that may crash workers is placed there or
		// about to be.
		crashSuspect bool
	}

	// eligibleWorkers are the workers that hold a lease and accept new jobs.
	eligibleWorkers struct {
		workers []workerView
		total   state.Resources // capacity of all registered workers
	}
)

func (p *Planner) eligible(now time.Time) eligibleWorkers {
	eligible := eligibleWorkers{workers: make([]workerView, 0, len(p.options.Machine.Workers()))}
	for _, w := range p.options.Machine.SortedWorkers() {
		id := w.Record.WorkerId
		capacity := state.ResourcesOf(w.Record.Capacity)
		eligible.total = eligible.total.Add(capacity)
		if w.Quarantine != "" || p.options.Machine.Drained(w) || p.losing[id] || p.superseded(w) || !p.leases.Active(id, w.Record.Incarnation, now) {
			continue
		}
		eligible.workers = append(eligible.workers, workerView{worker: w, free: p.freeResources(w), capacity: capacity, crashSuspect: hasCrashSuspect(w)})
	}
	p.markCrashSuspects(eligible)
	return eligible
}

// superseded reports whether another incarnation of the worker has reported. The registered
// one has ended then, although its lease may not have expired.
func (p *Planner) superseded(w *state.Worker) bool {
	session := p.sessions[w.Record.WorkerId]
	return session != nil && session.report.Worker.Incarnation != w.Record.Incarnation
}

func (p *Planner) accountQueues(now time.Time, total state.Resources) []*accountQueue {
	var queues []*accountQueue
	for _, n := range p.options.Machine.AccountsWithQueuedJobs() {
		queue := &accountQueue{name: n, share: p.weightedShare(n, total)}
		p.options.Machine.Queued(n, func(j *wire.Job) bool {
			if _, pending := p.pending[j.JobId]; !pending && !inBackoff(j, now) {
				queue.jobs = append(queue.jobs, j)
			}
			return len(queue.jobs) < maxBatch
		})
		if len(queue.jobs) > 0 {
			queues = append(queues, queue)
		}
	}
	return queues
}

// nextAccount returns the index of the account to serve next: one with an urgent job
// if there is any, and of those the one with the smallest share.
func nextAccount(queues []*accountQueue) int {
	best := 0
	for i, q := range queues {
		current := queues[best]
		urgent, bestUrgent := q.jobs[0].Spec.Urgent, current.jobs[0].Spec.Urgent
		if urgent != bestUrgent {
			if urgent {
				best = i
			}
			continue
		}
		if q.share < current.share {
			best = i
		}
	}
	return best
}

func (p *Planner) weightedShare(account string, total state.Resources) float64 {
	weight := p.options.Machine.Account(account).GetShare()
	if weight <= 0 {
		weight = 1
	}
	return p.options.Machine.Used(account).Add(p.assumedByAccount[account]).DominantShare(total) / weight
}

// inBackoff reports whether a failed job still waits for its next attempt.
func inBackoff(j *wire.Job, now time.Time) bool {
	if j.Failures == 0 || j.EndedAt == nil {
		return false
	}
	delay := min(firstBackoff<<min(j.Failures-1, maxDoublings), maxBackoff)
	return now.Before(j.EndedAt.AsTime().Add(delay))
}

func (p *Planner) placeJob(eligible eligibleWorkers, j *wire.Job) *wire.Placement {
	need := state.ResourcesOf(j.Spec.Resources)
	account := j.Spec.ClientAccount
	quota := state.ResourcesOf(p.options.Machine.Account(account).GetQuota())
	if !p.options.Machine.Used(account).Add(p.assumedByAccount[account]).Add(need).FitsQuota(quota) {
		return nil
	}
	chosen := p.selectWorker(eligible, j, need)
	if chosen == nil {
		if j.Spec.Urgent {
			p.preempt(eligible, need)
		}
		return nil
	}
	chosen.free = chosen.free.Sub(need)
	chosen.crashSuspect = chosen.crashSuspect || isCrashSuspect(j)
	id := chosen.worker.Record.WorkerId
	p.pending[j.JobId] = pendingPlacement{worker: id, account: account, need: need}
	p.assumedByWorker[id] = p.assumedByWorker[id].Add(need)
	p.assumedByAccount[account] = p.assumedByAccount[account].Add(need)
	return &wire.Placement{
		JobId: j.JobId, Attempt: j.Attempt + 1, WorkerId: id,
		WorkerIncarnation: chosen.worker.Record.Incarnation,
	}
}

// selectWorker returns the best of up to maxCandidates workers that can take the job, or nil
// if no worker can.
func (p *Planner) selectWorker(eligible eligibleWorkers, j *wire.Job, need state.Resources) *workerView {
	var best *workerView
	var bestScore float64
	siblings := p.siblings(eligible, j)
	failedOn := p.health.failedOn[j.JobId]
	n := len(eligible.workers)
	stride := candidateStride
	if n%candidateStride == 0 {
		stride = 1 // a divisor of n would visit the same few workers repeatedly
	}
	p.cursor += stride
	for i, seen := 0, 0; i < n && seen < maxCandidates; i++ {
		view := &eligible.workers[(p.cursor+i*stride)%n]
		if !need.FitsIn(view.free) || view.crashSuspect && isCrashSuspect(j) {
			continue
		}
		seen++
		score := p.options.Score(Candidate{
			Job: j, Worker: view.worker, Free: view.free, Need: need, Capacity: view.capacity,
			FailedOnWorker: len(failedOn) > 0 && failedOn[view.worker.Record.WorkerId],
			Siblings:       siblings[view.worker.Record.FailureDomain],
		})
		if best == nil || score > bestScore {
			best, bestScore = view, score
		}
	}
	return best
}

func (p *Planner) freeResources(w *state.Worker) state.Resources {
	capacity := state.ResourcesOf(w.Record.Capacity)
	return capacity.Sub(w.Committed).Sub(p.assumedByWorker[w.Record.WorkerId])
}

// isCrashSuspect reports whether a worker crashed soon after the job was started there. A
// crash counts for all such jobs, of which at most one is the cause. Suspects are placed on
// different workers, or the harmless ones would be counted with the cause each time.
func isCrashSuspect(j *wire.Job) bool { return j.WorkerCrashes > 0 }

func hasCrashSuspect(w *state.Worker) bool {
	for _, j := range w.Tasks {
		if isCrashSuspect(j) {
			return true
		}
	}
	return false
}

// markCrashSuspects marks the workers with pending placements of crash suspects.
func (p *Planner) markCrashSuspects(eligible eligibleWorkers) {
	marked := map[string]bool{}
	for id, pl := range p.pending {
		if j := p.options.Machine.Job(id); j != nil && isCrashSuspect(j) {
			marked[pl.worker] = true
		}
	}
	for i := range eligible.workers {
		view := &eligible.workers[i]
		view.crashSuspect = view.crashSuspect || marked[view.worker.Record.WorkerId]
	}
}

// siblings returns the number of the account's standing tasks by failure domain, so that
// they can be spread, and the loss of one domain doesn't stop them all.
func (p *Planner) siblings(eligible eligibleWorkers, j *wire.Job) map[string]int {
	if j.Class != wire.JobClass_JOB_CLASS_STANDING {
		return nil
	}
	counts := map[string]int{}
	for _, v := range eligible.workers {
		for _, t := range v.worker.Tasks {
			if t.Class == j.Class && t.Spec.ClientAccount == j.Spec.ClientAccount {
				counts[v.worker.Record.FailureDomain]++
			}
		}
	}
	return counts
}

// preempt evicts the most recently started non-urgent tasks from the worker on which the
// fewest have to be evicted. They stop at a checkpoint and resume elsewhere; the urgent job
// is placed in a later pass.
func (p *Planner) preempt(eligible eligibleWorkers, need state.Resources) {
	var victims []*wire.Job
	for _, v := range eligible.workers {
		chosen, ok := p.selectVictims(v.worker, need)
		if !ok {
			continue
		}
		if len(chosen) == 0 {
			return // evictions in progress free enough
		}
		if victims == nil || len(chosen) < len(victims) {
			victims = chosen
		}
	}
	for _, j := range victims {
		p.evicting[j.JobId] = j.Attempt
		evictionsTotal.Inc()
		p.sendOrder(j, &wire.TaskOrder{Kind: wire.OrderKind_ORDER_KIND_STOP, JobId: j.JobId, Attempt: j.Attempt})
	}
}

// selectVictims returns the tasks to evict from a worker so that need fits, and whether it
// then fits.
func (p *Planner) selectVictims(w *state.Worker, need state.Resources) ([]*wire.Job, bool) {
	free := p.freeResources(w)
	var tasks []*wire.Job
	for _, j := range w.Tasks {
		if p.mustStop(j) {
			free = free.Add(state.ResourcesOf(j.Spec.Resources))
		} else if !j.Spec.Urgent && j.Class != wire.JobClass_JOB_CLASS_STANDING {
			tasks = append(tasks, j)
		}
	}
	sort.Slice(tasks, func(i, k int) bool {
		return tasks[i].StartedAt.AsTime().After(tasks[k].StartedAt.AsTime())
	})
	var chosen []*wire.Job
	for _, j := range tasks {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(state.ResourcesOf(j.Spec.Resources))
		chosen = append(chosen, j)
	}
	return chosen, need.FitsIn(free)
}

func (p *Planner) proposePlacements(batch []*wire.Placement) {
	since := p.leaderSince
	command := &wire.Command{Body: &wire.Command_PlaceTasks{PlaceTasks: &wire.PlaceTasks{Placements: batch}}}
	p.options.Propose(command, func(r state.Result, err error) {
		if !p.leaderSince.Equal(since) {
			return
		}
		for i, pl := range batch {
			p.removePending(pl.JobId)
			if err != nil {
				continue
			}
			if r.PlacementErrors[i] != nil {
				refusedTotal.Inc()
				continue
			}
			placedTotal.Inc()
			j := p.options.Machine.Job(pl.JobId)
			p.sendOrder(j, startOrder(j))
		}
		p.dirty = true
	})
}

// removePending removes a placement and the resources assumed for it.
func (p *Planner) removePending(job string) {
	pending := p.pending[job]
	delete(p.pending, job)
	p.assumedByWorker[pending.worker] = p.assumedByWorker[pending.worker].Sub(pending.need)
	p.assumedByAccount[pending.account] = p.assumedByAccount[pending.account].Sub(pending.need)
}

// sendOrder sends an order immediately instead of with the answer to the next report.
func (p *Planner) sendOrder(j *wire.Job, order *wire.TaskOrder) {
	session := p.sessions[j.WorkerId]
	if session == nil || session.report.Worker.Incarnation != j.WorkerIncarnation {
		return
	}
	p.sendAnswer(session, nil, []*wire.TaskOrder{order})
}
