// This file defines examples of the parts that others may embed.

package sycamoredeck_test

import (
	"fmt"
	"time"

	sycamoredeck "sycamoredeck.example"
)

// A leader grants a lease and declares the worker lost only after the lease has
// certainly expired.
func ExampleLeaseTable() {
	since := time.Unix(0, 0)
	table := sycamoredeck.NewLeaseTable(since, 4*time.Second, time.Second)
	now := since.Add(time.Minute)
	table.Grant("worker-1", "start-1", now)
	fmt.Println(table.Expired("worker-1", "start-1", now.Add(4*time.Second)))
	fmt.Println(table.Expired("worker-1", "start-1", now.Add(5*time.Second)))
	// Output:
	// false
	// true
}

// Two entries that see each other divide a server's slots without a message.
func ExampleSlotDivider() {
	now := time.Unix(0, 0)
	entries := []string{"a", "b"}
	var a, b sycamoredeck.SlotDivider
	a = a.WithEntries("a", entries, now, time.Second)
	b = b.WithEntries("b", entries, now, time.Second)
	later := now.Add(time.Second)
	fmt.Println(a.Share("server", 8, now), a.Share("server", 8, later)+b.Share("server", 8, later))
	// Output: 0 8
}

// A greedy account waits in its own line.
func ExampleFairQueue() {
	var q sycamoredeck.FairQueue[int]
	for range 3 {
		q.Push(&sycamoredeck.Waiter[int]{Account: "greedy", Weight: 1})
	}
	q.Push(&sycamoredeck.Waiter[int]{Account: "modest", Weight: 1, Deadline: time.Unix(1, 0)})
	for range 4 {
		fmt.Println(q.Pop().Account)
	}
	// Output:
	// greedy
	// modest
	// greedy
	// greedy
}

func ExampleRetryBudget() {
	budget := sycamoredeck.RetryBudget{Ratio: 0.1}
	allowed := 0
	for range 100 {
		budget.Deposit("account", "service")
		if budget.TryWithdraw("account", "service") {
			allowed++
		}
	}
	fmt.Println(allowed)
	// Output: 19
}
