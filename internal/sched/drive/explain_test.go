// This file defines the tests of the explanations of waiting stages and of the capacity.

package drive_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

const long = 600000 // milliseconds, longer than any test here

// explainLatest returns the explanation of the latest job as "LIMIT: EXCLUDED of AGENTS".
func (s *sim) explainLatest(t *testing.T) string {
	t.Helper()
	stages, drives := s.engine.Explain(s.now, s.graph.Job(s.jobs[len(s.jobs)-1]))
	assert.Assert(t, drives)
	assert.Equal(t, len(stages), 1)
	var excluded []string
	for _, x := range stages[0].Excluded {
		excluded = append(excluded, fmt.Sprint(x.Limit, " ", x.Agents))
	}
	return fmt.Sprintf("%s: %s of %d", stages[0].Limit, strings.Join(excluded, ", "), stages[0].Agents)
}

// Guards against an operator who is told the wrong reason for which a stage waits.
func TestLimitOfWaitingStage(t *testing.T) {
	fill := func(count uint32, cpu, memory uint64) *wire.Step {
		return &wire.Step{Count: count, CpuMillis: cpu, MemoryMb: memory, EstimateMs: long, SpreadLimit: 1}
	}
	cases := []struct {
		name   string
		agents int
		before func(*sim) // brings about the limit
		step   *wire.Step
		task   func(*graph.Task) // changes the first task
		want   string
	}{
		{"capacity", 2, func(s *sim) { s.submitJob(fill(2, 8000, 0)) }, fill(1, 4000, 0), nil, "capacity: capacity 2 of 2"},
		{"fragmentation", 3, func(s *sim) { s.submitJob(fill(3, 5000, 0)) }, fill(1, 6000, 0), nil, "fragmentation: fragmentation 3 of 3"},
		{"accelerators", 2, nil, &wire.Step{Count: 1, Accelerators: 1, EstimateMs: 1}, nil, "capacity: capacity 2 of 2"},
		{"memory", 2, func(s *sim) { s.submitJob(fill(2, 1000, 7900)) }, fill(1, 1000, 200), nil, "memory: memory 2 of 2"},
		{"reservation", 1, nil, &wire.Step{Count: 8, CpuMillis: 1000, EstimateMs: long, Standing: true}, nil, "reservation: reservation 1 of 1"},
		{"interference", 1, func(s *sim) {
			s.tailLatencyOf = func(_ *modelAgent, r *modelRun) int { return int(r.step.TailTargetMs) * 3 }
			s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 500, Standing: true, TailTargetMs: targetMillis, Image: "standing"})
			s.run(6*time.Second, 0)
		}, &wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: long, Opportunistic: true}, nil, "interference: interference 1 of 1"},
		{"label on full agents", 2, func(s *sim) { s.submitJob(fill(2, 8000, 0)) }, &wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 1, RequiredLabel: "big"}, nil, "label: label 2 of 2"},
		{"spread", 2, nil, fill(3, 1000, 0), nil, "spread: spread 2 of 2"},
		{"final attempt", 1, func(s *sim) {
			s.submitJob(fill(1, 1000, 0))
			s.graph.Job(s.jobs[0]).Occurrences[0][0].Tasks[0].Crashes = graph.MaxCrashes - 1
		}, fill(1, 1000, 0), nil, "final-attempt: final-attempt 1 of 1"},
		{"other final attempts", 2, func(s *sim) {
			s.submitJob(fill(2, 1000, 0))
			s.run(time.Second, 0)
			s.submitJob(fill(1, 1000, 0))
			s.graph.Job(s.jobs[1]).Occurrences[0][0].Tasks[0].Crashes = graph.MaxCrashes - 1
		}, fill(1, 1000, 0), func(t *graph.Task) { t.Crashes = graph.MaxCrashes - 1 }, "final-attempt: final-attempt 2 of 2"},
		{
			"evicted from the only agent", 1, nil, &wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 1, Opportunistic: true},
			func(t *graph.Task) { t.AvoidAgent, t.EvictedAt = "r-1", 2*time.Second }, "evicted: evicted 1 of 1",
		},
		{"gang", 1, nil, &wire.Step{Count: 2, CpuMillis: 5000, EstimateMs: 1, Gang: true}, nil, "capacity: capacity 1 of 1"},
		{"drained", 1, func(s *sim) { s.drain(domainOf("10.0.0.0:1"), false) }, fill(1, 1000, 0), nil, "drained: drained 1 of 1"},
		{"unreachable", 1, func(s *sim) { s.agents["10.0.0.0:1"].unreachableUntil = s.now + time.Hour }, fill(1, 1000, 0), nil, "unreachable: unreachable 1 of 1"},
		{"leaving", 1, func(s *sim) { s.agents["10.0.0.0:1"].record.Leaving = true }, fill(1, 1000, 0), nil, "leaving: leaving 1 of 1"},
		{"no agents", 0, nil, fill(1, 1000, 0), nil, "capacity:  of 0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, c.agents, true, faults{})
			s.run(2*time.Second, 0)
			if c.before != nil {
				c.before(s)
				s.run(2*time.Second, 0)
			}
			s.submitJob(c.step)
			if c.task != nil {
				c.task(s.graph.Job(s.jobs[len(s.jobs)-1]).Occurrences[0][0].Tasks[0])
			}
			s.run(300*time.Millisecond, 0)
			assert.Equal(t, s.explainLatest(t), c.want)
		})
	}
}

// Guards against a stage that waits for advice or its due time and is said to lack capacity.
func TestLimitOfStageThatMayNotStart(t *testing.T) {
	s := newSim(1, 2, true, faults{advice: true})
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 1})
	s.run(30*time.Millisecond, 0)
	assert.Equal(t, s.explainLatest(t), "advice: advice 2 of 2")
	s.jobs = append(s.jobs, jobID(9))
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_Submit{Submit: &wire.SubmitWork{Job: jobID(9), Queue: "q", Spec: &wire.WorkSpec{
		Payload: "p", Steps: []*wire.Step{{Count: 1, CpuMillis: 1000, EstimateMs: 1}}, Occurrences: 1,
		FirstDue: timestamppb.New(time.Unix(0, 0).Add(s.now + time.Hour)), Period: durationpb.New(time.Hour),
	}}}})
	s.run(100*time.Millisecond, 0)
	assert.Equal(t, s.explainLatest(t), "due: due 2 of 2")
}

// Guards against explanations that change the engine's state: under faults, all invariants
// have to hold although all jobs are explained again and again.
func TestExplanationsChangeNothing(t *testing.T) {
	s := newSim(3, 6, true, faults{leaderChange: 0.001, late: 0.02, lost: 0.02, crash: 0.001, cancel: 0.002, failedRun: 0.02})
	for range 100 {
		s.run(200*time.Millisecond, 3)
		for _, id := range s.jobs {
			s.engine.Explain(s.now, s.graph.Job(id))
		}
		s.engine.Capacity(s.now)
		assert.NilError(t, s.engine.CheckCaches())
	}
	assertJobsEnd(t, 3, s)
}

// Guards against a late stage that isn't logged, or that is logged in each scheduling pass.
func TestLateStageIsLoggedOnce(t *testing.T) {
	s := newSim(1, 1, true, faults{})
	var log bytes.Buffer
	s.logger = slog.New(slog.NewTextHandler(&log, nil))
	s.elect()
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 8000, EstimateMs: long})
	s.run(time.Second, 0)
	s.submitJob(&wire.Step{Count: 2, CpuMillis: 3000, MemoryMb: 5, EstimateMs: 1000})
	s.run(900*time.Millisecond, 0)
	const message = "stage waits too long"
	assert.Equal(t, strings.Count(log.String(), message), 0, "its slack is 1 s")
	s.run(10*time.Second, 0)
	assert.Equal(t, strings.Count(log.String(), message), 1)
	for _, want := range []string{"job=" + s.jobs[1], "cpu_millis=3000", "unplaced=2", "limit=capacity", "excluded=\"capacity=1\"", "slack_ms=-"} {
		assert.Assert(t, strings.Contains(log.String(), want), "%s is missing", want)
	}
}

// Guards against capacity that is counted as free on an agent that gets no tasks.
func TestCapacityOfDomains(t *testing.T) {
	s := newSim(1, 2, true, faults{})
	for i, name := range []string{"a", "b"} {
		s.agents[fmt.Sprintf("10.0.0.%d:1", i)].record.FailureDomain = name
	}
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 2, CpuMillis: 3000, EstimateMs: long, SpreadLimit: 1})
	s.run(time.Second, 0)
	s.drain("b", false)
	domains, drives := s.engine.Capacity(s.now)
	assert.Assert(t, drives)
	assert.Equal(t, len(domains), 2)
	for i, want := range []struct {
		domain string
		free   uint64
		pieces string
	}{{"a", 5000, "1000:1 2000:1 4000:1 8000:0"}, {"b", 0, "1000:0 2000:0 4000:0 8000:0"}} {
		d := domains[i]
		var pieces []string
		for _, f := range d.FreePieces {
			pieces = append(pieces, fmt.Sprintf("%d:%d", f.CpuMillis, f.Agents))
		}
		assert.Equal(t, fmt.Sprint(d.Pool, d.FailureDomain, d.Agents, d.CpuMillis, d.RequestedMillis, d.FreeMillis), fmt.Sprint("p", want.domain, 1, 8000, 3000, want.free))
		assert.Equal(t, strings.Join(pieces, " "), want.pieces)
	}
}
