// Package worker simulates a worker, which reports to an entry, runs tasks under its lease,
// writes checkpoints, and injects faults. It starts no unit of work without a valid lease,
// so that a task never runs in two places.
package worker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/model/front"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// reportTimeout is how long a report may remain unanswered before the worker
	// reconnects to another entry.
	reportTimeout  = time.Second
	reconnectPause = 50 * time.Millisecond
	// checkpointInterval is the number of units between checkpoints.
	checkpointInterval = 5
	defaultUnits       = 10
)

type (
	// Options configures a worker.
	Options struct {
		Worker *wire.Worker
		// Balancer is shared by all workers of a process.
		Balancer       *front.Balancer
		ReportInterval time.Duration
		// UnitTime is the duration of a unit of work.
		UnitTime time.Duration
		// UsageLag is the age of reported resource usage.
		UsageLag time.Duration
		// FailEverything makes every task fail at its first unit.
		FailEverything bool
		// SizeFactor multiplies the number of units that a payload declares.
		SizeFactor float64
		// NoiseFactor multiplies UnitTime during the second half of each NoisePeriod.
		NoisePeriod time.Duration
		NoiseFactor float64
		Journal     *front.Journal
	}

	task struct {
		order         *wire.TaskOrder
		unitsDone     uint64
		checkpoint    uint64
		stopRequested bool
		throttled     bool
		finalReport   *wire.TaskReport
	}

	// Worker is a running worker.
	Worker struct {
		options   Options
		startedAt time.Time

		mu           sync.Mutex
		tasks        map[string]*task
		sequence     uint64
		reportSentAt map[uint64]time.Time
		leaseEnd     time.Time
		term         uint64
		lastAnswerAt time.Time
	}
)

// Run reports and executes tasks until ctx is done. Tasks that are running then are lost.
func Run(ctx context.Context, options Options) error {
	options.Worker.Incarnation = strconv.FormatUint(rand.Uint64(), 36)
	w := &Worker{options: options, startedAt: time.Now(), tasks: map[string]*task{}, reportSentAt: map[uint64]time.Time{}}
	go w.watchLease(ctx)
	for ctx.Err() == nil {
		conn, err := options.Balancer.Wait(ctx)
		if err != nil {
			return nil
		}
		w.stream(ctx, conn)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
	return nil
}

// stream sends reports to one entry until the stream fails or the entry stops answering.
func (w *Worker) stream(ctx context.Context, conn *grpc.ClientConn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wire.NewWorkerServiceClient(conn).Attend(ctx)
	if err != nil {
		return
	}
	go func() {
		defer cancel()
		for {
			answer, err := stream.Recv()
			if err != nil {
				return
			}
			w.handleResponse(answer)
		}
	}()
	w.mu.Lock()
	w.lastAnswerAt = time.Now()
	w.mu.Unlock()
	ticker := time.NewTicker(w.options.ReportInterval)
	defer ticker.Stop()
	for {
		if w.entryUnresponsive() || stream.Send(w.report()) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Worker) entryUnresponsive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastAnswerAt) > reportTimeout+w.options.ReportInterval
}

func (w *Worker) report() *wire.AttendRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	w.reportSentAt[w.sequence] = time.Now()
	delete(w.reportSentAt, w.sequence-100)
	r := &wire.AttendRequest{
		Worker: proto.Clone(w.options.Worker).(*wire.Worker), Sequence: w.sequence,
		Usage: &wire.Usage{Age: durationpb.New(w.options.UsageLag), MilliProcessors: uint64(len(w.tasks)) * 500},
	}
	for id, t := range w.tasks {
		if t.finalReport != nil {
			r.Tasks = append(r.Tasks, t.finalReport)
			continue
		}
		r.Tasks = append(r.Tasks, &wire.TaskReport{
			JobId: id, Attempt: t.order.Attempt, State: wire.TaskState_TASK_STATE_RUNNING, Checkpoint: t.checkpoint,
		})
	}
	return r
}

// handleResponse processes an answer. The lease, and with it the answer's start orders, is
// valid from the time at which the answered report was sent.
func (w *Worker) handleResponse(a *wire.AttendResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.Term < w.term {
		return // sent by a former leader
	}
	w.term = a.Term
	w.lastAnswerAt = time.Now()
	var validUntil time.Time
	if sent, ok := w.reportSentAt[a.Sequence]; ok && a.Lease != nil {
		validUntil = sent.Add(a.Lease.AsDuration())
	}
	if validUntil.After(w.leaseEnd) {
		w.leaseEnd = validUntil
	}
	for _, o := range a.Orders {
		w.execute(o, validUntil)
	}
}

func (w *Worker) execute(o *wire.TaskOrder, validUntil time.Time) {
	t := w.tasks[o.JobId]
	switch o.Kind {
	case wire.OrderKind_ORDER_KIND_START:
		if (t != nil && t.order.Attempt >= o.Attempt) || !time.Now().Before(validUntil) {
			return
		}
		t = &task{order: o, unitsDone: o.Checkpoint, checkpoint: o.Checkpoint}
		w.tasks[o.JobId] = t
		go w.run(t)
	case wire.OrderKind_ORDER_KIND_STOP:
		if t != nil && t.order.Attempt == o.Attempt {
			t.stopRequested = true
		}
	case wire.OrderKind_ORDER_KIND_FORGET:
		if t != nil && t.order.Attempt <= o.Attempt {
			delete(w.tasks, o.JobId)
		}
	case wire.OrderKind_ORDER_KIND_THROTTLE:
		if t != nil && t.order.Attempt == o.Attempt {
			t.throttled = true
		}
	default:
	}
}

// watchLease drops all running tasks when the lease expires.
func (w *Worker) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		if !time.Now().Before(w.leaseEnd) {
			for id, t := range w.tasks {
				if t.finalReport == nil {
					w.options.Journal.Add("dropped", id, t.order.Attempt, t.unitsDone)
					delete(w.tasks, id)
				}
			}
		}
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// run executes a task unit by unit until it ends, is dropped, or the lease expires.
func (w *Worker) run(t *task) {
	w.options.Journal.Add("start", t.order.JobId, t.order.Attempt, t.unitsDone)
	units := w.units(t.order.Spec.GetPayload())
	for {
		end, mayRun := w.nextUnit(t, units)
		if !mayRun {
			return
		}
		if end != nil {
			w.completeTask(t, end)
			return
		}
		time.Sleep(w.unitTime(t))
	}
}

// nextUnit starts the next unit, or returns the final report if the task has ended. MayRun is
// false if the worker may no longer run the task.
func (w *Worker) nextUnit(t *task, units uint64) (end *wire.TaskReport, mayRun bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.order.JobId] != t || !time.Now().Before(w.leaseEnd) {
		return nil, false
	}
	standing := t.order.Class == wire.JobClass_JOB_CLASS_STANDING
	switch {
	case t.stopRequested:
		t.checkpoint = t.unitsDone
		return &wire.TaskReport{State: wire.TaskState_TASK_STATE_STOPPED}, true
	case w.options.FailEverything:
		return &wire.TaskReport{State: wire.TaskState_TASK_STATE_FAILED, Reason: "this worker fails everything"}, true
	case t.unitsDone >= units && !standing:
		return &wire.TaskReport{State: wire.TaskState_TASK_STATE_FINISHED, Result: fmt.Appendf(nil, "%d units", t.unitsDone)}, true
	}
	t.unitsDone++
	w.options.Journal.Add("unit", t.order.JobId, t.order.Attempt, t.unitsDone)
	if t.unitsDone%checkpointInterval == 0 {
		t.checkpoint = t.unitsDone
	}
	return nil, true
}

func (w *Worker) completeTask(t *task, r *wire.TaskReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.JobId, r.Attempt, r.Checkpoint = t.order.JobId, t.order.Attempt, t.checkpoint
	t.finalReport = r
	kind := strings.ToLower(strings.TrimPrefix(r.State.String(), "TASK_STATE_"))
	w.options.Journal.Add(kind, r.JobId, r.Attempt, t.unitsDone)
}

// units parses the number of units from a payload of the form "units=N".
func (w *Worker) units(payload []byte) uint64 {
	units := uint64(defaultUnits)
	if text, ok := strings.CutPrefix(string(payload), "units="); ok {
		if n, err := strconv.ParseUint(text, 10, 32); err == nil {
			units = n
		}
	}
	if w.options.SizeFactor > 0 {
		units = uint64(float64(units) * w.options.SizeFactor)
	}
	return max(units, 1)
}

func (w *Worker) unitTime(t *task) time.Duration {
	d := float64(w.options.UnitTime)
	if p := w.options.NoisePeriod; p > 0 && time.Since(w.startedAt)%p > p/2 {
		d *= w.options.NoiseFactor
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.throttled {
		d *= 2
	}
	return time.Duration(d)
}
