// Package sycamoredeck exports coordination components of the scheduler for use in
// other programs: leases, a division of slots without communication, a weighted fair
// queue and a retry budget. They start no goroutines, open no connections and get the
// current time from their callers.
//
// The replicated log is not exported, since its records depend on the scheduler's
// schema.
package sycamoredeck

import (
	"time"

	"sycamoredeck.example/internal/fleet/slots"
	"sycamoredeck.example/internal/front/admit"
	"sycamoredeck.example/internal/front/retry"
	"sycamoredeck.example/internal/sched/lease"
)

type (
	// LeaseTable records the leases that a leader has granted. It is created by
	// NewLeaseTable and not safe for concurrent use.
	LeaseTable = lease.Table

	// SlotDivider assigns each of several entries its share of a server's slots. It is
	// immutable. The zero value assigns none.
	SlotDivider = slots.Divider

	// FairQueue divides capacity among accounts by weight. The zero value is empty. It
	// is not safe for concurrent use.
	FairQueue[T any] = admit.Queue[T]

	// Waiter is a call that waits in a FairQueue.
	Waiter[T any] = admit.Waiter[T]

	// RetryBudget limits retries to a share of first attempts. It is safe for
	// concurrent use.
	RetryBudget = retry.Budget
)

// NewLeaseTable returns the table of a leader that was elected at the given time. Overlap
// is how long after that the previous leader may still grant leases.
func NewLeaseTable(since time.Time, duration, overlap time.Duration) *LeaseTable {
	return lease.NewTable(since, duration, overlap)
}
