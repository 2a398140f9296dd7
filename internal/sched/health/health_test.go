// This file defines the tests of the evidence about agents.

package health

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var poolOf12 = func(string) int { return 12 }

// record records runs of different jobs that all end the same way, 50 ms after one another, on
// agents that are used by turns.
func record(t *Tracker, now *time.Duration, failed bool, agents, runs int) (last Change) {
	for i := range runs {
		started := *now
		*now += 50 * time.Millisecond
		last = t.Record(*now, Agent{fmt.Sprint("a", i%agents), "p"}, Job{fmt.Sprint("job", *now), "q"}, Outcome{failed, started})
	}
	return last
}

// Guards against agents that keep failing runs while the evidence comes in.
func TestTwoFailuresOfDifferentJobsQuarantine(t *testing.T) {
	tr, now := &Tracker{PoolSize: poolOf12}, time.Duration(0)
	record(tr, &now, false, 5, 100)
	assert.Equal(t, record(tr, &now, true, 1, 1), Unchanged)
	assert.Equal(t, tr.State(now, "a0"), Suspect)
	assert.Equal(t, record(tr, &now, true, 1, 1), Isolated)
	for _, d := range []time.Duration{1, 2, 4, 8, 8} {
		assert.Equal(t, tr.State(now+d*time.Second-1, "a0"), Quarantined)
		now += d * time.Second
		assert.Equal(t, tr.State(now, "a0"), Trial)
		assert.Equal(t, record(tr, &now, true, 1, 1), TrialFailed)
	}
	now += 8 * time.Second
	assert.Equal(t, record(tr, &now, false, 1, 1), Released)
	assert.Equal(t, tr.State(now, "a0"), Sound)
}

// Guards against runs that were started before a fault or a quarantine and count as successes
// since then, or as failures of a trial.
func TestEarlierRunsDontDecide(t *testing.T) {
	tr, now, a := &Tracker{PoolSize: poolOf12}, time.Second, Agent{"a0", "p"}
	record(tr, &now, true, 1, 1)
	tr.Record(now, a, Job{"x", "q"}, Outcome{StartedAt: 0})
	assert.Equal(t, record(tr, &now, true, 1, 1), Isolated)
	now += firstQuarantine
	assert.Equal(t, tr.Record(now, a, Job{"x", "q"}, Outcome{StartedAt: 0}), Unchanged)
	assert.Equal(t, tr.Record(now, a, Job{"y", "q"}, Outcome{true, 0}), Unchanged)
	assert.Equal(t, tr.State(now, "a0"), Trial)
}

// Guards against a quarantine because of failures that say little about an agent.
func TestWeakEvidence(t *testing.T) {
	cases := []struct {
		name   string
		record func(*Tracker, *time.Duration)
	}{
		{"one job fails often on the agent", func(tr *Tracker, now *time.Duration) {
			for range 50 {
				tr.Record(*now, Agent{"a0", "p"}, Job{"x", "q"}, Outcome{true, *now})
			}
		}},
		{"the jobs fail elsewhere as well", func(tr *Tracker, now *time.Duration) {
			for i := range 11 {
				tr.Record(*now, Agent{fmt.Sprint("a", 1+i), "p"}, Job{fmt.Sprint(i), "q"}, Outcome{true, *now})
				tr.Record(*now, Agent{"a0", "p"}, Job{fmt.Sprint(i), "q"}, Outcome{true, *now})
			}
		}},
		{"runs succeed in between", func(tr *Tracker, now *time.Duration) {
			for range 50 {
				record(tr, now, true, 1, 1)
				record(tr, now, false, 1, 2)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr, now := &Tracker{PoolSize: poolOf12}, time.Duration(0)
			record(tr, &now, false, 12, 100)
			c.record(tr, &now)
			assert.Assert(t, tr.State(now, "a0") < Trial)
		})
	}
}

// Guards against a fault of something else, such as a queue's work, that empties a pool.
func TestAtMostAQuarterIsIsolated(t *testing.T) {
	tr, now := &Tracker{PoolSize: poolOf12}, time.Duration(0)
	record(tr, &now, false, 12, 400)
	record(tr, &now, true, 12, 100)
	assert.Equal(t, tr.Isolated("p"), 3)
	record(tr, &now, true, 12, 100)
	assert.Equal(t, tr.Isolated("p"), 3)
	assert.Equal(t, len(tr.Prune(now+time.Minute)), 3)
	assert.Equal(t, tr.Isolated("p"), 0)
}

// Guards against agents that count as slow because of a single long task, or stay slow for ever.
func TestSlowdown(t *testing.T) {
	cases := []struct {
		name   string
		ratios map[string]float64 // by job
		slow   bool
	}{
		{"two slow jobs", map[string]float64{"x": 7, "y": 8}, true},
		{"one slow job", map[string]float64{"x": 7}, false},
		{"slow and normal jobs", map[string]float64{"x": 7, "y": 8, "z": 1}, false},
		{"normal jobs", map[string]float64{"x": 0.7, "y": 1.4, "z": 2}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := &Tracker{}
			for _, job := range []string{"x", "y", "z"} {
				if ratio, present := c.ratios[job]; present {
					tr.RecordProgress(0, Agent{"a0", "p"}, Job{job, "q"}, ratio)
				}
			}
			assert.Equal(t, tr.Slowdown("a0") > 2, c.slow)
			tr.Prune(observationAge + 1)
			assert.Equal(t, tr.Slowdown("a0"), 1.0)
		})
	}
}

// Guards against moves that delay a run.
func TestOnlyWorthwhileMoves(t *testing.T) {
	m := Move{Slowness: 8, Progress: 0.3, Expected: time.Second, Restart: time.Second}
	assert.Assert(t, m.Worthwhile())
	m.Progress = 0.8
	assert.Assert(t, !m.Worthwhile())
	m.Saved = 0.8
	assert.Assert(t, m.Worthwhile())
}
