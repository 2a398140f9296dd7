// This file defines the queue of ready stages, which is kept from one pass to the next.

package drive

import (
	"slices"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// The queue is rebuilt after queueAgePerStage for each stage in it, but at most after
	// maxQueueAge. In between, new stages are merged in: sorting all stages in each pass
	// would take longer than placing them.
	queueAgePerStage = 25 * time.Microsecond
	maxQueueAge      = 100 * time.Millisecond
	// cleanupInterval is the interval at which data on the stages of ended jobs is
	// removed.
	cleanupInterval = time.Second
)

// pendingQueue holds the ready stages in scheduling order. The zero value is empty.
type pendingQueue struct {
	sorted, added []rankedStage // each in scheduling order
	listed        map[*graph.Stage]bool
	rebuildAt     time.Duration
	overloaded    map[string]bool
	classes       map[taskClass]int
}

func (q *pendingQueue) empty() bool { return len(q.sorted)+len(q.added) == 0 }

// each calls f for each stage in order until f returns false. Stages without tasks left
// to place are skipped.
func (q *pendingQueue) each(f func(*rankedStage) bool) {
	sorted, added := q.sorted, q.added
	for len(sorted)+len(added) > 0 {
		var next *rankedStage
		if len(added) == 0 || len(sorted) > 0 && sorted[0].before(&added[0]) {
			next, sorted = &sorted[0], sorted[1:]
		} else {
			next, added = &added[0], added[1:]
		}
		if next.stage.Ready() && !f(next) {
			return
		}
	}
}

// classNumber returns the number of a task class, a new one if it has none yet.
func (q *pendingQueue) classNumber(class taskClass) int {
	n, known := q.classes[class]
	if !known {
		n = len(q.classes)
		q.classes[class] = n
	}
	return n
}

// updateQueue rebuilds the queue or merges the newly ready stages.
func (e *Engine) updateQueue(wall time.Time) {
	newlyReady := e.newlyReady
	e.newlyReady = nil
	for _, s := range newlyReady {
		e.recordWaiting(s)
	}
	if e.now >= e.queue.rebuildAt {
		e.rebuildQueue(e.graph.ReadyStages(), wall)
		return
	}
	for _, s := range newlyReady {
		if s.Ready() && !e.queue.listed[s] && !s.Due.After(wall) {
			e.recordReady(s)
			e.queue.listed[s] = true
			e.queue.added = append(e.queue.added, e.rankNew(s, wall))
		}
	}
	slices.SortFunc(e.queue.added, compareStages)
}

func (e *Engine) rebuildQueue(stages []*graph.Stage, wall time.Time) {
	e.updateOrdinaryDemand(stages)
	e.removeEndedStages()
	e.queue = pendingQueue{
		sorted: e.queue.sorted[:0], added: e.queue.added[:0], listed: make(map[*graph.Stage]bool, len(stages)),
		rebuildAt: e.now + min(time.Duration(len(stages))*queueAgePerStage, maxQueueAge), classes: map[taskClass]int{},
	}
	for _, s := range stages {
		e.recordReady(s)
		if !s.Due.After(wall) {
			e.queue.listed[s] = true
			e.queue.sorted = append(e.queue.sorted, e.rank(s, wall))
		}
	}
	e.markOverloaded(e.queue.sorted)
	slices.SortFunc(e.queue.sorted, compareStages)
	e.findLateStages()
}

// rankNew ranks a stage that became ready after the queue was built.
func (e *Engine) rankNew(s *graph.Stage, wall time.Time) rankedStage {
	r := e.rank(s, wall)
	r.overloaded = e.queue.overloaded[s.Job.Queue]
	return r
}

// recordReady records when a stage first had tasks to place.
func (e *Engine) recordReady(s *graph.Stage) {
	if e.progress[s] == nil {
		e.progress[s] = &stageProgress{readyAt: e.now, waitingSince: e.now}
	}
}

// recordWaiting records that a stage again has tasks to place.
func (e *Engine) recordWaiting(s *graph.Stage) {
	if p := e.progress[s]; p != nil {
		p.waitingSince = e.now
	}
}

// removeEndedStages removes data on the stages of ended jobs.
func (e *Engine) removeEndedStages() {
	if e.now < e.nextCleanup {
		return
	}
	e.nextCleanup = e.now + cleanupInterval
	for j := range e.estimates.jobs {
		if j.Ended() {
			delete(e.estimates.jobs, j)
		}
	}
	for s := range e.progress {
		if s.Job.Ended() {
			delete(e.progress, s)
			delete(e.advice, s)
		}
	}
}
