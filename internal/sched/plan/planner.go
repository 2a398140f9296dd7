// This file defines Planner, its options and its turn.

// Package plan decides at the control leader what runs where: it hears
// workers, grants leases, places queued jobs, moves evicted and lost ones,
// and puts workers that fail everything aside.
//
// A Planner lives on the control loop and holds soft state only. All that must
// survive is proposed as commands, and the replicated state checks each.
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
	// lossCheckInterval is how often all workers are looked at for lost leases.
	lossCheckInterval = 100 * time.Millisecond
	// sweepInterval is how often the state forgets what is old.
	sweepInterval = time.Minute
	// minPassInterval gathers what becomes due into one pass.
	minPassInterval = 2 * time.Millisecond
	// passRestFactor is how many times as long as it took a pass is followed by
	// rest, so that placement leaves the loop to commits and heartbeats
	// however many workers there are.
	passRestFactor = 3
	// passRetryInterval brings back passes that found no room, since back-offs
	// run out by time alone.
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
	// Options connect a Planner to the replica it runs beside.
	Options struct {
		Machine *state.Machine
		// Lease is how long a worker may run on without hearing from the
		// leader; Overlap how long an earlier leader may have gone on
		// granting, an election timeout.
		Lease, Overlap time.Duration
		Propose        func(*wire.Command, func(state.Result, error))
		// Leads tells whether and since when this replica leads.
		IsLeader func() (since time.Time, ok bool)
		// Confirmed is the last moment at which it surely led.
		ConfirmedAt func() time.Time
		// Term is the leader's term, by which workers know old answers.
		Term func() uint64
		// Score ranks a worker for a job, higher is better. Spread is used
		// when nil.
		Score  func(Candidate) float64
		Logger *slog.Logger
	}

	// attendance is what is known of a worker from its reports.
	workerSession struct {
		report *wire.AttendRequest
		reply  func(*wire.WorkerAnswer)
		// registering is set while a registration or loss is proposed.
		registering         bool
		proposedCompletions map[string]uint32
	}

	pendingPlacement struct {
		worker  string
		account string
		need    state.Resources
	}

	// Planner decides for one control replica while it leads.
	Planner struct {
		options     Options
		leaderSince time.Time
		leases      *lease.Table
		sessions    map[string]*workerSession
		pending     map[string]pendingPlacement
		// taken and claimed are the sums of pending, by worker and account.
		assumedByWorker, assumedByAccount map[string]state.Resources
		evicting                          map[string]uint32
		losing                            map[string]bool
		health                            *health

		dirty            bool
		lastPassDuration time.Duration
		// cursor is where the last choice among workers began.
		cursor                             int
		lastLossCheck, lastSweep, lastPass time.Time
	}
)

// New returns a planner for a replica that doesn't lead yet.
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

// Turn does what is due. It is called on the control loop, often.
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

// leading drops the soft state when leadership was gained anew: what another
// leader granted or proposed meanwhile isn't in it.
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

// Changed tells that a job was submitted, ended or cancelled.
func (p *Planner) MarkChanged() { p.dirty = true }

// Attending tells whether the worker holds a lease.
func (p *Planner) HoldsLease(worker, incarnation string, now time.Time) bool {
	return p.leases.Active(worker, incarnation, now)
}

// declareLost gives up incarnations whose leases have surely run out, so that
// their jobs can go on elsewhere.
func (p *Planner) declareLost(now time.Time) {
	for id, w := range p.options.Machine.Workers() {
		incarnation := w.Record.Incarnation
		if p.losing[id] || !p.leases.Expired(id, incarnation, now) {
			continue
		}
		p.proposeLoss(id, incarnation)
	}
}

// lose proposes the loss. From here on this leader grants the incarnation
// nothing, though the command may take a while to be committed.
func (p *Planner) proposeLoss(id, incarnation string) {
	p.losing[id] = true
	since := p.leaderSince
	a := p.sessions[id]
	replaced := a != nil && a.report.Worker.Incarnation != incarnation
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
		if a := p.sessions[id]; a != nil && a.report.Worker.Incarnation == incarnation {
			delete(p.sessions, id)
		}
		p.options.Logger.Warn("worker lost", "worker", id, "incarnation", incarnation, "replaced", replaced)
		p.dirty = true
	})
}
