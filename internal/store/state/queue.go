// This file defines the job queue of a client account.

package state

import (
	"sort"

	"sycamoredeck.example/internal/schema/wire"
)

// queue holds jobs in order: urgent ones first, then by submission. Evicted jobs keep their
// position. New jobs are nearly always appended. A removal leaves a nil gap; the slice is
// compacted once more than half of it is gaps.
type queue struct {
	jobs []*wire.Job
	gaps int
}

func (q *queue) len() int {
	return len(q.jobs) - q.gaps
}

func (q *queue) push(j *wire.Job) {
	q.compact()
	at := sort.Search(len(q.jobs), func(i int) bool { return queuedBefore(j, q.jobs[i]) })
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
		q.compact()
	}
}

// search returns the index from which to look for j. A slice with gaps can't be searched by
// bisection; jobs are mostly removed at the head anyway.
func (q *queue) search(j *wire.Job) int {
	if q.gaps > 0 {
		return 0
	}
	return sort.Search(len(q.jobs), func(i int) bool { return !queuedBefore(q.jobs[i], j) })
}

func (q *queue) compact() {
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

func (q *queue) forEach(visit func(*wire.Job) bool) {
	for _, j := range q.jobs {
		if j != nil && !visit(j) {
			return
		}
	}
}

func queuedBefore(a, b *wire.Job) bool {
	if a.Spec.Urgent != b.Spec.Urgent {
		return a.Spec.Urgent
	}
	return a.Sequence < b.Sequence
}
