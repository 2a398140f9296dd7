// This file defines the faults of the seeded simulation: agents that crash, leave, go
// for good or lose room, and leaders that change.

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

// crash ends an agent and all that runs there without a word.
func (s *sim) crash(r *modelAgent) {
	for key := range r.runs {
		s.crashes[key]++
	}
	delete(s.agents, r.record.Address)
}

// restart ends an agent without a word and starts it again under its id.
func (s *sim) restart(r *modelAgent, after time.Duration) {
	s.crash(r)
	s.after(after, func() { s.bearAs(r.record.Id, r.record.Address) })
}

// restartTime is for how long an agent that starts again is away: mostly shorter than
// an answer may take, at times for longer than any lease.
func (s *sim) restartTime() time.Duration {
	longest := []time.Duration{300 * time.Millisecond, 3 * time.Second, 14 * time.Second}[s.random.IntN(3)]
	return simTick + time.Duration(s.random.Int64N(int64(longest)))
}

// crashesAgent tells whether a run ends its agent now.
func (s *sim) crashesAgent(run *modelRun) bool {
	after, crashing := s.crashing[run.id.Job]
	return crashing && run.id.Step == 0 && run.id.Index == 0 && s.now-run.began >= after
}

// crashByRun ends an agent by one of its runs, and with it its connections. It is back
// after the three seconds that agents were seen to take.
func (s *sim) crashByRun(r *modelAgent) {
	s.crash(r)
	s.refusing[r.record.Address] = !s.dark
	for _, closed := range r.open {
		if !r.cut() && !s.dark {
			s.after(time.Millisecond, closed)
		}
	}
	s.after(3*time.Second, func() { s.bear(r.record.Address) })
}

// mayFail tells whether a task of a job failed as often as is allowed, or was on enough
// agents that crashed for its owners to accept that it is given up.
func (s *sim) mayFail(job string) bool {
	for key, n := range s.failedRuns {
		if strings.HasPrefix(key, job+".") && n >= 3 {
			return true
		}
	}
	for key, n := range s.crashes {
		if strings.HasPrefix(key, job+".") && n >= 2 {
			return true
		}
	}
	return false
}

func (s *sim) disturb() {
	addresses := make([]string, 0, len(s.agents))
	for a := range s.agents {
		addresses = append(addresses, a)
	}
	sort.Strings(addresses)
	pick := func() *modelAgent { return s.agents[addresses[s.random.IntN(len(addresses))]] }
	if len(addresses) > 0 && s.chance(s.faults.crash) {
		r := pick()
		s.crash(r)
		s.after(time.Second+time.Duration(s.random.Int64N(int64(3*time.Second))), func() { s.bear(r.record.Address) })
	}
	if s.faults.restart > 0 && len(addresses) > 0 && s.chance(s.faults.restart) {
		if r := pick(); r != nil {
			s.restart(r, s.restartTime())
		}
	}
	if len(s.agents) > 1 && s.chance(s.faults.gone) {
		if r := pick(); r != nil {
			s.crash(r)
		}
		s.after(time.Second, func() { s.bear(fmt.Sprintf("10.0.1.%d:1", s.lives)) })
	}
	if len(s.agents) > 0 && len(addresses) == len(s.agents) {
		if s.chance(s.faults.cut) {
			pick().cutUntil = s.now + time.Duration(s.random.Int64N(int64(14*time.Second)))
		}
		if s.chance(s.faults.leave) {
			s.leave(pick())
		}
	}
	if s.faults.shrink > 0 && s.chance(s.faults.shrink) {
		if r := pick(); r != nil && r.fullRoom == 0 {
			s.shrink(r)
		}
	}
	if s.faults.drain > 0 && s.chance(s.faults.drain) {
		s.drainSome()
	}
	if s.leads && s.chance(s.faults.leader) {
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

// domainOf spreads agents over three failure domains.
func domainOf(address string) string {
	return fmt.Sprintf("domain-%d", xxhash.Sum64String(address)%3)
}

// drain keeps new work out of a failure domain, or restores it.
func (s *sim) drain(domain string, restore bool) {
	s.commit(&wire.WorkCommand{Body: &wire.WorkCommand_DrainDomain{DrainDomain: &wire.DrainDomain{FailureDomain: domain, Restore: restore}}})
	if restore {
		delete(s.drainedAt, domain)
	} else if _, drained := s.drainedAt[domain]; !drained {
		s.drainedAt[domain] = s.now
	}
}

// drainSome drains a failure domain for some seconds. Orders are sent again, and others
// may be drained meanwhile.
func (s *sim) drainSome() {
	domain := fmt.Sprintf("domain-%d", s.random.IntN(3))
	s.drain(domain, false)
	if s.random.IntN(2) == 0 {
		s.drain(domain, false)
	}
	s.after(time.Duration(1+s.random.IntN(8))*time.Second, func() { s.drain(domain, true) })
}

// shrink halves an agent's room, and gives it back after some seconds.
func (s *sim) shrink(r *modelAgent) {
	r.fullRoom, r.shrunkAt = r.record.CpuMillis, s.now
	r.record = proto.Clone(r.record).(*wire.Agent)
	r.record.CpuMillis /= 2
	s.after(6*time.Second, func() {
		r.record = proto.Clone(r.record).(*wire.Agent)
		r.record.CpuMillis, r.fullRoom = r.fullRoom, 0
	})
}

// leave has an agent drain, go, and come back as another.
func (s *sim) leave(r *modelAgent) {
	r.record = proto.Clone(r.record).(*wire.Agent)
	r.record.Leaving = true
	s.after(4*time.Second, func() {
		if s.agents[r.record.Address] == r {
			delete(s.agents, r.record.Address)
			s.report(r, true)
			s.after(time.Second, func() { s.bear(r.record.Address) })
		}
	})
}
