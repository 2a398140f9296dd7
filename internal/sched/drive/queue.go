// This file defines the order in which stages are served, and how it is kept from
// one pass of placing to the next.

package drive

import (
	"slices"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// queueAgePerStage is for how long the order of stages holds, for each stage in it, and
	// maxQueueAge at most. Between that, those that came since are put where they
	// belong: sorting all anew in each pass takes longer than placing them.
	queueAgePerStage = 25 * time.Microsecond
	maxQueueAge      = 100 * time.Millisecond
	// cleanupInterval is how often what is known of stages is forgotten whose jobs have
	// ended.
	cleanupInterval = time.Second
)

// line is the stages that wait, in the order in which they are served. The zero
// value is empty.
type pendingQueue struct {
	sorted, newlySorted []rankedStage // each in order
	listed              map[*graph.Stage]bool
	rebuildAt           time.Duration // when it is made anew
	overloaded          map[string]bool
	classes             map[taskClass]int
}

func (l *pendingQueue) empty() bool { return len(l.sorted)+len(l.newlySorted) == 0 }

// each calls f with the stages in order until it returns false. Stages of which
// nothing is left to place are passed over.
func (l *pendingQueue) each(f func(*rankedStage) bool) {
	sorted, added := l.sorted, l.newlySorted
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

// kind numbers the kinds of tasks.
func (l *pendingQueue) classNumber(k taskClass) int {
	n, known := l.classes[k]
	if !known {
		n = len(l.classes)
		l.classes[k] = n
	}
	return n
}

// updateQueue brings the order of stages up to date.
func (e *Engine) updateQueue(wall time.Time) {
	fresh := e.newlyReady
	e.newlyReady = nil
	if e.now >= e.queue.rebuildAt {
		e.rebuildQueue(e.graph.ReadyStages(), wall)
		return
	}
	for _, s := range fresh {
		if s.Ready() && !e.queue.listed[s] && !s.Due.After(wall) {
			e.recordReady(s)
			e.queue.listed[s] = true
			e.queue.newlySorted = append(e.queue.newlySorted, e.rankNew(s, wall))
		}
	}
	slices.SortFunc(e.queue.newlySorted, compareStages)
}

func (e *Engine) rebuildQueue(stages []*graph.Stage, wall time.Time) {
	e.updateOrdinaryDemand(stages)
	e.removeEndedStages()
	e.queue = pendingQueue{
		sorted: e.queue.sorted[:0], newlySorted: e.queue.newlySorted[:0], listed: make(map[*graph.Stage]bool, len(stages)),
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
}

// rankNew ranks a stage that came since the order was made.
func (e *Engine) rankNew(s *graph.Stage, wall time.Time) rankedStage {
	r := e.rank(s, wall)
	r.overloaded = e.queue.overloaded[s.Job.Queue]
	return r
}

// recordReady keeps since when a stage has tasks to place.
func (e *Engine) recordReady(s *graph.Stage) {
	if _, known := e.readySince[s]; !known {
		e.readySince[s] = e.now
	}
}

// removeEndedStages forgets what is known of stages whose jobs have ended.
func (e *Engine) removeEndedStages() {
	if e.now < e.nextCleanup {
		return
	}
	e.nextCleanup = e.now + cleanupInterval
	for job := range e.estimates.jobs {
		if job.Ended() {
			delete(e.estimates.jobs, job)
		}
	}
	for s := range e.readySince {
		if s.Job.Ended() {
			delete(e.readySince, s)
			delete(e.advice, s)
		}
	}
}
