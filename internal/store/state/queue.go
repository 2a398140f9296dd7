// This file defines the queue of one client account.

package state

import (
	"sort"

	"sycamoredeck.example/internal/schema/wire"
)

// queue holds jobs in order: urgent ones first, then by submission. Evicted
// work keeps its place. New jobs go to the end, so pushes are nearly always
// appends; removals leave a gap that is closed once half is gaps.
type queue struct {
	jobs []*wire.Job
	gaps int
}

func (q *queue) len() int {
	return len(q.jobs) - q.gaps
}

func (q *queue) push(j *wire.Job) {
	q.close()
	at := sort.Search(len(q.jobs), func(i int) bool { return before(j, q.jobs[i]) })
	q.jobs = append(q.jobs, nil)
	copy(q.jobs[at+1:], q.jobs[at:])
	q.jobs[at] = j
}

func (q *queue) remove(j *wire.Job) {
	for i := q.search(j); i < len(q.jobs); i++ {
		if q.jobs[i] == j {
			q.jobs[i] = nil
			q.gaps++
			break
		}
	}
	if q.gaps > len(q.jobs)/2 {
		q.close()
	}
}

// search finds where to begin looking for j. Gaps have no order, so with gaps
// the search starts at the front; heads are what is removed mostly.
func (q *queue) search(j *wire.Job) int {
	if q.gaps > 0 {
		return 0
	}
	return sort.Search(len(q.jobs), func(i int) bool { return !before(q.jobs[i], j) })
}

func (q *queue) close() {
	if q.gaps == 0 {
		return
	}
	kept := q.jobs[:0]
	for _, j := range q.jobs {
		if j != nil {
			kept = append(kept, j)
		}
	}
	clear(q.jobs[len(kept):])
	q.jobs, q.gaps = kept, 0
}

func (q *queue) each(visit func(*wire.Job) bool) {
	for _, j := range q.jobs {
		if j != nil && !visit(j) {
			return
		}
	}
}

func before(a, b *wire.Job) bool {
	if a.Spec.Urgent != b.Spec.Urgent {
		return a.Spec.Urgent
	}
	return a.Sequence < b.Sequence
}
