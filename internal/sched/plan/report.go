// This file defines how worker reports are handled and answered.

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
	// Bounds on a worker's capacity. A report beyond them is corrupt.
	maxMilliProcessors = 10_000_000
	maxMemoryBytes     = 1 << 50
	maxAccelerators    = 1024
)

// ErrInvalidReport is wrapped by all errors of CheckReport.
var ErrInvalidReport = errors.New("impossible worker report")

// CheckReport validates a report and names the first invalid field in its error. A
// corrupt report must not distort the sums over all workers.
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

// HandleReport handles the report of one worker. Reply sends answers to the worker, also
// after HandleReport has returned.
func (p *Planner) HandleReport(now time.Time, r *wire.AttendRequest, reply func(*wire.WorkerAnswer)) {
	if !p.checkLeadership() {
		return
	}
	reportsTotal.Inc()
	if CheckReport(r) != nil {
		reportsRefused.Inc()
		return
	}
	session := p.sessions[r.Worker.WorkerId]
	if session != nil && session.report.Worker.Incarnation == r.Worker.Incarnation && r.Sequence <= session.report.Sequence {
		return // overtaken by a later report that came through another entry
	}
	if session == nil || session.report.Worker.Incarnation != r.Worker.Incarnation {
		session = &workerSession{proposedCompletions: map[string]uint32{}}
		p.sessions[r.Worker.WorkerId] = session
	}
	session.report, session.reply = r, reply
	if !p.admit(now, session) {
		p.sendAnswer(session, nil, nil)
		return
	}
	p.proposeCompletions(session)
	p.proposeCheckpoints(session)
	p.sendAnswer(session, p.grantLease(now, session), p.ordersFor(session))
}

// admit reports whether the session's incarnation is the registered one. If not, it
// proposes the next step: the loss of the earlier incarnation once its lease has expired,
// since its tasks may still run until then, or the registration of this one.
func (p *Planner) admit(now time.Time, session *workerSession) bool {
	w := session.report.Worker
	registered := p.options.Machine.Worker(w.WorkerId)
	if registered != nil && registered.Record.Incarnation == w.Incarnation {
		return !p.losing[w.WorkerId]
	}
	if registered != nil {
		if !p.losing[w.WorkerId] && p.leases.Expired(w.WorkerId, registered.Record.Incarnation, now) {
			p.proposeLoss(w.WorkerId, registered.Record.Incarnation)
		}
		return false
	}
	if !session.registering {
		p.register(now, session)
	}
	return false
}

func (p *Planner) register(now time.Time, session *workerSession) {
	session.registering = true
	p.leases.Register(session.report.Worker.WorkerId, session.report.Worker.Incarnation, now)
	command := &wire.Command{Body: &wire.Command_RegisterWorker{RegisterWorker: session.report.Worker}}
	p.options.Propose(command, func(r state.Result, err error) {
		session.registering = false
		if err != nil || r.Err != nil || p.sessions[session.report.Worker.WorkerId] != session {
			return
		}
		p.dirty = true
		// The first lease is granted with the next report, so that it starts from a
		// report sent after the registration.
	})
}

// grantLease returns a lease if this replica's leadership was confirmed within an election
// timeout, or nil. After a longer pause or partition there may be a new leader, which
// counts leases from its own election.
func (p *Planner) grantLease(now time.Time, session *workerSession) *durationpb.Duration {
	if now.Sub(p.options.ConfirmedAt()) >= p.options.Overlap {
		leasesWithheld.Inc()
		return nil
	}
	w := session.report.Worker
	first := !p.leases.Active(w.WorkerId, w.Incarnation, now)
	d := p.leases.Grant(w.WorkerId, w.Incarnation, now)
	if first {
		p.dirty = true
	}
	return durationpb.New(d)
}

func (p *Planner) sendAnswer(session *workerSession, granted *durationpb.Duration, orders []*wire.TaskOrder) {
	w := session.report.Worker
	session.reply(&wire.WorkerAnswer{
		WorkerId: w.WorkerId, Incarnation: w.Incarnation,
		Answer: &wire.AttendResponse{Sequence: session.report.Sequence, Term: p.options.Term(), Lease: granted, Orders: orders},
	})
}

// proposeCompletions proposes the ends of attempts in a report. The worker repeats each
// until the state no longer has the attempt assigned to it.
func (p *Planner) proposeCompletions(session *workerSession) {
	for _, t := range session.report.Tasks {
		if t.State == wire.TaskState_TASK_STATE_RUNNING || session.proposedCompletions[t.JobId] == t.Attempt {
			continue
		}
		if !p.isAssigned(session, t) {
			continue
		}
		p.proposeCompletion(session, t)
	}
}

func (p *Planner) proposeCompletion(session *workerSession, t *wire.TaskReport) {
	session.proposedCompletions[t.JobId] = t.Attempt
	worker := session.report.Worker.WorkerId
	command := &wire.Command{Body: &wire.Command_EndTask{EndTask: &wire.EndTask{Report: t, WorkerId: worker}}}
	p.options.Propose(command, func(r state.Result, err error) {
		delete(session.proposedCompletions, t.JobId)
		if err != nil {
			return // the next report repeats it
		}
		p.dirty = true
		if p.evicting[t.JobId] == t.Attempt {
			delete(p.evicting, t.JobId)
		}
		if r.Err == nil {
			p.recordCompletion(worker, r.Job, t)
		}
		p.sendAnswer(session, nil, []*wire.TaskOrder{{Kind: wire.OrderKind_ORDER_KIND_FORGET, JobId: t.JobId, Attempt: t.Attempt}})
	})
}

// isAssigned reports whether the state has this attempt assigned to this worker.
func (p *Planner) isAssigned(session *workerSession, t *wire.TaskReport) bool {
	w := p.options.Machine.Worker(session.report.Worker.WorkerId)
	if w == nil {
		return false
	}
	j := w.Tasks[t.JobId]
	return j != nil && j.Attempt == t.Attempt
}

func (p *Planner) proposeCheckpoints(session *workerSession) {
	var advanced []*wire.TaskReport
	for _, t := range session.report.Tasks {
		if t.State != wire.TaskState_TASK_STATE_RUNNING || !p.isAssigned(session, t) {
			continue
		}
		if t.Checkpoint > p.options.Machine.Job(t.JobId).Checkpoint {
			advanced = append(advanced, &wire.TaskReport{JobId: t.JobId, Attempt: t.Attempt, Checkpoint: t.Checkpoint})
		}
	}
	if len(advanced) == 0 {
		return
	}
	command := &wire.Command{Body: &wire.Command_SaveCheckpoints{SaveCheckpoints: &wire.SaveCheckpoints{Reports: advanced}}}
	p.options.Propose(command, func(state.Result, error) {})
}

// ordersFor returns the orders that reconcile the tasks a worker reports with the tasks
// assigned to it.
func (p *Planner) ordersFor(session *workerSession) []*wire.TaskOrder {
	reported := map[string]*wire.TaskReport{}
	var orders []*wire.TaskOrder
	for _, t := range session.report.Tasks {
		reported[t.JobId] = t
		if !p.isAssigned(session, t) {
			orders = append(orders, &wire.TaskOrder{Kind: wire.OrderKind_ORDER_KIND_FORGET, JobId: t.JobId, Attempt: t.Attempt})
		}
	}
	for _, j := range p.options.Machine.Worker(session.report.Worker.WorkerId).Tasks {
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
