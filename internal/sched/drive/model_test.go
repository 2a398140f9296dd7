// This file defines the model agents that the engine is tested with.

package drive_test

import (
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	modelLease    = 9 * time.Second
	modelMaxLease = 10 * time.Second
	modelGrace    = 900 * time.Millisecond
)

type (
	// modelRun is a run on a model agent.
	modelRun struct {
		id         *wire.RunId
		step       *wire.Step
		work       time.Duration // progress
		length     time.Duration
		fails      bool
		cpuPercent int
		stopAt     time.Duration // when the run ends after a stop order; 0 without one
		startedAt  time.Duration
	}

	// modelAgent is an incarnation of an agent that follows the rules of the platform's
	// agents.
	modelAgent struct {
		sim    *sim
		record *wire.Agent
		// incarnation is the incarnation in its answers. The record may lack it, since
		// replicas of earlier versions drop it from reports.
		incarnation uint64
		offset      time.Duration // of its clock
		rate        float64       // of its clock
		fence       uint64
		deadline    time.Duration
		runs        map[string]*modelRun
		closed      map[string]uint32 // highest number of a stopped or ended run, by task
		completions []drive.Completion
		number      uint64 // of the last completion
		// lastExpired is the number of the last completion when the lease last expired. Later
		// acknowledgements of completions up to it aren't checked.
		lastExpired  uint64
		waitingPolls []waitingPoll
		// onConnectionClose are called when the agent's connections are closed, one for each
		// order sent to it. They do nothing for answered orders.
		onConnectionClose []func()
		unreachableUntil  time.Duration
		// fullCPUMillis is the capacity before it shrank; 0 if it isn't shrunk.
		fullCPUMillis uint64
		shrunkAt      time.Duration
		// leavingAckedAt is when its announcement that it leaves was acknowledged; 0 before.
		leavingAckedAt time.Duration
		failing        bool
		// failsAfter is when a run on the failing agent fails, before it would by itself; 0
		// means never.
		failsAfter    time.Duration
		probedAt      time.Duration // when its latest run on trial was ordered
		slowdown      int           // of its runs; 0 and 1 mean none
		started       []string      // the tasks of all runs that it has started
		sequence      uint64
		nextHeartbeat time.Duration
	}

	// waitingPoll is a long poll that is answered at the first completion or at until.
	waitingPoll struct {
		order drive.Order
		until time.Duration
		reply func(drive.Answer)
	}
)

func taskKey(id *wire.RunId) string {
	return fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index)
}

func (a *modelAgent) clock() time.Duration {
	return a.offset + time.Duration(float64(a.sim.now)*a.rate)
}

func (a *modelAgent) isUnreachable() bool { return a.sim.now < a.unreachableUntil }

// isTarget reports whether an order is addressed to this incarnation of the agent. In a deployment
// the agent clients check this, since an agent only knows its name.
func (a *modelAgent) isTarget(o drive.Order) bool {
	name := o.Agent.Name
	if name == "" {
		name = o.Agent.Id
	}
	return name == a.record.Id && (o.Incarnation == 0 || o.Incarnation == a.incarnation)
}

// handle executes an order.
func (a *modelAgent) handle(o drive.Order) drive.Answer {
	answer := drive.Answer{Order: o, Verdict: drive.Accepted, ClockKnown: true, Clock: a.clock()}
	if !a.isTarget(o) {
		return drive.Answer{Order: o, Verdict: drive.OtherIncarnation}
	}
	if o.Fence < a.fence {
		answer.Verdict = drive.RefusedFence
		return answer
	}
	a.fence = o.Fence
	switch o.Kind {
	case drive.Poll:
		answer.Incarnation = a.incarnation
		a.extendLease(o.Deadline)
		for len(a.completions) > 0 && a.completions[0].Number <= o.LastAcked {
			if a.completions[0].Number > a.lastExpired {
				a.sim.completionAcked(a.completions[0])
			}
			a.completions = a.completions[1:]
		}
		a.listRuns(&answer)
	case drive.Start:
		answer.Verdict = a.start(o)
	case drive.Stop:
		a.stop(o.Run)
	case drive.Throttle:
		if run := a.runs[taskKey(o.Run)]; run != nil && run.id.Run == o.Run.Run {
			run.cpuPercent = o.CPUPercent
		}
	}
	return answer
}

func (a *modelAgent) listRuns(answer *drive.Answer) {
	for _, k := range a.runKeys() {
		run := a.runs[k]
		percent := min(int(100*run.work/max(run.length, 1)), 100)
		status := drive.RunStatus{Run: run.id, ProgressPercent: percent, Checkpoint: a.sim.checkpoint(), Usage: int(run.step.CpuMillis)}
		switch {
		case run.step.TailTargetMs > 0:
			status.Usage = a.sim.tailLatencyOf(a, run)
		case run.step.Opportunistic:
			status.Usage = int(run.step.CpuMillis) * run.cpuPercent / 100
		}
		answer.Running = append(answer.Running, status)
	}
	answer.Completions = append(answer.Completions, a.completions...)
}

func (a *modelAgent) extendLease(deadline time.Duration) {
	a.deadline = max(a.deadline, min(deadline, a.clock()+modelMaxLease))
}

func (a *modelAgent) start(o drive.Order) drive.Verdict {
	key := taskKey(o.Run)
	if o.Deadline < a.clock() {
		return drive.RefusedExpired
	}
	if run := a.runs[key]; run != nil && run.id.Run == o.Run.Run {
		a.extendLease(o.Deadline)
		return drive.Accepted
	}
	a.extendLease(o.Deadline)
	if o.Run.Run <= a.closed[key] {
		return drive.RefusedStale
	}
	if a.sim.advice {
		a.sim.check(o.Ticket != "", "%s is ordered without a ticket", key)
		expected := fmt.Sprintf("%s.%d.%d/%s", o.Run.Job, o.Run.Occurrence, o.Run.Step, a.record.Id)
		if until, ok := a.sim.issuedTickets[o.Ticket]; o.Ticket != expected || !ok || a.sim.now > until {
			a.sim.refusedTickets++
			return drive.RefusedTicket
		}
	}
	step := a.sim.steps[fmt.Sprintf("%s.%d", o.Run.Job, o.Run.Step)]
	if !step.Opportunistic && a.requestedCPU()+step.CpuMillis > a.record.CpuMillis {
		shrunk := a.fullCPUMillis > 0 && (a.sim.now < a.shrunkAt+shrinkSyncLimit || a.sim.now < a.unreachableUntil+shrinkSyncLimit)
		a.sim.check(a.sim.guarded || shrunk, "%s is overcommitted by %s, ordered at %v, shrunk at %v", a.record.Id, key, o.SentAt, a.shrunkAt)
		return drive.RefusedCapacity
	}
	a.sim.checkStart(a, o)
	a.started = append(a.started, key)
	length := time.Duration(step.EstimateMs) * time.Millisecond
	if actual, ok := a.sim.actualDurations[o.Run.Job]; ok {
		length = actual
	}
	a.runs[key] = &modelRun{
		id: proto.Clone(o.Run).(*wire.RunId), step: step, length: length, cpuPercent: 100, startedAt: a.sim.now,
		fails: a.failing || a.sim.failingJobs[o.Run.Job] || a.sim.random.Float64() < a.sim.faults.failedRun,
	}
	if step.Gang {
		a.sim.gangOf(o.Run).present++
	}
	if a.sim.runCrashesAgent(a.runs[key]) {
		a.sim.crashByRun(a, a.runs[key])
		return drive.NoAnswer
	}
	return drive.Accepted
}

func (a *modelAgent) requestedCPU() uint64 {
	var sum uint64
	for _, r := range a.runs {
		if !r.step.Opportunistic {
			sum += r.step.CpuMillis
		}
	}
	return sum
}

func (a *modelAgent) stop(id *wire.RunId) {
	key := taskKey(id)
	a.closed[key] = max(a.closed[key], id.Run)
	if run := a.runs[key]; run != nil && run.id.Run <= id.Run && run.stopAt == 0 {
		run.stopAt = a.sim.now + time.Duration(a.sim.random.Int64N(int64(modelGrace)))
	}
}

// tick advances the agent's runs and answers the long polls that are due.
func (a *modelAgent) tick(step time.Duration) {
	if a.deadline > 0 && a.clock() > a.deadline {
		for _, k := range a.runKeys() {
			a.end(k, wire.RunOutcome_RUN_OUTCOME_LAPSED)
		}
		a.lastExpired = a.number
	}
	for _, k := range a.runKeys() {
		run := a.runs[k]
		works, byOthers := a.sim.gangStep(run)
		if byOthers != wire.RunOutcome_RUN_OUTCOME_UNSPECIFIED {
			a.end(k, byOthers)
			continue
		}
		if works {
			run.work += step * time.Duration(run.cpuPercent) / 100 / time.Duration(max(a.slowdown, 1))
		}
		if a.sim.runCrashesAgent(run) {
			a.sim.crashByRun(a, run)
			return
		}
		switch {
		case run.stopAt != 0 && a.sim.now >= run.stopAt:
			a.end(k, wire.RunOutcome_RUN_OUTCOME_STOPPED)
		case run.fails && (run.work > run.length/2 || a.failsAfter > 0 && run.work >= a.failsAfter):
			a.end(k, wire.RunOutcome_RUN_OUTCOME_FAILED)
		case run.work >= run.length && !run.step.Standing:
			a.end(k, wire.RunOutcome_RUN_OUTCOME_DONE)
		}
	}
	stillWaiting := a.waitingPolls[:0]
	for _, w := range a.waitingPolls {
		if len(a.completions) == 0 && a.sim.now < w.until {
			stillWaiting = append(stillWaiting, w)
			continue
		}
		if answer := a.handle(w.order); !a.isUnreachable() {
			w.reply(answer)
		}
	}
	a.waitingPolls = stillWaiting
}

func (a *modelAgent) end(key string, outcome wire.RunOutcome) {
	run := a.runs[key]
	delete(a.runs, key)
	a.closed[key] = max(a.closed[key], run.id.Run)
	a.number++
	a.completions = append(a.completions, drive.Completion{Number: a.number, Run: run.id, Outcome: outcome, Checkpoint: a.sim.checkpoint()})
	a.sim.runEnded(run, outcome)
}

func (s *sim) checkpoint() string {
	if s.noCheckpoints {
		return ""
	}
	return "saved"
}

func (a *modelAgent) runKeys() []string {
	keys := make([]string, 0, len(a.runs))
	for k := range a.runs {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
