// This file defines the tests of leases.

package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sycamoredeck.example/internal/sched/lease"
)

const (
	duration = 4 * time.Second
	overlap  = time.Second
)

// Symptom: a task runs in two places. Sequence: a worker's report is sent, is
// late on its way, is granted a lease, and the answer is late too; leaders
// change in between. Whenever a table says that a lease is surely out, the
// worker's own clock, which may run slow within the allowed drift, must say so
// too.
func TestOutIsNeverTooEarly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Unix(1000, 0)
		now := start
		rate := 1 - lease.MaxClockDrift*rapid.Float64Range(0, 0.9).Draw(rt, "slow clock")
		var leaseEnd time.Time // by real time
		table := lease.NewTable(now, duration, overlap)
		type report struct{ sent time.Time }
		var onTheWay []report
		confirmed := now
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				onTheWay = append(onTheWay, report{now})
			case 1:
				confirmed = now
			case 2:
				if len(onTheWay) == 0 || now.Sub(confirmed) >= overlap {
					continue
				}
				r := onTheWay[0]
				onTheWay = onTheWay[1:]
				granted := table.Grant("w", "a", now)
				end := r.sent.Add(time.Duration(float64(granted) / rate))
				if end.After(leaseEnd) {
					leaseEnd = end
				}
			case 3:
				// Another leader, elected once the old one's last confirmed
				// round is an election timeout old. What is on the way to the
				// old one may no longer be granted.
				if at := confirmed.Add(overlap); now.Before(at) {
					now = at
				}
				table = lease.NewTable(now, duration, overlap)
				confirmed = now
			}
			if table.Expired("w", "a", now) {
				assert.Assert(rt, !now.Before(leaseEnd), "called out %v early", leaseEnd.Sub(now))
			}
		}
	})
}

func TestTable(t *testing.T) {
	start := time.Unix(1000, 0)
	table := lease.NewTable(start, duration, overlap)
	t.Run("a new leader waits for grants it doesn't know of", func(t *testing.T) {
		assert.Assert(t, !table.Expired("w", "a", start.Add(duration+overlap)))
		assert.Assert(t, table.Expired("w", "a", start.Add(2*(duration+overlap))))
	})
	later := start.Add(time.Minute)
	t.Run("a grant holds", func(t *testing.T) {
		assert.Equal(t, table.Grant("w", "a", later), duration)
		assert.Assert(t, table.Active("w", "a", later.Add(duration)))
		assert.Assert(t, !table.Expired("w", "a", later.Add(duration)))
		assert.Assert(t, table.Expired("w", "a", later.Add(2*duration)))
	})
	t.Run("another incarnation has none", func(t *testing.T) {
		assert.Assert(t, !table.Active("w", "b", later))
	})
}
