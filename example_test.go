// This file contains examples of the exported components.

package sycamoredeck_test

import (
	"fmt"
	"time"

	sycamoredeck "sycamoredeck.example"
)

// A worker counts as lost only after its lease has expired for certain.
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

// Two entries that know each other divide the slots of a server without communicating.
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

// An account with many calls doesn't delay those of another account.
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
