// This file tests how runs of ended jobs that go on are reported.

package drive_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// cancelJob cancels a job and registers that for the checks.
func (s *sim) cancelJob(id string) {
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: id, Queue: "q"}}})
	s.cancelled[id] = s.now
}

// simWithStandingJob returns a simulation with a standing task that runs, and its log.
func simWithStandingJob() (*sim, *bytes.Buffer) {
	s := newSim(1, 1, true, faults{})
	var log bytes.Buffer
	s.logger = slog.New(slog.NewTextHandler(&log, nil))
	s.depose()
	s.run(5*time.Second, 0)
	s.submitJob(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 500, Standing: true})
	s.run(time.Second, 0)
	return s, &log
}

// Guards against a cancelled job whose run goes on without a trace of what holds its stop back.
func TestOverdueStopsAreReported(t *testing.T) {
	lines := func(log *bytes.Buffer, heldBy string) int {
		return strings.Count(log.String(), `msg="run of an ended job goes on" run=0000000000000001.0.0.0#1@r-1 held_by=`+heldBy)
	}
	t.Run("no leader lease", func(t *testing.T) {
		s, log := simWithStandingJob()
		s.leaselessUntil = s.now + 6*time.Second
		s.cancelJob(jobID(1))
		s.run(1900*time.Millisecond, 0)
		assert.Equal(t, lines(log, "no-leader-lease"), 0, "reported too early:\n%s", log)
		s.run(3*time.Second, 0)
		assert.Equal(t, lines(log, "no-leader-lease"), 1, "%s", log)
	})
	t.Run("agent unreachable", func(t *testing.T) {
		s, log := simWithStandingJob()
		s.agents["10.0.0.0:1"].unreachableUntil = s.now + 6*time.Second
		s.cancelJob(jobID(1))
		s.run(5*time.Second, 0)
		assert.Equal(t, lines(log, "agent-unreachable"), 1, "%s", log)
	})
	t.Run("stopped in time", func(t *testing.T) {
		s, log := simWithStandingJob()
		s.cancelJob(jobID(1))
		s.run(5*time.Second, 0)
		assert.Equal(t, strings.Count(log.String(), "run of an ended job goes on"), 0, "%s", log)
		assert.Equal(t, strings.Count(log.String(), `msg="stops sent" count=1 runs="0000000000000001.0.0.0#1@r-1=job-ended"`), 1, "%s", log)
	})
}

// Guards against a run that gets no orders any more after a drop of its agent wasn't committed.
func TestFailedDropLeavesRunsStoppable(t *testing.T) {
	s, log := simWithStandingJob()
	const address = "10.0.0.0:1"
	original := s.agents[address]
	s.startAgentAs("r-other", address) // answers in its place, which drops it
	s.proposalsFail = true
	s.run(2*time.Second, 0)
	s.agents[address] = original
	s.run(time.Second, 0)
	s.proposalsFail = false
	assert.Equal(t, len(original.runs), 1)
	s.cancelJob(jobID(1))
	s.run(cancelledRunLimit, 0)
	assert.Equal(t, len(original.runs), 0, "the run wasn't stopped:\n%s", log)
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
}

// Guards against a run that nobody stops on an agent that lives on after its shutdown notice.
func TestLingeringAgentRunsNothing(t *testing.T) {
	s := newSim(1, 1, true, faults{incarnations: true})
	s.run(2*time.Second, 0)
	s.submitJob(&wire.Step{Count: 2, CpuMillis: 1000, EstimateMs: 20000})
	s.run(time.Second, 0)
	lingering := s.agents["10.0.0.0:1"]
	assert.Equal(t, len(lingering.runs), 2)
	lingering.record.Leaving = true
	s.report(lingering, false)
	s.run(time.Second, 0)
	s.report(lingering, true)
	lingering.nextHeartbeat = s.now + time.Hour
	s.run(100*time.Millisecond, 0)
	s.cancelJob(jobID(1))
	s.run(cancelledRunLimit, 0)
	assert.Equal(t, len(lingering.runs), 0)
	assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
}
