// This file implements the record of a case and the account of which runs existed when.

package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// record writes the events of a case to a file, each with the milliseconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begun: time.Now()}, nil
}

func (r *record) now() time.Duration { return time.Since(r.begun) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8d ms  %s\n", r.now().Milliseconds(), fmt.Sprintf(format, args...))
}

type (
	// span is the time in which one run of a task existed on a runner that was up. It is over
	// once until is set.
	span struct {
		task, runner string
		run          uint32
		from, until  time.Duration
		how          string
	}

	// account holds the spans of all runs, as the runners saw them.
	account struct {
		mu    sync.Mutex
		spans []*span
	}
)

func (a *account) began(task string, run uint32, runner string, at time.Duration) *span {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &span{task: task, run: run, runner: runner, from: at}
	a.spans = append(a.spans, s)
	return s
}

func (a *account) ended(s *span, how string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.until == 0 {
		s.until, s.how = at, how
	}
}

// ofTask returns the spans of a task in the order of their begin.
func (a *account) ofTask(task string) []span {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []span
	for _, s := range a.spans {
		if s.task == task {
			list = append(list, *s)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].from < list[k].from })
	return list
}

// running returns the span of a task that isn't over, if there is one.
func (a *account) running(task string) (span, bool) {
	for _, s := range a.ofTask(task) {
		if s.until == 0 {
			return s, true
		}
	}
	return span{}, false
}

// sameTime is how long two runs have to exist at the same time to count. It covers what the
// stand-ins themselves take to end a run.
const sameTime = 100 * time.Millisecond

// overlaps describes each pair of runs of a task that existed at the same time.
func (a *account) overlaps(task string, now time.Duration) []string {
	var found []string
	spans := a.ofTask(task)
	end := func(s span) time.Duration {
		if s.until == 0 {
			return now
		}
		return s.until
	}
	for i, s := range spans {
		for _, o := range spans[i+1:] {
			if both := min(end(s), end(o)) - o.from; both > sameTime {
				found = append(found, fmt.Sprintf("run %d on %s (%d to %d ms) and run %d on %s (%d to %d ms): both for %d ms",
					s.run, s.runner, s.from.Milliseconds(), end(s).Milliseconds(), o.run, o.runner, o.from.Milliseconds(), end(o).Milliseconds(), both.Milliseconds()))
			}
		}
	}
	return found
}
