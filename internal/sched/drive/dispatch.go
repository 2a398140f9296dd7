// This file defines when starts are sent.

package drive

import (
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// maxStartsInFlight limits the starts that are in flight to all agents. A leader without
	// processor time that sends all starts at once reads the answers after their time limit,
	// and sends each start again on a new connection.
	maxStartsInFlight = 400
	// maxAgentStarts limits the starts that are in flight to one agent. An agent has few
	// connections, which polls and stops need as well.
	maxAgentStarts = 4
	// Nothing is placed on an agent for which maxAgentStartsWaiting starts wait, and nothing
	// of a priority for which maxStartsWaiting starts, with those of higher priority, wait
	// only since too many are in flight. A task that isn't placed yet can go to an agent that
	// takes it sooner.
	maxAgentStartsWaiting = 16
	maxStartsWaiting      = maxStartsInFlight
)

// startsWaiting and oldestStart describe the starts that wait at this replica: their number,
// and for how many milliseconds the first one has waited.
var startsWaiting, oldestStart atomic.Int64

func init() {
	metrics.NewGauge("sycamoredeck_starts_waiting", func() float64 { return float64(startsWaiting.Load()) })
	metrics.NewGauge("sycamoredeck_starts_waiting_oldest_seconds", func() float64 {
		return (time.Duration(oldestStart.Load()) * time.Millisecond).Seconds()
	})
}

// startQueue holds the runs whose start is due. Whether a run may be started, under which
// lease and with which ticket is decided when its start is sent, since all of that may change
// while it waits. The zero value is empty.
type startQueue struct {
	inFlight int
	// waiting are the runs by priority, and then in the order in which they were added.
	waiting []*run
	// changed is set once another start may be sent.
	changed bool
}

// add adds a run unless it waits already.
func (q *startQueue) add(r *run, priority uint32, now time.Duration) {
	if r.startWaiting {
		return
	}
	r.startWaiting, r.startPriority, r.startDueAt = true, priority, now
	r.agent.startsWaiting++
	q.waiting = slices.Insert(q.waiting, q.endOf(priority), r)
	q.changed = true
}

// remove removes a run if it waits.
func (q *startQueue) remove(r *run) {
	if r.startWaiting {
		r.leaveStarts()
		q.waiting = slices.DeleteFunc(q.waiting, func(o *run) bool { return o == r })
	}
}

// endOf returns the position behind the runs of a priority.
func (q *startQueue) endOf(priority uint32) int {
	return sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].startPriority > priority })
}

// release returns the slot of a start that was answered, or reached its time limit.
func (q *startQueue) release() {
	q.inFlight--
	q.changed = true
}

// room returns how many further starts of a priority may come to wait for a slot. Starts that
// wait for an earlier one on their agent don't count.
func (q *startQueue) room(priority uint32) int {
	room := maxStartsInFlight - q.inFlight + maxStartsWaiting
	counted := map[*agent]int{}
	for _, r := range q.waiting[:q.endOf(priority)] {
		if r.agent.startsInFlight+counted[r.agent] < r.agent.startLimit() {
			counted[r.agent]++
			room--
		}
	}
	return room
}

// queueStart makes the start of a run due.
func (e *Engine) queueStart(r *run) {
	r.phase = phaseUnresolved
	e.starts.add(r, e.priorityOf(r.task.Stage), e.now)
}

func (e *Engine) priorityOf(s *graph.Stage) uint32 {
	return e.graph.Queue(s.Job.Queue).GetPriority()
}

// sendStarts sends the starts that are due, as far as there are slots, by priority. Among
// those of one priority the agents with the fewest starts in flight go first, so that slow
// ones don't take all slots.
func (e *Engine) sendStarts() {
	q := &e.starts
	if !q.changed || !e.holdsLeaderLease() {
		return
	}
	q.changed = false
	for begin, end := 0, 0; begin < len(q.waiting) && q.inFlight < maxStartsInFlight; begin = end {
		for end = begin + 1; end < len(q.waiting) && q.waiting[end].startPriority == q.waiting[begin].startPriority; end++ {
		}
		for limit := 1; limit <= maxAgentStarts; limit++ {
			e.sendStartsOf(q.waiting[begin:end], limit)
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(r *run) bool { return !r.startWaiting })
}

// sendStartsOf sends the starts of some waiting runs to agents with fewer than limit starts in
// flight.
func (e *Engine) sendStartsOf(runs []*run, limit int) {
	for _, r := range runs {
		switch {
		case e.starts.inFlight >= maxStartsInFlight:
			return
		case !r.startWaiting:
		case !r.waitsToStart():
			r.leaveStarts()
		case r.agent.startsInFlight < min(limit, r.agent.startLimit()):
			r.leaveStarts()
			e.start(r)
			if r.phase != phaseStarting {
				e.scheduleReconcile(r.agent) // to stop it, or to try again
			}
		}
	}
}

// leaveStarts records that the run's start doesn't wait any more.
func (r *run) leaveStarts() {
	r.startWaiting = false
	r.agent.startsWaiting--
}

// waitsToStart reports whether the run's start waits to be sent. A run that is listed in
// Engine.starts may have been ended since, or found to be running.
func (r *run) waitsToStart() bool {
	return r.startWaiting && r.phase == phaseUnresolved && !r.endPending
}

// startLimit returns how many starts may be in flight to the agent. One that has left a start
// unanswered gets them one by one until it answers, as each takes a slot until its time limit.
func (a *agent) startLimit() int {
	if a.startUnanswered {
		return 1
	}
	return maxAgentStarts
}

// startRoom returns how many further tasks of a stage may be placed, as far as starts that wait
// are concerned.
func (p *pass) startRoom(s *graph.Stage) int {
	priority := p.engine.priorityOf(s)
	room, known := p.startRooms[priority]
	if !known {
		room = p.engine.starts.room(priority)
		p.startRooms[priority] = room
	}
	return room - len(p.placed)
}

// updateStartMetrics updates the metrics of starts that wait.
func (e *Engine) updateStartMetrics() {
	oldest := e.now
	for _, r := range e.starts.waiting {
		oldest = min(oldest, r.startDueAt)
	}
	startsWaiting.Store(int64(len(e.starts.waiting)))
	oldestStart.Store((e.now - oldest).Milliseconds())
}
