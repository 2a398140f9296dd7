// This file defines the coordination parts that others may embed.

// Package sycamoredeck offers the coordination parts that the scheduler is
// made of to programs that embed them: leases, a division of slots without
// messages, a weighted fair queue, and a budget for retries. Each is plain
// data with rules: it starts no goroutine, opens no connection, and is given
// the time by its caller.
//
// The replicated log is not offered yet, since its records are still bound to
// the scheduler's schema.
package sycamoredeck

import (
	"time"

	"sycamoredeck.example/internal/fleet/slots"
	"sycamoredeck.example/internal/front/admit"
	"sycamoredeck.example/internal/front/retry"
	"sycamoredeck.example/internal/sched/lease"
)

type (
	// LeaseTable is a leader's memory of the leases it granted. It is made by
	// NewLeaseTable and isn't safe for concurrent use.
	LeaseTable = lease.Table

	// SlotDivider gives each of several entries its part of a server's slots.
	// It is immutable; the zero value owns nothing.
	SlotDivider = slots.Divider

	// FairQueue shares among accounts by weight. The zero value is empty; it
	// isn't safe for concurrent use.
	FairQueue[T any] = admit.Queue[T]

	// Waiter is one call in a FairQueue.
	Waiter[T any] = admit.Waiter[T]

	// RetryBudget lets retries be a part of first attempts. It may be used by
	// many goroutines.
	RetryBudget = retry.Budget
)

// NewLeaseTable returns the table of a leader that leads since the given time.
// Overlap is how long after that an earlier leader could still grant leases.
func NewLeaseTable(since time.Time, duration, overlap time.Duration) *LeaseTable {
	return lease.NewTable(since, duration, overlap)
}
