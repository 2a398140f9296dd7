// This file defines the tests of which jobs are refused.

package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// request returns a request that is refused for the backlog: 8 s of work, and a limit of 6 s.
func request() Request {
	load := Load{WaitingWork: 80_000_000, DrainMillis: 10_000}
	return Request{
		Spec:    &wire.WorkSpec{Steps: []*wire.Step{{CpuMillis: 2000, MemoryMb: 10, EstimateMs: 1000}}},
		TermAge: RecordTime, Objective: 2 * time.Second, HasRoom: func(*wire.Step) bool { return false },
		Agents:   []*wire.Agent{{CpuMillis: 4000, MemoryMb: 100}, {CpuMillis: 1000, MemoryMb: 200, Labels: []string{"a"}}},
		Ordinary: load, Opportunistic: load,
	}
}

// Guards against refusing a job that could be served, and against accepting one that could not.
func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Request, *wire.Step)
		want   Reason
	}{
		{"backlog", func(*Request, *wire.Step) {}, Backlog},
		{"backlog that drains in time", func(r *Request, _ *wire.Step) { r.Ordinary.WaitingWork = 60_000_000 }, Accepted},
		{"no record of rates", func(r *Request, _ *wire.Step) { r.TermAge = RecordTime - 1 }, Accepted},
		{"nothing drains", func(r *Request, _ *wire.Step) { r.Ordinary.DrainMillis = 0 }, Accepted},
		{"idle capacity", func(r *Request, _ *wire.Step) { r.HasRoom = func(*wire.Step) bool { return true } }, Accepted},
		{"no declared time", func(_ *Request, s *wire.Step) { s.EstimateMs = 0 }, Accepted},
		{"other kind of work waits", func(r *Request, s *wire.Step) { r.Opportunistic.WaitingWork, s.Opportunistic = 0, true }, Accepted},
		{"one first step begins in time", func(r *Request, _ *wire.Step) {
			r.Opportunistic.WaitingWork = 0
			r.Spec.Steps = append(r.Spec.Steps, &wire.Step{EstimateMs: 1, Opportunistic: true})
		}, Accepted},
		{"later step begins in time", func(r *Request, _ *wire.Step) {
			r.Opportunistic.WaitingWork = 0
			r.Spec.Steps = append(r.Spec.Steps, &wire.Step{EstimateMs: 1, Opportunistic: true, After: []uint32{0}})
		}, Backlog},
		{"standing", func(_ *Request, s *wire.Step) { s.Standing = true }, Accepted},
		{"occurrences", func(r *Request, _ *wire.Step) { r.Spec.Occurrences = 1 }, Accepted},
		{"fits no agent", func(r *Request, s *wire.Step) { r.TermAge, s.CpuMillis = RegistrationTime, 4001 }, NoAgent},
		{"fits no agent yet", func(r *Request, s *wire.Step) {
			r.TermAge, s.CpuMillis, r.Objective = RegistrationTime-1, 4001, time.Hour
		}, Accepted},
		{"CPU and memory on different agents", func(r *Request, s *wire.Step) { r.TermAge, s.MemoryMb = RegistrationTime, 101 }, NoAgent},
		{"CPU of opportunistic work", func(r *Request, s *wire.Step) {
			r.TermAge, s.MemoryMb, s.Opportunistic, r.Objective = RegistrationTime, 101, true, time.Hour
		}, Accepted},
		{"label of another agent", func(r *Request, s *wire.Step) { r.TermAge, s.RequiredLabel = RegistrationTime, "a" }, NoAgent},
		{"pool without agents", func(r *Request, s *wire.Step) {
			r.TermAge, r.Agents, s.CpuMillis, r.Objective = RegistrationTime, nil, 4001, time.Hour
		}, Accepted},
		{"standing and fits no agent", func(r *Request, s *wire.Step) { r.TermAge, s.CpuMillis, s.Standing = RegistrationTime, 4001, true }, Accepted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := request()
			c.change(&r, r.Spec.Steps[0])
			assert.Equal(t, Decide(r).Reason, c.want)
		})
	}
}

// Guards against callers who return while the backlog is still too long, or long after it has drained.
func TestRefusedCallersReturnAfterBacklog(t *testing.T) {
	for waiting, want := range map[float64]time.Duration{60_000_001: time.Second, 80_000_000: 2 * time.Second, 81_000_000: 3 * time.Second, 1e18: 10 * time.Second} {
		r := request()
		r.Ordinary.WaitingWork = waiting
		assert.Equal(t, Decide(r).RetryAfter, want, "%v", waiting)
	}
}

// Guards against a forecast from a rate that is too low, because the record has just begun.
func TestRateOfShortRecord(t *testing.T) {
	for _, length := range []time.Duration{time.Second, rateWindow, time.Minute} {
		var r Rate
		for now := time.Duration(0); now <= length; now += 10 * time.Millisecond {
			r.Add(now, 1000)
		}
		got := r.PerMillisecond(length)
		assert.Assert(t, got >= 100 && got < 110, "%v after %v, want 100", got, length)
	}
}
