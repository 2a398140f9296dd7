// This file defines how worker reports are heard and answered.

package plan

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

const (
	maxTasksReported = 4096
	maxNameBytes     = 128
	// Bounds on what a worker can be; anything beyond is a garbled report.
	maxMilliProcessors = 10_000_000
	maxMemoryBytes     = 1 << 50
	maxAccelerators    = 1024
)

// ErrInvalidReport is wrapped by every refusal of a report.
var ErrInvalidReport = errors.New("impossible worker report")

// CheckReport refuses a report that no sound worker sends, and names the
// field. One worker's garbage must not reach the sums of others.
func CheckReport(r *wire.AttendRequest) error {
	w := r.GetWorker()
	c := w.GetCapacity()
	switch {
	case w.GetWorkerId() == "" || len(w.WorkerId) > maxNameBytes:
		return fmt.Errorf("%w: Worker.WorkerId must have 1 to %d bytes", ErrInvalidReport, maxNameBytes)
	case w.Incarnation == "" || len(w.Incarnation) > maxNameBytes:
		return fmt.Errorf("%w: Worker.Incarnation must have 1 to %d bytes", ErrInvalidReport, maxNameBytes)
	case r.Sequence == 0:
		return fmt.Errorf("%w: Sequence must be at least 1", ErrInvalidReport)
	case c.GetMilliProcessors() == 0 || c.MilliProcessors > maxMilliProcessors:
		return fmt.Errorf("%w: Worker.Capacity.MilliProcessors must be 1 to %d", ErrInvalidReport, maxMilliProcessors)
	case c.MemoryBytes == 0 || c.MemoryBytes > maxMemoryBytes:
		return fmt.Errorf("%w: Worker.Capacity.MemoryBytes must be 1 to %d", ErrInvalidReport, int64(maxMemoryBytes))
	case c.Accelerators > maxAccelerators:
		return fmt.Errorf("%w: Worker.Capacity.Accelerators must be at most %d", ErrInvalidReport, maxAccelerators)
	case len(r.Tasks) > maxTasksReported:
		return fmt.Errorf("%w: Tasks may hold %d", ErrInvalidReport, maxTasksReported)
	}
	return checkTasks(r.Tasks)
}

func checkTasks(tasks []*wire.TaskReport) error {
	for i, t := range tasks {
		if t.JobId == "" || t.Attempt == 0 || t.State == wire.TaskState_TASK_STATE_UNSPECIFIED {
			return fmt.Errorf("%w: Tasks[%d] lacks JobId, Attempt or State", ErrInvalidReport, i)
		}
	}
	return nil
}

// Report hears one worker. Reply sends answers to it, now and later.
func (p *Planner) HandleReport(now time.Time, r *wire.AttendRequest, reply func(*wire.WorkerAnswer)) {
	if !p.checkLeadership() {
		return
	}
	reportsTotal.Inc()
	if CheckReport(r) != nil {
		reportsRefused.Inc()
		return
	}
	a := p.sessions[r.Worker.WorkerId]
	if a != nil && a.report.Worker.Incarnation == r.Worker.Incarnation && r.Sequence <= a.report.Sequence {
		return // overtaken on its way through another entry
	}
	if a == nil || a.report.Worker.Incarnation != r.Worker.Incarnation {
		a = &workerSession{proposedCompletions: map[string]uint32{}}
		p.sessions[r.Worker.WorkerId] = a
	}
	a.report, a.reply = r, reply
	if !p.admit(now, a) {
		p.sendAnswer(a, nil, nil)
		return
	}
	p.proposeCompletions(a)
	p.proposeCheckpoints(a)
	p.sendAnswer(a, p.grantLease(now, a), p.ordersFor(a))
}

// admit tells whether this incarnation is the registered one, and takes the
// steps that make it so: the incarnation before it must be lost first, which
// waits for its lease, since its tasks may run on.
func (p *Planner) admit(now time.Time, a *workerSession) bool {
	w := a.report.Worker
	known := p.options.Machine.Worker(w.WorkerId)
	if known != nil && known.Record.Incarnation == w.Incarnation {
		return !p.losing[w.WorkerId]
	}
	if known != nil {
		if !p.losing[w.WorkerId] && p.leases.Expired(w.WorkerId, known.Record.Incarnation, now) {
			p.proposeLoss(w.WorkerId, known.Record.Incarnation)
		}
		return false
	}
	if !a.registering {
		p.register(now, a)
	}
	return false
}

func (p *Planner) register(now time.Time, a *workerSession) {
	a.registering = true
	p.leases.Register(a.report.Worker.WorkerId, a.report.Worker.Incarnation, now)
	command := &wire.Command{Body: &wire.Command_RegisterWorker{RegisterWorker: a.report.Worker}}
	p.options.Propose(command, func(r state.Result, err error) {
		a.registering = false
		if err != nil || r.Err != nil || p.sessions[a.report.Worker.WorkerId] != a {
			return
		}
		p.dirty = true
		// No lease yet: it waits for the next report, so that it runs from a
		// report sent after the registration.
	})
}

// grant returns a lease if this replica surely led a moment ago. A leader that
// was frozen or cut off for longer than an election timeout may have a
// successor, which counts lost workers from its own start.
func (p *Planner) grantLease(now time.Time, a *workerSession) *durationpb.Duration {
	if now.Sub(p.options.ConfirmedAt()) >= p.options.Overlap {
		leasesWithheld.Inc()
		return nil
	}
	w := a.report.Worker
	first := !p.leases.Active(w.WorkerId, w.Incarnation, now)
	d := p.leases.Grant(w.WorkerId, w.Incarnation, now)
	if first {
		p.dirty = true
	}
	return durationpb.New(d)
}

func (p *Planner) sendAnswer(a *workerSession, granted *durationpb.Duration, orders []*wire.TaskOrder) {
	w := a.report.Worker
	a.reply(&wire.WorkerAnswer{
		WorkerId: w.WorkerId, Incarnation: w.Incarnation,
		Answer: &wire.AttendResponse{Sequence: a.report.Sequence, Term: p.options.Term(), Lease: granted, Orders: orders},
	})
}

// proposeCompletions commits the ends that a report tells of. The worker goes on
// reporting each until the state no longer holds the attempt.
func (p *Planner) proposeCompletions(a *workerSession) {
	for _, t := range a.report.Tasks {
		if t.State == wire.TaskState_TASK_STATE_RUNNING || a.proposedCompletions[t.JobId] == t.Attempt {
			continue
		}
		if !p.isAssigned(a, t) {
			continue
		}
		p.proposeCompletion(a, t)
	}
}

func (p *Planner) proposeCompletion(a *workerSession, t *wire.TaskReport) {
	a.proposedCompletions[t.JobId] = t.Attempt
	worker := a.report.Worker.WorkerId
	command := &wire.Command{Body: &wire.Command_EndTask{EndTask: &wire.EndTask{Report: t, WorkerId: worker}}}
	p.options.Propose(command, func(r state.Result, err error) {
		delete(a.proposedCompletions, t.JobId)
		if err != nil {
			return // the next report brings it again
		}
		p.dirty = true
		if p.evicting[t.JobId] == t.Attempt {
			delete(p.evicting, t.JobId)
		}
		if r.Err == nil {
			p.recordCompletion(worker, r.Job, t)
		}
		p.sendAnswer(a, nil, []*wire.TaskOrder{{Kind: wire.OrderKind_ORDER_KIND_FORGET, JobId: t.JobId, Attempt: t.Attempt}})
	})
}

// holds tells whether the state has this attempt running on this worker.
func (p *Planner) isAssigned(a *workerSession, t *wire.TaskReport) bool {
	w := p.options.Machine.Worker(a.report.Worker.WorkerId)
	if w == nil {
		return false
	}
	j := w.Tasks[t.JobId]
	return j != nil && j.Attempt == t.Attempt
}

func (p *Planner) proposeCheckpoints(a *workerSession) {
	var fresh []*wire.TaskReport
	for _, t := range a.report.Tasks {
		if t.State != wire.TaskState_TASK_STATE_RUNNING || !p.isAssigned(a, t) {
			continue
		}
		if t.Checkpoint > p.options.Machine.Job(t.JobId).Checkpoint {
			fresh = append(fresh, &wire.TaskReport{JobId: t.JobId, Attempt: t.Attempt, Checkpoint: t.Checkpoint})
		}
	}
	if len(fresh) == 0 {
		return
	}
	command := &wire.Command{Body: &wire.Command_SaveCheckpoints{SaveCheckpoints: &wire.SaveCheckpoints{Reports: fresh}}}
	p.options.Propose(command, func(state.Result, error) {})
}

// orders compares what the worker reports with what it should hold.
func (p *Planner) ordersFor(a *workerSession) []*wire.TaskOrder {
	reported := map[string]*wire.TaskReport{}
	var orders []*wire.TaskOrder
	for _, t := range a.report.Tasks {
		reported[t.JobId] = t
		if !p.isAssigned(a, t) {
			orders = append(orders, &wire.TaskOrder{Kind: wire.OrderKind_ORDER_KIND_FORGET, JobId: t.JobId, Attempt: t.Attempt})
		}
	}
	for _, j := range p.options.Machine.Worker(a.report.Worker.WorkerId).Tasks {
		t := reported[j.JobId]
		if t == nil || t.Attempt < j.Attempt {
			orders = append(orders, startOrder(j))
		}
		if p.mustStop(j) && (t == nil || t.State == wire.TaskState_TASK_STATE_RUNNING) {
			orders = append(orders, &wire.TaskOrder{Kind: wire.OrderKind_ORDER_KIND_STOP, JobId: j.JobId, Attempt: j.Attempt})
		}
	}
	return orders
}

func (p *Planner) mustStop(j *wire.Job) bool {
	return j.CancelRequested || p.evicting[j.JobId] == j.Attempt
}

func startOrder(j *wire.Job) *wire.TaskOrder {
	return &wire.TaskOrder{
		Kind: wire.OrderKind_ORDER_KIND_START, JobId: j.JobId, Attempt: j.Attempt,
		Checkpoint: j.Checkpoint, Spec: j.Spec, Class: j.Class,
	}
}
