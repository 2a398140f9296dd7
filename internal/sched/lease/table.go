// This file defines Table, the leases that a leader has granted.

// Package lease tracks the leases under which workers may run tasks.
//
// A worker's lease starts when the worker sends the report that the grant answers, on
// its own monotonic clock. The leader doesn't know that time, but it is before the
// report's arrival, so a lease counted from the grant expires no earlier than the
// worker's. A new leader doesn't know the grants of its predecessor and waits until the
// last of them must have expired. Clocks may disagree, but their rates may differ by
// MaxClockDrift at most.
package lease

import (
	"time"
)

const (
	// MaxClockDrift is the largest relative difference of two clocks' rates.
	MaxClockDrift = 0.02
	// TimerSlack is a margin for timers that fire late.
	TimerSlack = 100 * time.Millisecond
)

type (
	grant struct {
		incarnation string
		until       time.Time
		pending     bool // registered, but no lease granted yet
	}

	// Table holds the leases that one leader granted in one term. See NewTable.
	Table struct {
		duration time.Duration
		// earliestExpiry is when all leases of earlier leaders have certainly expired. No
		// lease counts as expired before.
		earliestExpiry time.Time
		grants         map[string]grant
	}
)

// NewTable returns the table of a leader elected at the given time. Overlap is the
// longest time after that in which an earlier leader may still have granted leases: the
// election timeout.
func NewTable(since time.Time, duration, overlap time.Duration) *Table {
	return &Table{
		duration:       duration,
		earliestExpiry: since.Add(withMargin(duration + overlap)),
		grants:         map[string]grant{},
	}
}

// Grant records a lease granted in the answer to a worker's report, and returns its
// duration.
func (t *Table) Grant(worker, incarnation string, now time.Time) time.Duration {
	t.grants[worker] = grant{incarnation: incarnation, until: now.Add(withMargin(t.duration))}
	return t.duration
}

// Register gives a newly registered incarnation one lease duration to request its first
// lease. Otherwise it would count as expired at once, be declared lost before its next
// report and register again, without end.
func (t *Table) Register(worker, incarnation string, now time.Time) {
	if g, ok := t.grants[worker]; ok && g.incarnation == incarnation {
		return
	}
	t.grants[worker] = grant{incarnation: incarnation, until: now.Add(withMargin(t.duration)), pending: true}
}

// Expired reports whether every lease of the incarnation has certainly expired.
func (t *Table) Expired(worker, incarnation string, now time.Time) bool {
	if now.Before(t.earliestExpiry) {
		return false
	}
	g, ok := t.grants[worker]
	return !ok || g.incarnation != incarnation || now.After(g.until)
}

// Active reports whether the incarnation was granted a lease that may not have expired.
func (t *Table) Active(worker, incarnation string, now time.Time) bool {
	g, ok := t.grants[worker]
	return ok && !g.pending && g.incarnation == incarnation && now.Before(g.until)
}

// Remove removes the grants of a worker that was declared lost.
func (t *Table) Remove(worker string) {
	delete(t.grants, worker)
}

// withMargin returns the longest time by this clock that a duration may take by another.
func withMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*MaxClockDrift) + TimerSlack
}
