// This file defines the faults of the simulation: agents that crash, leave, are lost or lose
// capacity, and leader changes.

package drive_test

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

// crash ends an agent and its runs without notice.
func (s *sim) crash(agent *modelAgent) {
	for k, run := range agent.runs {
		s.crashes[k]++
		s.leaveGang(run, wire.RunOutcome_RUN_OUTCOME_CRASHED)
	}
	delete(s.agents, agent.record.Address)
}

// restart ends an agent without notice and starts it again under the same id.
func (s *sim) restart(agent *modelAgent, after time.Duration) {
	s.crash(agent)
	s.after(after, func() { s.startAgentAs(agent.record.Id, agent.record.Address) })
}

// restartTime returns how long a restarting agent is away: mostly less than an answer may take,
// sometimes longer than any lease.
func (s *sim) restartTime() time.Duration {
	longest := []time.Duration{300 * time.Millisecond, 3 * time.Second, 14 * time.Second}[s.random.IntN(3)]
	return simTick + time.Duration(s.random.Int64N(int64(longest)))
}

// runCrashesAgent reports whether a run crashes its agent now.
func (s *sim) runCrashesAgent(run *modelRun) bool {
	after, crashing := s.crashingJobs[run.id.Job]
	return crashing && run.id.Step == 0 && run.id.Index == 0 && s.now-run.startedAt >= after
}

// crashByRun crashes an agent because of one of its runs, and closes its connections. Its
// successor starts after crashedFor. A nil run is the crash of an agent by itself.
func (s *sim) crashByRun(agent *modelAgent, run *modelRun) {
	s.crash(agent)
	if run != nil {
		s.causedCrashes[taskKey(run.id)]++
	}
	if !s.undetectedCrashes {
		s.closeConnections(agent)
	}
	s.after(s.crashedFor, func() { s.startAgent(agent.record.Address) })
}

// closeConnections closes the connections of an agent that has ended, and makes its address
// refuse new ones.
func (s *sim) closeConnections(agent *modelAgent) {
	s.refusingAddresses[agent.record.Address] = true
	for _, f := range agent.onConnectionClose {
		if !agent.isUnreachable() {
			s.after(time.Millisecond, f)
		}
	}
}

// mayFail reports whether a task of a job has failed as often as allowed, or has run on so many
// crashed agents that its job may fail.
func (s *sim) mayFail(job string) bool {
	for k, n := range s.failedRuns {
		if strings.HasPrefix(k, job+".") && n >= int(s.maxAttempts) {
			return true
		}
	}
	for k, n := range s.crashes {
		if strings.HasPrefix(k, job+".") && n >= 2 {
			return true
		}
	}
	return false
}

// injectFaults injects the faults of one tick.
func (s *sim) injectFaults() {
	addresses := make([]string, 0, len(s.agents))
	for a := range s.agents {
		addresses = append(addresses, a)
	}
	sort.Strings(addresses)
	pick := func() *modelAgent { return s.agents[addresses[s.random.IntN(len(addresses))]] }
	if len(addresses) > 0 && s.chance(s.faults.crash) {
		agent := pick()
		s.crash(agent)
		s.after(time.Second+time.Duration(s.random.Int64N(int64(3*time.Second))), func() { s.startAgent(agent.record.Address) })
	}
	if s.faults.restart > 0 && len(addresses) > 0 && s.chance(s.faults.restart) {
		if agent := pick(); agent != nil {
			s.restart(agent, s.restartTime())
		}
	}
	if len(s.agents) > 1 && s.chance(s.faults.permanentLoss) {
		if agent := pick(); agent != nil {
			s.crash(agent)
		}
		s.after(time.Second, func() { s.startAgent(fmt.Sprintf("10.0.1.%d:1", s.agentsStarted)) })
	}
	if len(s.agents) > 0 && len(addresses) == len(s.agents) {
		if s.chance(s.faults.partition) {
			pick().unreachableUntil = s.now + time.Duration(s.random.Int64N(int64(14*time.Second)))
		}
		if s.chance(s.faults.leave) {
			s.leave(pick())
		}
	}
	if s.faults.shrink > 0 && s.chance(s.faults.shrink) {
		if agent := pick(); agent != nil && agent.fullCPUMillis == 0 {
			s.shrink(agent)
		}
	}
	if s.faults.drain > 0 && s.chance(s.faults.drain) {
		s.drainRandom()
	}
	if s.faults.removeRoute > 0 && s.chance(s.faults.removeRoute) {
		s.removeRoute()
	}
	if s.isLeader && s.chance(s.faults.leaderChange) {
		s.depose()
	}
	if len(s.jobs) > 0 && s.chance(s.faults.cancel) {
		id := s.jobs[s.random.IntN(len(s.jobs))]
		s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_Cancel{Cancel: &wire.CancelWork{Job: id, Queue: "q"}}})
		if s.graph.Job(id).State == wire.WorkState_WORK_STATE_CANCELLED && s.cancelled[id] == 0 {
			s.cancelled[id] = s.now
		}
	}
}

// domainOf assigns an address to one of three failure domains.
func domainOf(address string) string {
	return fmt.Sprintf("domain-%d", xxhash.Sum64String(address)%3)
}

// drain drains or restores a failure domain.
func (s *sim) drain(domain string, restore bool) {
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_DrainDomain{DrainDomain: &wire.DrainDomain{FailureDomain: domain, Restore: restore}}})
	if restore {
		delete(s.drainedAt, domain)
	} else if _, drained := s.drainedAt[domain]; !drained {
		s.drainedAt[domain] = s.now
	}
}

// drainRandom drains a failure domain for some seconds. Commands are repeated, and drains may
// overlap.
func (s *sim) drainRandom() {
	domain := fmt.Sprintf("domain-%d", s.random.IntN(3))
	s.drain(domain, false)
	if s.random.IntN(2) == 0 {
		s.drain(domain, false)
	}
	s.after(time.Duration(1+s.random.IntN(8))*time.Second, func() { s.drain(domain, true) })
}

// shrink halves an agent's capacity for some seconds.
func (s *sim) shrink(agent *modelAgent) {
	agent.fullCPUMillis, agent.shrunkAt = agent.record.CpuMillis, s.now
	agent.record = proto.Clone(agent.record).(*wire.Agent)
	agent.record.CpuMillis /= 2
	s.after(6*time.Second, func() {
		agent.record = proto.Clone(agent.record).(*wire.Agent)
		agent.record.CpuMillis, agent.fullCPUMillis = agent.fullCPUMillis, 0
	})
}

// leave makes an agent announce that it is leaving, give notice, end, and come back under
// another id.
func (s *sim) leave(agent *modelAgent) {
	agent.record = proto.Clone(agent.record).(*wire.Agent)
	agent.record.Leaving = true
	s.after(4*time.Second, func() {
		if s.agents[agent.record.Address] != agent {
			return
		}
		s.report(agent, true)
		if s.faults.noticeLost > 0 && s.chance(s.faults.noticeLost) {
			s.linger(agent)
			return
		}
		s.after(3*commitLatency, func() { s.terminate(agent) })
	})
}

// linger lets an agent live on whose notice got no answer. It repeats the notice, or no order
// reaches it any more.
func (s *sim) linger(agent *modelAgent) {
	lives := time.Second + time.Duration(s.random.Int64N(int64(4*time.Second)))
	if s.random.IntN(2) == 0 {
		agent.unreachableUntil = s.now + lives
	}
	s.after(time.Second, func() {
		if s.agents[agent.record.Address] == agent {
			s.report(agent, true)
		}
	})
	s.after(lives, func() { s.terminate(agent) })
}

// terminate ends an agent and closes its connections.
func (s *sim) terminate(agent *modelAgent) {
	if s.agents[agent.record.Address] != agent {
		return
	}
	delete(s.agents, agent.record.Address)
	for _, run := range agent.runs {
		s.leaveGang(run, wire.RunOutcome_RUN_OUTCOME_STOPPED)
	}
	s.closeConnections(agent)
	s.after(time.Second, func() { s.startAgent(agent.record.Address) })
}
