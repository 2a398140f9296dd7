// This file defines tests of the fair queue.

package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sycamoredeck.example/internal/front/admit"
)

func waiter(account string, weight float64, deadline int) *admit.Waiter[int] {
	return &admit.Waiter[int]{Account: account, Weight: weight, Deadline: time.Unix(int64(deadline), 0)}
}

// Guards against one client account's backlog delaying the calls of another.
func TestGreedyAccountGetsItsShare(t *testing.T) {
	var q admit.Queue[int]
	for i := range 1000 {
		q.Push(waiter("greedy", 1, i))
	}
	for i := range 10 {
		q.Push(waiter("modest", 1, 5000+i))
	}
	modest := 0
	for range 20 {
		if q.Pop().Account == "modest" {
			modest++
		}
	}
	assert.Equal(t, modest, 10)
}

func TestWeights(t *testing.T) {
	var q admit.Queue[int]
	for i := range 400 {
		q.Push(waiter("one", 1, i))
		q.Push(waiter("three", 3, i))
	}
	counts := map[string]int{}
	for range 200 {
		counts[q.Pop().Account]++
	}
	assert.Assert(t, counts["three"] >= 148 && counts["three"] <= 152, "%v", counts)
}

// Guards against an account that was idle starving the others when it returns.
func TestNoCreditForIdleTime(t *testing.T) {
	var q admit.Queue[int]
	for i := range 300 {
		q.Push(waiter("busy", 1, i))
	}
	for range 100 {
		q.Pop()
	}
	for i := range 100 {
		q.Push(waiter("back", 1, i))
	}
	back := 0
	for range 50 {
		if q.Pop().Account == "back" {
			back++
		}
	}
	assert.Assert(t, back >= 24 && back <= 26, "%d of 50", back)
}

func TestEarliestDeadlineFirst(t *testing.T) {
	var q admit.Queue[int]
	for _, d := range []int{5, 2, 9, 1} {
		q.Push(waiter("a", 1, d))
	}
	for _, w := range []int64{1, 2, 5, 9} {
		assert.Equal(t, q.Pop().Deadline.Unix(), w)
	}
	assert.Assert(t, q.Pop() == nil)
}

// Each call is removed exactly once, by Pop, Remove or RemoveIf.
func TestEachCallIsRemovedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q admit.Queue[int]
		queued := map[*admit.Waiter[int]]bool{}
		var all []*admit.Waiter[int]
		checkRemoved := func(w *admit.Waiter[int]) {
			assert.Assert(rt, queued[w], "call removed twice")
			delete(queued, w)
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0, 1:
				account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "account")
				w := waiter(account, 1, rapid.IntRange(0, 9).Draw(rt, "deadline"))
				q.Push(w)
				queued[w] = true
				all = append(all, w)
			case 2:
				if w := q.Pop(); w != nil {
					checkRemoved(w)
				}
			case 3:
				if len(all) > 0 {
					w := all[rapid.IntRange(0, len(all)-1).Draw(rt, "which")]
					if q.Remove(w) {
						checkRemoved(w)
					}
				}
			case 4:
				for _, w := range q.RemoveIf(func(w *admit.Waiter[int], _ int) bool { return w.Deadline.Unix() < 3 }) {
					checkRemoved(w)
				}
			}
			assert.Equal(rt, q.Len(), len(queued))
		}
	})
}
