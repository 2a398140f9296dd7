// This file defines the order in which stages are served, and how it is kept from
// one pass of placing to the next.

package drive

import (
	"slices"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// lineAge is for how long the order of stages holds, for each stage in it, and
	// longestAge at most. Between that, those that came since are put where they
	// belong: sorting all anew in each pass takes longer than placing them.
	lineAge    = 25 * time.Microsecond
	longestAge = 100 * time.Millisecond
	// forgetInterval is how often what is known of stages is forgotten whose jobs have
	// ended.
	forgetInterval = time.Second
)

// line is the stages that wait, in the order in which they are served. The zero
// value is empty.
type line struct {
	sorted, added []ranked // each in order
	listed        map[*graph.Stage]bool
	until         time.Duration // when it is made anew
	crowded       map[string]bool
	kinds         map[taskKind]int
}

func (l *line) empty() bool { return len(l.sorted)+len(l.added) == 0 }

// each calls f with the stages in order until it returns false. Stages of which
// nothing is left to place are passed over.
func (l *line) each(f func(*ranked) bool) {
	sorted, added := l.sorted, l.added
	for len(sorted)+len(added) > 0 {
		var next *ranked
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
func (l *line) kind(k taskKind) int {
	n, known := l.kinds[k]
	if !known {
		n = len(l.kinds)
		l.kinds[k] = n
	}
	return n
}

// renewLine brings the order of stages up to date.
func (e *Engine) renewLine(wall time.Time) {
	fresh := e.fresh
	e.fresh = nil
	if e.now >= e.line.until {
		e.makeLine(e.graph.ReadyStages(), wall)
		return
	}
	for _, s := range fresh {
		if s.Ready() && !e.line.listed[s] && !s.Due.After(wall) {
			e.noteReady(s)
			e.line.listed[s] = true
			e.line.added = append(e.line.added, e.placeInLine(s, wall))
		}
	}
	slices.SortFunc(e.line.added, compareRanked)
}

func (e *Engine) makeLine(stages []*graph.Stage, wall time.Time) {
	e.noteNeed(stages)
	e.forgetStages()
	e.line = line{
		sorted: e.line.sorted[:0], added: e.line.added[:0], listed: make(map[*graph.Stage]bool, len(stages)),
		until: e.now + min(time.Duration(len(stages))*lineAge, longestAge), kinds: map[taskKind]int{},
	}
	for _, s := range stages {
		e.noteReady(s)
		if !s.Due.After(wall) {
			e.line.listed[s] = true
			e.line.sorted = append(e.line.sorted, e.rank(s, wall))
		}
	}
	e.noteCrowded(e.line.sorted)
	slices.SortFunc(e.line.sorted, compareRanked)
}

// placeInLine ranks a stage that came since the order was made.
func (e *Engine) placeInLine(s *graph.Stage, wall time.Time) ranked {
	r := e.rank(s, wall)
	r.crowded = e.line.crowded[s.Job.Queue]
	return r
}

// noteReady keeps since when a stage has tasks to place.
func (e *Engine) noteReady(s *graph.Stage) {
	if _, known := e.readySince[s]; !known {
		e.readySince[s] = e.now
	}
}

// forgetStages forgets what is known of stages whose jobs have ended.
func (e *Engine) forgetStages() {
	if e.now < e.nextForget {
		return
	}
	e.nextForget = e.now + forgetInterval
	for job := range e.learned.jobs {
		if job.Ended() {
			delete(e.learned.jobs, job)
		}
	}
	for s := range e.readySince {
		if s.Job.Ended() {
			delete(e.readySince, s)
			delete(e.advice, s)
		}
	}
}
