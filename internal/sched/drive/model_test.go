// This file defines the model of agents that the engine is tested against.

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
	// modelRun is a run that exists on a model agent.
	modelRun struct {
		id       *wire.RunId
		step     *wire.Step
		work     time.Duration // done so far
		length   time.Duration
		fails    bool
		pace     int           // percent
		stopping time.Duration // when a stop ends it; 0 for none
		began    time.Duration
	}

	// modelAgent is one incarnation of a worker, by the rules that the
	// platform's agents keep.
	modelAgent struct {
		sim    *sim
		record *wire.Agent
		// incarnation is what it tells; the record may lack it where reports lose it.
		incarnation uint64
		offset      time.Duration
		rate        float64
		fence       uint64
		deadline    time.Duration
		runs        map[string]*modelRun
		closed      map[string]uint32 // highest run stopped or ended, by task
		ends        []drive.Completion
		number      uint64
		// lapsed is the number of the latest end that was listed when the lease ran out. An
		// acknowledgement that comes after that notes none of those ends.
		lapsed  uint64
		waiting []waitingHold
		// open are what becomes of each order sent to it when its connection is closed;
		// those that were answered take no notice.
		open     []func()
		cutUntil time.Duration
		// fullRoom is the room that a shrunk agent had before; 0 for one that hasn't shrunk.
		fullRoom uint64
		shrunkAt time.Duration
		failing  bool
		sequence uint64
		nextBeat time.Duration
	}

	// waitingHold is a hold whose answer waits for an end.
	waitingHold struct {
		order drive.Order
		until time.Duration
		reply func(drive.Answer)
	}
)

func taskKey(id *wire.RunId) string {
	return fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index)
}

func (r *modelAgent) clock() time.Duration {
	return r.offset + time.Duration(float64(r.sim.now)*r.rate)
}

func (r *modelAgent) cut() bool { return r.sim.now < r.cutUntil }

// isFor tells whether the agent is the process that an order is for. Those that take
// orders to agents see to that; the agent itself only knows its name.
func (r *modelAgent) isFor(o drive.Order) bool {
	name := o.Agent.Name
	if name == "" {
		name = o.Agent.Id
	}
	return name == r.record.Id && (o.Incarnation == 0 || o.Incarnation == r.incarnation)
}

// handle carries an order out.
func (r *modelAgent) handle(o drive.Order) drive.Answer {
	a := drive.Answer{Order: o, Verdict: drive.Accepted, ClockKnown: true, Clock: r.clock()}
	if !r.isFor(o) {
		return drive.Answer{Order: o, Verdict: drive.OtherIncarnation}
	}
	if o.Fence < r.fence {
		a.Verdict = drive.RefusedFence
		return a
	}
	r.fence = o.Fence
	switch o.Kind {
	case drive.Poll:
		a.Incarnation = r.incarnation
		r.extend(o.Deadline)
		for len(r.ends) > 0 && r.ends[0].Number <= o.LastAcked {
			if r.ends[0].Number > r.lapsed {
				r.sim.noted(r.ends[0])
			}
			r.ends = r.ends[1:]
		}
		r.list(&a)
	case drive.Start:
		a.Verdict = r.start(o)
	case drive.Stop:
		r.stop(o.Run)
	case drive.Throttle:
		if run := r.runs[taskKey(o.Run)]; run != nil && run.id.Run == o.Run.Run {
			run.pace = o.CPUPercent
		}
	}
	return a
}

func (r *modelAgent) list(a *drive.Answer) {
	for _, key := range r.keys() {
		run := r.runs[key]
		percent := min(int(100*run.work/max(run.length, 1)), 100)
		status := drive.RunStatus{Run: run.id, ProgressPercent: percent, Checkpoint: "saved", Usage: int(run.step.CpuMillis)}
		switch {
		case run.step.TailTargetMs > 0:
			status.Usage = r.sim.tailOf(r, run)
		case run.step.Opportunistic:
			status.Usage = int(run.step.CpuMillis) * run.pace / 100
		}
		a.Running = append(a.Running, status)
	}
	a.Completions = append(a.Completions, r.ends...)
}

func (r *modelAgent) extend(deadline time.Duration) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+modelMaxLease))
}

func (r *modelAgent) start(o drive.Order) drive.Verdict {
	key := taskKey(o.Run)
	if o.Deadline < r.clock() {
		return drive.RefusedExpired
	}
	if run := r.runs[key]; run != nil && run.id.Run == o.Run.Run {
		r.extend(o.Deadline)
		return drive.Accepted
	}
	r.extend(o.Deadline)
	if o.Run.Run <= r.closed[key] {
		return drive.RefusedStale
	}
	if r.sim.advice {
		wanted := fmt.Sprintf("%s.%d.%d/%s", o.Run.Job, o.Run.Occurrence, o.Run.Step, r.record.Id)
		if until, ok := r.sim.issued[o.Ticket]; o.Ticket != wanted || !ok || r.sim.now > until {
			r.sim.tickets++
			return drive.RefusedTicket
		}
	}
	step := r.sim.steps[fmt.Sprintf("%s.%d", o.Run.Job, o.Run.Step)]
	if !step.Opportunistic && r.committed()+step.CpuMillis > r.record.CpuMillis {
		shrunk := r.fullRoom > 0 && (r.sim.now < r.shrunkAt+roomKnown || r.sim.now < r.cutUntil+roomKnown)
		r.sim.check(r.sim.guarded || shrunk, "%s is committed beyond its room by %s, ordered at %v, shrunk at %v", r.record.Id, key, o.SentAt, r.shrunkAt)
		return drive.RefusedCapacity
	}
	r.sim.began(r, o)
	length := time.Duration(step.EstimateMs) * time.Millisecond
	if real, other := r.sim.realTimes[o.Run.Job]; other {
		length = real
	}
	r.runs[key] = &modelRun{
		id: proto.Clone(o.Run).(*wire.RunId), step: step, length: length, pace: 100, began: r.sim.now,
		fails: r.failing || r.sim.random.Float64() < r.sim.faults.fail,
	}
	if r.sim.crashesAgent(r.runs[key]) {
		r.sim.crashByRun(r)
		return drive.NoAnswer
	}
	return drive.Accepted
}

func (r *modelAgent) committed() uint64 {
	var sum uint64
	for _, run := range r.runs {
		if !run.step.Opportunistic {
			sum += run.step.CpuMillis
		}
	}
	return sum
}

func (r *modelAgent) stop(id *wire.RunId) {
	key := taskKey(id)
	r.closed[key] = max(r.closed[key], id.Run)
	if run := r.runs[key]; run != nil && run.id.Run <= id.Run && run.stopping == 0 {
		run.stopping = r.sim.now + time.Duration(r.sim.random.Int64N(int64(modelGrace)))
	}
}

// tick lets time go by for what runs.
func (r *modelAgent) tick(step time.Duration) {
	if r.deadline > 0 && r.clock() > r.deadline {
		for _, key := range r.keys() {
			r.end(key, wire.RunOutcome_RUN_OUTCOME_LAPSED)
		}
		r.lapsed = r.number
	}
	for _, key := range r.keys() {
		run := r.runs[key]
		run.work += step * time.Duration(run.pace) / 100
		if r.sim.crashesAgent(run) {
			r.sim.crashByRun(r)
			return
		}
		switch {
		case run.stopping != 0 && r.sim.now >= run.stopping:
			r.end(key, wire.RunOutcome_RUN_OUTCOME_STOPPED)
		case run.fails && run.work > run.length/2:
			r.end(key, wire.RunOutcome_RUN_OUTCOME_FAILED)
		case run.work >= run.length && !run.step.Standing:
			r.end(key, wire.RunOutcome_RUN_OUTCOME_DONE)
		}
	}
	kept := r.waiting[:0]
	for _, w := range r.waiting {
		if len(r.ends) == 0 && r.sim.now < w.until {
			kept = append(kept, w)
			continue
		}
		if a := r.handle(w.order); !r.cut() {
			w.reply(a)
		}
	}
	r.waiting = kept
}

func (r *modelAgent) end(key string, outcome wire.RunOutcome) {
	run := r.runs[key]
	delete(r.runs, key)
	r.closed[key] = max(r.closed[key], run.id.Run)
	r.number++
	r.ends = append(r.ends, drive.Completion{Number: r.number, Run: run.id, Outcome: outcome, Checkpoint: "saved"})
	r.sim.ended(run, outcome)
}

func (r *modelAgent) keys() []string {
	keys := make([]string, 0, len(r.runs))
	for key := range r.runs {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
