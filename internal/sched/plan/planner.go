// This file defines Planner, its options and its tick.

// Package plan schedules jobs at the control leader: it handles worker reports, grants
// leases, places queued jobs, re-places jobs that were evicted or lost their worker, and
// quarantines workers that fail every job.
//
// A Planner runs on the control loop and holds soft state only. Whatever must survive a
// change of leader is proposed as a command, which the replicated state validates.
package plan

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/sched/lease"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

const (
	// lossCheckInterval is the interval at which workers are checked for expired leases.
	lossCheckInterval = 100 * time.Millisecond
	// sweepInterval is the interval at which old records are removed from the state.
	sweepInterval = time.Minute
	// minPassInterval batches changes into one scheduling pass.
	minPassInterval = 2 * time.Millisecond
	// passRestFactor is the pause between passes as a multiple of the last pass's
	// duration. It leaves the loop free for commits and heartbeats, whatever the number
	// of workers.
	passRestFactor = 3
	// passRetryInterval is the interval of passes without changes: the end of a job's
	// back-off changes nothing by itself.
	passRetryInterval = 250 * time.Millisecond
)

var (
	reportsTotal    = metrics.NewCounter("sycamoredeck_worker_reports_total")
	reportsRefused  = metrics.NewCounter("sycamoredeck_worker_reports_refused_total")
	placedTotal     = metrics.NewCounter("sycamoredeck_tasks_placed_total")
	refusedTotal    = metrics.NewCounter("sycamoredeck_placements_refused_total")
	lostTotal       = metrics.NewCounter("sycamoredeck_workers_lost_total")
	quarantineTotal = metrics.NewCounter("sycamoredeck_workers_quarantined_total")
	evictionsTotal  = metrics.NewCounter("sycamoredeck_evictions_ordered_total")
	leasesWithheld  = metrics.NewCounter("sycamoredeck_leases_withheld_total")
	placeSeconds    = metrics.NewHistogram("sycamoredeck_place_pass_seconds")
)

type (
	// Options connect a Planner to the control replica that it runs on.
	Options struct {
		Machine *state.Machine
		// Lease is how long a worker may run tasks without an answer from the leader.
		// Overlap is how long an earlier leader may still have granted leases after a new
		// one was elected: the election timeout.
		Lease, Overlap time.Duration
		Propose        func(*wire.Command, func(state.Result, error))
		// IsLeader reports whether this replica is the leader, and since when.
		IsLeader func() (since time.Time, ok bool)
		// ConfirmedAt returns the last time at which a quorum confirmed its leadership.
		ConfirmedAt func() time.Time
		// Term returns the leader's term, by which workers reject answers of old leaders.
		Term func() uint64
		// Score ranks a worker for a job; higher is better. The default is Spread.
		Score  func(Candidate) float64
		Logger *slog.Logger
	}

	// workerSession holds the latest report of a worker's incarnation.
	workerSession struct {
		report *wire.AttendRequest
		reply  func(*wire.WorkerAnswer)
		// registering is set while a registration is proposed.
		registering bool
		// proposedCompletions are the attempts whose completion is proposed, by job.
		proposedCompletions map[string]uint32
	}

	// pendingPlacement is a placement that is proposed but not committed.
	pendingPlacement struct {
		worker  string
		account string
		need    state.Resources
	}

	// Planner schedules jobs on one control replica while it is the leader.
	Planner struct {
		options     Options
		leaderSince time.Time
		leases      *lease.Table
		sessions    map[string]*workerSession
		pending     map[string]pendingPlacement
		// assumedByWorker and assumedByAccount are the sums of the resources in pending.
		assumedByWorker, assumedByAccount map[string]state.Resources
		evicting                          map[string]uint32 // attempts being evicted, by job
		losing                            map[string]bool   // workers whose loss is proposed
		health                            *health

		dirty            bool // a pass is needed
		lastPassDuration time.Duration
		// cursor is the index of the first worker considered for the last job.
		cursor                             int
		lastLossCheck, lastSweep, lastPass time.Time
	}
)

// New returns a planner for a replica that isn't the leader yet.
func New(options Options) *Planner {
	if options.Score == nil {
		options.Score = Spread
	}
	p := &Planner{options: options}
	p.reset(time.Time{})
	return p
}

func (p *Planner) reset(since time.Time) {
	p.leaderSince = since
	p.leases = lease.NewTable(since, p.options.Lease, p.options.Overlap)
	p.sessions = map[string]*workerSession{}
	p.pending = map[string]pendingPlacement{}
	p.assumedByWorker, p.assumedByAccount = map[string]state.Resources{}, map[string]state.Resources{}
	p.evicting, p.losing = map[string]uint32{}, map[string]bool{}
	p.health = newHealth()
	p.dirty = true
}

// Tick does the work that is due. The control loop calls it in each iteration.
func (p *Planner) Tick(now time.Time) {
	if !p.checkLeadership() {
		return
	}
	if now.Sub(p.lastLossCheck) >= lossCheckInterval {
		p.lastLossCheck = now
		p.declareLost(now)
	}
	if now.Sub(p.lastSweep) >= sweepInterval {
		p.lastSweep = now
		p.options.Propose(&wire.Command{Body: &wire.Command_Sweep{Sweep: &wire.Sweep{}}}, func(state.Result, error) {})
	}
	waited := now.Sub(p.lastPass)
	if (p.dirty && waited >= max(minPassInterval, passRestFactor*p.lastPassDuration)) || waited >= passRetryInterval {
		p.lastPass, p.dirty = now, false
		began := time.Now()
		p.placePass(now)
		p.lastPassDuration = time.Since(began)
		placeSeconds.Update(p.lastPassDuration.Seconds())
	}
}

// checkLeadership reports whether this replica is the leader. It resets the soft state
// when the replica was elected again, since another leader may have granted leases or
// proposed commands in between.
func (p *Planner) checkLeadership() bool {
	since, ok := p.options.IsLeader()
	if !ok {
		return false
	}
	if !since.Equal(p.leaderSince) {
		p.reset(since)
	}
	return true
}

// MarkChanged schedules a pass after a job was submitted, ended or cancelled.
func (p *Planner) MarkChanged() { p.dirty = true }

// HoldsLease reports whether the worker's incarnation holds a lease.
func (p *Planner) HoldsLease(worker, incarnation string, now time.Time) bool {
	return p.leases.Active(worker, incarnation, now)
}

// declareLost proposes the loss of workers whose leases have certainly expired, so that
// their jobs can be placed elsewhere.
func (p *Planner) declareLost(now time.Time) {
	for id, w := range p.options.Machine.Workers() {
		incarnation := w.Record.Incarnation
		if p.losing[id] || !p.leases.Expired(id, incarnation, now) {
			continue
		}
		p.proposeLoss(id, incarnation)
	}
}

// proposeLoss proposes the loss of a worker's incarnation. This leader grants it no more
// leases, even before the command is committed.
func (p *Planner) proposeLoss(id, incarnation string) {
	p.losing[id] = true
	since := p.leaderSince
	session := p.sessions[id]
	replaced := session != nil && session.report.Worker.Incarnation != incarnation
	command := &wire.Command{Body: &wire.Command_LoseWorker{LoseWorker: &wire.LoseWorker{
		WorkerId: id, Incarnation: incarnation, Replaced: replaced,
	}}}
	p.options.Propose(command, func(r state.Result, err error) {
		if !p.leaderSince.Equal(since) {
			return
		}
		delete(p.losing, id)
		if err != nil || r.Err != nil {
			return
		}
		lostTotal.Inc()
		p.leases.Remove(id)
		if session := p.sessions[id]; session != nil && session.report.Worker.Incarnation == incarnation {
			delete(p.sessions, id)
		}
		p.options.Logger.Warn("worker lost", "worker", id, "incarnation", incarnation, "replaced", replaced)
		p.dirty = true
	})
}
