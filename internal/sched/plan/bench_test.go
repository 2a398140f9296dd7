// This file defines the benchmarks of the planner at the design size.

package plan_test

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sycamoredeck.example/internal/sched/plan"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

const (
	benchWorkers  = 6900
	benchTasks    = 106_000
	benchAccounts = 44
)

// bench is a leader's state and planner with a given number of workers and tasks.
type bench struct {
	machine *state.Machine
	planner *plan.Planner
	now     time.Time
	jobs    int
	running []string
}

func newBench(workers, tasks int) *bench {
	b := &bench{now: time.Unix(1e9, 0), machine: state.New(state.Options{Retention: time.Hour})}
	c := &wire.Configuration{}
	for i := range benchAccounts {
		name := fmt.Sprint("account-", i)
		c.ClientAccounts = append(c.ClientAccounts, &wire.ClientAccount{Name: name, Share: 1 + float64(i%3)})
		c.JobKinds = append(c.JobKinds, &wire.JobKind{
			Name: "kind", ClientAccount: name, Class: wire.JobClass_JOB_CLASS_BATCH, Idempotent: true,
			Resources: &wire.Resources{MilliProcessors: 2000, MemoryBytes: 4 << 30},
		})
	}
	b.apply(&wire.Command{Body: &wire.Command_ApplyConfiguration{ApplyConfiguration: &wire.ApplyConfigurationRequest{OperationId: "op", Configuration: c}}})
	b.planner = plan.New(plan.Options{
		Machine: b.machine, Lease: time.Hour, Overlap: time.Hour,
		Propose:     func(c *wire.Command, done func(state.Result, error)) { done(b.apply(c), nil) },
		IsLeader:    func() (time.Time, bool) { return time.Unix(1, 0), true },
		ConfirmedAt: func() time.Time { return b.now },
		Term:        func() uint64 { return 1 },
		Logger:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	for i := range workers {
		b.report(i, 1)
		b.report(i, 2)
	}
	for len(b.running) < tasks {
		for range 400 {
			b.submit()
		}
		b.tick()
	}
	return b
}

func (b *bench) apply(c *wire.Command) state.Result {
	c.At = timestamppb.New(b.now)
	return b.machine.Apply(c)
}

func (b *bench) report(i int, sequence uint64) {
	b.planner.HandleReport(b.now, &wire.AttendRequest{Sequence: sequence, Worker: &wire.Worker{
		WorkerId: fmt.Sprint("worker-", i), Incarnation: "a", Rack: fmt.Sprint("rack-", i/8), FailureDomain: fmt.Sprint("fd-", i%16),
		Capacity: &wire.Resources{MilliProcessors: 64000, MemoryBytes: 250 << 30, Accelerators: 1},
	}}, func(*wire.WorkerAnswer) {})
}

func (b *bench) submit() {
	id := fmt.Sprintf("%036d", b.jobs)
	b.apply(&wire.Command{Body: &wire.Command_SubmitJob{SubmitJob: &wire.SubmitJob{JobId: id, IdempotencyKey: "key-" + id, Spec: &wire.JobSpec{
		ClientAccount: fmt.Sprint("account-", b.jobs%benchAccounts), JobKind: "kind", Payload: []byte("units=100"),
	}}}})
	b.jobs++
	b.running = append(b.running, id)
	b.planner.MarkChanged()
}

func (b *bench) tick() {
	b.now = b.now.Add(time.Second)
	b.planner.Tick(b.now)
}

func (b *bench) finishOldest() {
	id := b.running[0]
	b.running = b.running[1:]
	j := b.machine.Job(id)
	b.apply(&wire.Command{Body: &wire.Command_EndTask{EndTask: &wire.EndTask{WorkerId: j.WorkerId, Report: &wire.TaskReport{
		JobId: id, Attempt: j.Attempt, State: wire.TaskState_TASK_STATE_FINISHED,
	}}}})
}

// BenchmarkPlacement measures the time from a submitted job to its committed placement,
// with one job per pass (batch=1) and with several.
func BenchmarkPlacement(b *testing.B) {
	for _, c := range []struct{ workers, tasks, batch int }{
		{690, 10_600, 1}, {benchWorkers, benchTasks, 1}, {benchWorkers, benchTasks, 40},
	} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d/batch=%d", c.workers, c.tasks, c.batch), func(b *testing.B) {
			s := newBench(c.workers, c.tasks)
			b.ResetTimer()
			for b.Loop() {
				for range c.batch {
					s.finishOldest()
					s.submit()
				}
				s.tick()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*c.batch), "us/placement")
		})
	}
}

// BenchmarkReport measures the time to handle and answer one worker's report.
func BenchmarkReport(b *testing.B) {
	s := newBench(benchWorkers, benchTasks)
	sequence := uint64(3)
	b.ResetTimer()
	for b.Loop() {
		s.report(int(sequence)%benchWorkers, sequence)
		sequence++
	}
}

// BenchmarkMessageBytes measures the message sizes used in docs/CAPACITY.md.
func BenchmarkMessageBytes(b *testing.B) {
	s := newBench(16, 0)
	report := func(tasks int) int {
		r := &wire.AttendRequest{Sequence: 1 << 20, Usage: &wire.Usage{Age: durationpb.New(time.Second), MilliProcessors: 32000, MemoryBytes: 100 << 30}, Worker: &wire.Worker{
			WorkerId: "worker-1234", Incarnation: "1a2b3c4d5e6f7", Rack: "rack-123", FailureDomain: "hall-grandi",
			Capacity: &wire.Resources{MilliProcessors: 64000, MemoryBytes: 250 << 30, Accelerators: 1},
		}}
		for i := range tasks {
			r.Tasks = append(r.Tasks, &wire.TaskReport{JobId: fmt.Sprintf("%036d", i), Attempt: 1, State: wire.TaskState_TASK_STATE_RUNNING, Checkpoint: 1000})
		}
		return proto.Size(r)
	}
	answer := proto.Size(&wire.AttendResponse{Sequence: 1 << 20, Term: 10, Lease: durationpb.New(4 * time.Second)})
	for b.Loop() {
		report(15)
	}
	b.ReportMetric(float64(report(0)), "B-report")
	b.ReportMetric(float64(report(15)-report(0))/15, "B-task")
	b.ReportMetric(float64(answer), "B-answer")
	b.ReportMetric(float64(proto.Size(s.machine.Configuration())), "B-configuration")
}

// BenchmarkHeap measures the live heap of the state and planner, and the size of a snapshot.
func BenchmarkHeap(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := newBench(benchWorkers, benchTasks)
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := 0
	for b.Loop() {
		data, err := s.machine.Save()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB-live")
	b.ReportMetric(float64(size)/(1<<20), "MiB-snapshot")
	runtime.KeepAlive(s)
}
