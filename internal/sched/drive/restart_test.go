// This file defines the tests of agents that start again under the id that they had.

package drive_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

// fillAndSettle hands in short work for some seconds and waits until it has ended.
func (s *sim) fillAndSettle(t *testing.T) {
	t.Helper()
	for range 8 {
		s.submitSpec(&wire.Step{Count: 12, CpuMillis: 1000, EstimateMs: 300})
		s.run(500*time.Millisecond, 0)
	}
	s.run(5*time.Second, 0)
	assert.Assert(t, len(s.broken) == 0, "%v", s.broken)
}

// assertCompleted asserts that no promise was broken and all jobs have ended as done.
func (s *sim) assertCompleted(t *testing.T) {
	t.Helper()
	assert.Assert(t, len(s.broken) == 0, "%v", s.broken)
	for _, id := range s.jobs {
		assert.Equal(t, s.graph.Job(id).State, wire.WorkState_WORK_STATE_COMPLETED, "job %s", id)
	}
}

// Tasks were run a second time although their first runs had ended as done. Seventeen
// agents had started again half a second before, under the ids that they had, and
// counted their ends from 1 once more. The leader still acknowledged the numbers of
// before with each hold: the agents forgot ends that nobody had read, those that came
// with an answer were left out as known, and the runs counted as gone:
//
//	6.582  agent i-966bec2e9c, started at 5.597: 1a680cf598611174.0.0.17 run 1 ends as done
//	6.629  "run settled" index=17 run=1 outcome=RUN_OUTCOME_LOST reason="was there and isn't any more"
//	6.639  "runs placed" runs="17#2@i-1066d7d6a5"
func TestEndsOfARestartedAgentAreCountedAnew(t *testing.T) {
	cases := []struct {
		name string
		away time.Duration
	}{
		{"before anything was missed", 50 * time.Millisecond},
		{"after a hold has failed", time.Second},
		{"while a hold waits for its answer", 1400 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(1, 4, true, faults{born: true})
			s.run(2*time.Second, 0)
			s.fillAndSettle(t)
			for _, address := range sortedKeys(s.agents) {
				s.restart(s.agents[address], c.away)
			}
			for range 20 {
				s.submitSpec(&wire.Step{Count: 6, CpuMillis: 1000, EstimateMs: 300})
				s.run(200*time.Millisecond, 0)
			}
			s.run(15*time.Second, 0)
			s.assertCompleted(t)
		})
	}
}

// After two minutes in which agents were cut off, crashed and started again under their
// ids, all work went to 14 of 48 agents, and jobs that had been accepted in the first
// seconds still waited for their second step, with most of the room unused:
//
//	124.5877  "runs placed" prospect="too late" waited_ms=34682 unplaced=1
//
// An agent that is silent until its lease has run out is given up, and what its id
// reported from then on was taken for reports sent before: it was never used again.
func TestRestartedAgentIsUsedAgainAfterItWasGivenUp(t *testing.T) {
	s := newSim(1, 3, true, faults{born: true})
	s.run(2*time.Second, 0)
	s.fillAndSettle(t)
	for range 2 {
		for _, address := range sortedKeys(s.agents) {
			s.restart(s.agents[address], 14*time.Second)
		}
		s.run(20*time.Second, 0)
		s.submitSpec(&wire.Step{Count: 6, CpuMillis: 1000, EstimateMs: 300})
		s.submitSpec(&wire.Step{Count: 3, CpuMillis: 1000, EstimateMs: 300, SpreadLimit: 1})
		s.run(10*time.Second, 0)
	}
	s.assertCompleted(t)
}

// A report that was sent by an earlier process of an agent, or that says an earlier one
// has gone, arrives when the next one is at work. It ends nothing that runs there, and
// the agent's own reports count although their numbers begin anew: else an agent that
// drains gets new work, since its reports are taken for late ones.
func TestReportsOfEarlierIncarnationsChangeNothing(t *testing.T) {
	s := newSim(1, 1, true, faults{born: true})
	s.run(20*time.Second, 0)
	earlier := s.agents["10.0.0.0:1"]
	s.restart(earlier, time.Second)
	s.run(3*time.Second, 0)
	s.submitSpec(&wire.Step{Count: 2, CpuMillis: 1000, EstimateMs: 3000})
	s.run(time.Second, 0)
	present := s.agents["10.0.0.0:1"]
	assert.Equal(t, len(present.runs), 2)

	s.report(earlier, false)
	s.report(earlier, true)
	s.run(6*time.Second, 0)
	s.assertCompleted(t)

	present.record.Leaving = true
	s.run(2*time.Second, 0)
	s.submitSpec(&wire.Step{Count: 1, CpuMillis: 1000, EstimateMs: 300})
	s.run(5*time.Second, 0)
	assert.Equal(t, s.graph.Job(s.jobs[1]).State, wire.WorkState_WORK_STATE_QUEUED, "an agent that leaves gets new work")
}

// After an upgrade all that runs is started again while it runs. The earlier version
// registered agents without their incarnations; reports tell them now, and each is taken
// for a process that has replaced the registered one. Half of the replicas are of the
// earlier version for a while, and pass reports on without what they don't know.
func TestAgentsRegisteredWithoutIncarnationGoOn(t *testing.T) {
	s := newSim(1, 3, true, faults{})
	for i, address := range sortedKeys(s.agents) {
		s.agents[address].incarnation = uint64(i + 1)
	}
	s.run(2*time.Second, 0)
	s.submitSpec(&wire.Step{Count: 6, CpuMillis: 1000, EstimateMs: 20000})
	s.run(time.Second, 0)
	s.depose()
	s.run(4*time.Second, 0)
	for i, address := range sortedKeys(s.agents) {
		s.agents[address].record.Incarnation = uint64(i + 1)
	}
	s.run(3*time.Second, 0)
	refused := 0
	for _, address := range sortedKeys(s.agents) {
		r := s.agents[address]
		assert.Equal(t, s.graph.Agent(r.record.Id).Record.Incarnation, r.incarnation)
		told := &wire.Agent{Id: r.record.Id, Address: address, Pool: "p", CpuMillis: 8000, MemoryMb: 8000}
		s.engine.HandleReport(s.now, &wire.ReportAgentRequest{Agent: told}, func(err error) {
			assert.ErrorContains(t, err, "doesn't tell")
			refused++
		})
	}
	assert.Equal(t, refused, 3)
	s.run(20*time.Second, 0)
	s.assertCompleted(t)
	assert.Equal(t, starts(s, 0), uint32(1), "the work was begun anew")

	s.born, s.lives = true, 10
	for _, address := range sortedKeys(s.agents) {
		s.restart(s.agents[address], time.Second)
	}
	s.run(5*time.Second, 0)
	s.submitSpec(&wire.Step{Count: 3, CpuMillis: 1000, EstimateMs: 300, SpreadLimit: 1})
	s.run(5*time.Second, 0)
	s.assertCompleted(t)
}

// An agent that was cut off for longer than its lease, and lived on, was never used again:
// its reports were taken for those of a process that has ended. It comes back as often as
// that happens, and what it ran before was stopped by its lease.
func TestAgentComesBackAfterEachLongCut(t *testing.T) {
	s := newSim(1, 2, true, faults{born: true})
	s.run(2*time.Second, 0)
	for range 3 {
		s.submitSpec(&wire.Step{Count: 4, CpuMillis: 1000, EstimateMs: 2000})
		s.run(500*time.Millisecond, 0)
		for _, address := range sortedKeys(s.agents) {
			s.agents[address].cutUntil = s.now + 14*time.Second
		}
		s.run(18*time.Second, 0)
		s.submitSpec(&wire.Step{Count: 2, CpuMillis: 1000, EstimateMs: 300, SpreadLimit: 1})
		s.run(8*time.Second, 0)
		s.assertCompleted(t)
	}
}

// Guards against a job that fails for agents which crashed without its doing: of five
// crashes that count against it, four were of agents that the leader hadn't heard yet, or
// that fell silent first.
func TestRestartsAcrossLeadersFailNoJob(t *testing.T) {
	s := newSim(92, 6, true, faults{born: true, restart: 0.01, late: 0.02, lost: 0.02, cut: 0.002, leader: 0.001, fail: 0.02})
	s.run(30*time.Second, 1)
	assertSettled(t, 92, s)
}

// Tasks that had ended as done began once more, right after the first election. An agent
// had started again before any of its reports was taken, and the reports of both its
// processes came within the time of a commit, the earlier one's last. Both were registered
// under the agent's id, which was free, so that the record named the process that had
// ended; the one that lived was registered a second time, took the first registration for
// its predecessor's, and its own ends were acknowledged as those of nobody:
//
//	57.2684  "agent reported" agent=i-1 incarnation=1796279996922 new=true
//	57.2688  "agent reported" agent=i-1 incarnation=1796279995538 new=true
//	57.5712  "agent reported" agent=i-1@1796279996922 incarnation=1796279996922 new=true
//	57.5799  "agent given up" agent=i-1 reason="another incarnation answered at its address" runs=16
func TestReportsOfTwoIncarnationsWithinACommit(t *testing.T) {
	for _, laterFirst := range []bool{true, false} {
		s := newSim(1, 1, true, faults{born: true})
		earlier := s.agents["10.0.0.0:1"]
		s.bearAs(earlier.record.Id, earlier.record.Address)
		later := s.agents["10.0.0.0:1"]
		s.engine.Tick(s.now)
		if laterFirst {
			s.report(later, false)
		}
		s.now += time.Millisecond
		s.report(earlier, false)
		s.now = commitTime
		s.happen()
		s.engine.Tick(s.now) // between the two commits
		s.submitSpec(&wire.Step{Count: 4, CpuMillis: 1000, EstimateMs: 3000})
		s.run(15*time.Second, 0)
		s.assertCompleted(t)
		assert.Equal(t, starts(s, 0), uint32(1), "the work was begun anew")
	}
}

// The first answer of a process that has ended is on its way while its successor answers.
// It comes in last, and was taken for proof that the successor had ended: what ran there
// was started elsewhere while it ran on.
func TestLateFirstAnswerEndsNoSuccessor(t *testing.T) {
	s := newSim(1, 1, true, faults{born: true})
	earlier := s.agents["10.0.0.0:1"]
	s.engine.Tick(s.now)
	s.report(earlier, false)
	earlier.cutUntil = time.Hour // its first answer stays on its way
	s.run(50*time.Millisecond, 0)
	s.bearAs(earlier.record.Id, earlier.record.Address)
	later := s.agents["10.0.0.0:1"]
	for later.fence == 0 {
		s.run(simTick, 0)
	}
	s.now += time.Millisecond
	s.happen() // the answer of the successor
	s.engine.HandleAnswer(s.now, drive.Answer{
		Order:   drive.Order{Kind: drive.Poll, Agent: earlier.record, Incarnation: earlier.incarnation, Fence: s.term},
		Verdict: drive.Accepted, Incarnation: earlier.incarnation,
	})
	s.run(time.Second, 0)
	_, registered := s.graph.Agents()["r-1@2"]
	assert.Assert(t, registered, "the agent at work was given up: %v", s.graph.Agents())
	s.submitSpec(&wire.Step{Count: 4, CpuMillis: 1000, EstimateMs: 500})
	s.run(5*time.Second, 0)
	s.assertCompleted(t)
}
