// This file defines tests of the division of slots.

package slots_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sycamoredeck.example/internal/fleet/slots"
)

const settleTime = time.Second

// Guards against entries using more slots than a backend server has, while each learns of
// a change at another time within settleTime.
func TestSharesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ids := []string{"e0", "e1", "e2", "e3", "e4"}
		dividers := map[string]slots.Divider{}
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 12).Draw(rt, "changes") {
			entries := ids[:rapid.IntRange(1, len(ids)).Draw(rt, "entries")]
			// Each entry learns of the change within settleTime, and none learns of the
			// next one before all know this one.
			at := now
			for _, id := range rapid.Permutation(ids).Draw(rt, "order") {
				at = at.Add(time.Duration(rapid.IntRange(0, 180).Draw(rt, "ms")) * time.Millisecond)
				if contains(entries, id) {
					dividers[id] = dividers[id].WithEntries(id, entries, at, settleTime)
				} else {
					delete(dividers, id)
				}
				assertWithin(rt, dividers, at)
			}
			now = at.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "pause")) * time.Millisecond)
			assertWithin(rt, dividers, now)
		}
		total := 0
		for _, d := range dividers {
			total += d.Share("server", 8, now.Add(settleTime))
		}
		assert.Equal(rt, total, 8, "unused slots after settleTime")
	})
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func assertWithin(t rapid.TB, dividers map[string]slots.Divider, now time.Time) {
	t.Helper()
	for s := range 4 {
		total := 0
		for _, d := range dividers {
			total += d.Share(fmt.Sprint(s), 8, now)
		}
		assert.Assert(t, total <= 8, "%d slots used of 8", total)
	}
}

// Summed over many backend servers, all entries have similar shares.
func TestSharesAreEven(t *testing.T) {
	var ids []string
	for i := range 9 {
		ids = append(ids, fmt.Sprint("entry-", i))
	}
	now := time.Unix(1000, 0)
	for _, id := range ids {
		d := slots.Divider{}.WithEntries(id, ids, now, 0)
		sum := 0
		for s := range 65 {
			sum += d.Share(fmt.Sprint("server-", s), 8, now)
		}
		assert.Assert(t, sum > 35 && sum < 85, "%s has %d of 520", id, sum)
	}
}

func TestZeroValueHasNoShare(t *testing.T) {
	assert.Equal(t, slots.Divider{}.Share("server", 8, time.Now()), 0)
}
