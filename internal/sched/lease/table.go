// This file defines Table, the leader's memory of the leases it granted.

// Package lease keeps track of how long workers may run on.
//
// A worker's lease runs from the moment it sent the report that a grant
// answers, on its own monotonic clock. The leader doesn't know that moment,
// but it isn't later than the report's arrival, so a lease counted from the
// grant ends no earlier than the worker's. A new leader knows nothing of the
// grants of the one before it, and waits as long as the last of them could
// run. Clocks are trusted to run at the same rate within Drift, not to agree.
package lease

import (
	"time"
)

const (
	// Drift is the part by which two clocks' rates may differ.
	MaxClockDrift = 0.02
	// Slack is added for timers that fire late.
	TimerSlack = 100 * time.Millisecond
)

type (
	grant struct {
		incarnation string
		until       time.Time
		// expected says that no lease was granted yet.
		expected bool
	}

	// Table is what one leader granted in one term. It is made by NewTable.
	Table struct {
		duration time.Duration
		settled  time.Time
		grants   map[string]grant
	}
)

// NewTable returns the table of a leader that leads since the given time.
// Overlap is the longest time that the leader before it could still have
// granted leases after that: an election timeout.
func NewTable(since time.Time, duration, overlap time.Duration) *Table {
	return &Table{
		duration: duration,
		settled:  since.Add(stretched(duration + overlap)),
		grants:   map[string]grant{},
	}
}

// Grant notes that a worker's report is being answered with a lease, and
// returns its duration.
func (t *Table) Grant(worker, incarnation string, now time.Time) time.Duration {
	t.grants[worker] = grant{incarnation: incarnation, until: now.Add(stretched(t.duration))}
	return t.duration
}

// Expect notes that an incarnation was registered, and gives it the time of a
// lease to ask for its first one. Without that it would count as out at once,
// be lost before its next report, register anew, and so on for ever.
func (t *Table) Register(worker, incarnation string, now time.Time) {
	if g, ok := t.grants[worker]; ok && g.incarnation == incarnation {
		return
	}
	t.grants[worker] = grant{incarnation: incarnation, until: now.Add(stretched(t.duration)), expected: true}
}

// Out tells whether every lease of the incarnation has surely run out.
func (t *Table) Expired(worker, incarnation string, now time.Time) bool {
	if now.Before(t.settled) {
		return false
	}
	g, ok := t.grants[worker]
	return !ok || g.incarnation != incarnation || now.After(g.until)
}

// Held tells whether the incarnation was granted a lease that may still run.
func (t *Table) Active(worker, incarnation string, now time.Time) bool {
	g, ok := t.grants[worker]
	return ok && !g.expected && g.incarnation == incarnation && now.Before(g.until)
}

// Forget drops what is known of a worker that was declared lost.
func (t *Table) Remove(worker string) {
	delete(t.grants, worker)
}

func stretched(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*MaxClockDrift) + TimerSlack
}
