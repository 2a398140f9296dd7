// This file defines the placement pass: which job is next, and where it goes.

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
	// maxSkipped is how many jobs of an account that fit nowhere are passed
	// over in one pass before the account waits.
	maxSkipped = 16
	// maxCandidates is how many workers with room are compared for one job.
	// The best of so many is taken to differ little from the best of all,
	// which isn't measured; the time of a choice no longer grows with the
	// workers.
	maxCandidates = 256
	// candidateStride is the distance between workers compared, a prime larger
	// than a rack or a failure domain's row, so that they are mixed.
	candidateStride = 1009
	// A job that failed waits firstBackoff before its next attempt, doubled
	// for each further failure up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 30 * time.Second
	maxDoublings = 9
)

type (
	// Candidate is a worker that has room for a job.
	Candidate struct {
		Job    *wire.Job
		Worker *state.Worker
		// Free is what is left before the job is placed.
		Free, Capacity, Need state.Resources
		// FailedOnWorker tells that an earlier attempt failed on this worker.
		FailedOnWorker bool
		// Siblings is the number of the same account's standing tasks in the
		// worker's failure domain, for standing jobs.
		Siblings int
	}

	accountQueue struct {
		name    string
		share   float64
		skipped int
		jobs    []*wire.Job
	}
)

// Spread prefers the worker with most left in its scarcest resource, keeps
// standing tasks of an account apart, and avoids where the job failed.
func Spread(c Candidate) float64 {
	left := c.Free.Sub(c.Need)
	score := 1 - c.Capacity.Sub(left).DominantShare(c.Capacity)
	if c.FailedOnWorker {
		score -= 10
	}
	return score - float64(c.Siblings)
}

// placePass places what has room, the account with the smallest weighted
// dominant share first (Ghodsi et al., NSDI 2011), urgent jobs before all.
func (p *Planner) placePass(now time.Time) {
	whole := p.eligible(now)
	if len(whole.workers) == 0 {
		return
	}
	claimants := p.accountQueues(now, whole.total)
	var batch []*wire.Placement
	for len(claimants) > 0 && len(batch) < maxBatch {
		i := nextAccount(claimants)
		c := claimants[i]
		j := c.jobs[0]
		c.jobs = c.jobs[1:]
		if placement := p.placeJob(whole, j); placement != nil {
			batch = append(batch, placement)
			c.share = p.weightedShare(c.name, whole.total)
		} else {
			c.skipped++
		}
		if len(c.jobs) == 0 || c.skipped >= maxSkipped {
			claimants = append(claimants[:i], claimants[i+1:]...)
		}
	}
	if len(batch) > 0 {
		p.proposePlacements(batch)
	}
}

type (
	// seat is a worker in one pass. Its sums are kept here, flat, since the
	// choice looks at every seat for every placement.
	workerView struct {
		worker         *state.Worker
		free, capacity state.Resources
		// suspect tells that a job is there, or on its way, under which a worker crashed.
		crashSuspect bool
	}

	// eligibleWorkers are those that hold a lease and may take work.
	eligibleWorkers struct {
		workers []workerView
		total   state.Resources
	}
)

func (p *Planner) eligible(now time.Time) eligibleWorkers {
	u := eligibleWorkers{workers: make([]workerView, 0, len(p.options.Machine.Workers()))}
	for _, w := range p.options.Machine.SortedWorkers() {
		id := w.Record.WorkerId
		capacity := state.ResourcesOf(w.Record.Capacity)
		u.total = u.total.Add(capacity)
		if w.Quarantine != "" || p.options.Machine.Drained(w) || p.losing[id] || !p.leases.Active(id, w.Record.Incarnation, now) {
			continue
		}
		u.workers = append(u.workers, workerView{worker: w, free: p.freeResources(w), capacity: capacity, crashSuspect: hasCrashSuspect(w)})
	}
	p.markCrashSuspects(u)
	return u
}

func (p *Planner) accountQueues(now time.Time, total state.Resources) []*accountQueue {
	var claimants []*accountQueue
	for _, name := range p.options.Machine.AccountsWithQueuedJobs() {
		c := &accountQueue{name: name, share: p.weightedShare(name, total)}
		p.options.Machine.Queued(name, func(j *wire.Job) bool {
			if _, busy := p.pending[j.JobId]; !busy && !inBackoff(j, now) {
				c.jobs = append(c.jobs, j)
			}
			return len(c.jobs) < maxBatch
		})
		if len(c.jobs) > 0 {
			claimants = append(claimants, c)
		}
	}
	return claimants
}

// neediest picks the account to serve next: one with an urgent job if there
// is any, then the smallest share.
func nextAccount(claimants []*accountQueue) int {
	best := 0
	for i, c := range claimants {
		b := claimants[best]
		urgent, bestUrgent := c.jobs[0].Spec.Urgent, b.jobs[0].Spec.Urgent
		if urgent != bestUrgent {
			if urgent {
				best = i
			}
			continue
		}
		if c.share < b.share {
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

// waits tells whether a job's back-off still runs.
func inBackoff(j *wire.Job, now time.Time) bool {
	if j.Failures == 0 || j.EndedAt == nil {
		return false
	}
	delay := min(firstBackoff<<min(j.Failures-1, maxDoublings), maxBackoff)
	return now.Before(j.EndedAt.AsTime().Add(delay))
}

func (p *Planner) placeJob(u eligibleWorkers, j *wire.Job) *wire.Placement {
	need := state.ResourcesOf(j.Spec.Resources)
	account := j.Spec.ClientAccount
	quota := state.ResourcesOf(p.options.Machine.Account(account).GetQuota())
	if !p.options.Machine.Used(account).Add(p.assumedByAccount[account]).Add(need).FitsQuota(quota) {
		return nil
	}
	chosen := p.selectWorker(u, j, need)
	if chosen == nil {
		if j.Spec.Urgent {
			p.preempt(u, need)
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

// choose returns the best of some workers that have room; nil only when none
// at all has.
func (p *Planner) selectWorker(u eligibleWorkers, j *wire.Job, need state.Resources) *workerView {
	var best *workerView
	var bestScore float64
	siblings := p.siblings(u, j)
	failedOn := p.health.failedOn[j.JobId]
	n := len(u.workers)
	stride := candidateStride
	if n%candidateStride == 0 {
		stride = 1 // or it would come back to the same few
	}
	p.cursor += stride
	for i, seen := 0, 0; i < n && seen < maxCandidates; i++ {
		s := &u.workers[(p.cursor+i*stride)%n]
		if !need.FitsIn(s.free) || s.crashSuspect && isCrashSuspect(j) {
			continue
		}
		seen++
		score := p.options.Score(Candidate{
			Job: j, Worker: s.worker, Free: s.free, Need: need, Capacity: s.capacity,
			FailedOnWorker: len(failedOn) > 0 && failedOn[s.worker.Record.WorkerId],
			Siblings:       siblings[s.worker.Record.FailureDomain],
		})
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

func (p *Planner) freeResources(w *state.Worker) state.Resources {
	capacity := state.ResourcesOf(w.Record.Capacity)
	return capacity.Sub(w.Committed).Sub(p.assumedByWorker[w.Record.WorkerId])
}

// suspect tells whether a job may be one that ends its workers. Of the jobs that go with
// a worker at most one is the cause, and all are counted: if they came to the next
// worker together, those which do no harm would be counted with it each time.
func isCrashSuspect(j *wire.Job) bool { return j.WorkerCrashes > 0 }

func hasCrashSuspect(w *state.Worker) bool {
	for _, j := range w.Tasks {
		if isCrashSuspect(j) {
			return true
		}
	}
	return false
}

// markCrashSuspects marks the workers to which suspects are on their way.
func (p *Planner) markCrashSuspects(u eligibleWorkers) {
	on := map[string]bool{}
	for id, pending := range p.pending {
		if j := p.options.Machine.Job(id); j != nil && isCrashSuspect(j) {
			on[pending.worker] = true
		}
	}
	for i := range u.workers {
		s := &u.workers[i]
		s.crashSuspect = s.crashSuspect || on[s.worker.Record.WorkerId]
	}
}

// siblings counts an account's standing tasks by failure domain, so that the
// loss of one domain doesn't stop them all.
func (p *Planner) siblings(u eligibleWorkers, j *wire.Job) map[string]int {
	if j.Class != wire.JobClass_JOB_CLASS_STANDING {
		return nil
	}
	counts := map[string]int{}
	for _, s := range u.workers {
		for _, t := range s.worker.Tasks {
			if t.Class == j.Class && t.Spec.ClientAccount == j.Spec.ClientAccount {
				counts[s.worker.Record.FailureDomain]++
			}
		}
	}
	return counts
}

// preempt orders the eviction of the youngest tasks that aren't urgent, from
// the worker where the fewest have to go. They stop at a checkpoint and resume
// elsewhere; the urgent job is placed once they have.
func (p *Planner) preempt(u eligibleWorkers, need state.Resources) {
	var victims []*wire.Job
	for _, s := range u.workers {
		chosen, ok := p.selectVictims(s.worker, need)
		if !ok {
			continue
		}
		if len(chosen) == 0 {
			return // enough is on its way out already
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
		for i, placement := range batch {
			p.removePending(placement.JobId)
			if err != nil {
				continue
			}
			if r.PlacementErrors[i] != nil {
				refusedTotal.Inc()
				continue
			}
			placedTotal.Inc()
			j := p.options.Machine.Job(placement.JobId)
			p.sendOrder(j, startOrder(j))
		}
		p.dirty = true
	})
}

// settle takes a placement out of the sums of what is pending.
func (p *Planner) removePending(job string) {
	pending := p.pending[job]
	delete(p.pending, job)
	p.assumedByWorker[pending.worker] = p.assumedByWorker[pending.worker].Sub(pending.need)
	p.assumedByAccount[pending.account] = p.assumedByAccount[pending.account].Sub(pending.need)
}

// sendOrder sends an order at once, ahead of the worker's next report.
func (p *Planner) sendOrder(j *wire.Job, order *wire.TaskOrder) {
	a := p.sessions[j.WorkerId]
	if a == nil || a.report.Worker.Incarnation != j.WorkerIncarnation {
		return
	}
	p.sendAnswer(a, nil, []*wire.TaskOrder{order})
}
