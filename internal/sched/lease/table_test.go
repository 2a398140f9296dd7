// This file defines the tests of lease expiry.

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

// Guards against a task that runs in two places because a lease counts as expired before it
// has expired by the worker's clock, which may run slow by the allowed drift.
func TestNeverExpiredTooEarly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Unix(1000, 0)
		now := start
		rate := 1 - lease.MaxClockDrift*rapid.Float64Range(0, 0.9).Draw(rt, "slow clock")
		var leaseEnd time.Time // in real time
		table := lease.NewTable(now, duration, overlap)
		type report struct{ sent time.Time }
		var inFlight []report
		confirmed := now
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				inFlight = append(inFlight, report{now})
			case 1:
				confirmed = now
			case 2:
				if len(inFlight) == 0 || now.Sub(confirmed) >= overlap {
					continue
				}
				r := inFlight[0]
				inFlight = inFlight[1:]
				granted := table.Grant("w", "a", now)
				end := r.sent.Add(time.Duration(float64(granted) / rate))
				if end.After(leaseEnd) {
					leaseEnd = end
				}
			case 3:
				// A new leader is elected an election timeout after the old leader's
				// last confirmed round at the earliest. The old leader may then grant
				// no more leases.
				if at := confirmed.Add(overlap); now.Before(at) {
					now = at
				}
				table = lease.NewTable(now, duration, overlap)
				confirmed = now
			}
			if table.Expired("w", "a", now) {
				assert.Assert(rt, !now.Before(leaseEnd), "lease expired %v early", leaseEnd.Sub(now))
			}
		}
	})
}

func TestTable(t *testing.T) {
	start := time.Unix(1000, 0)
	table := lease.NewTable(start, duration, overlap)
	t.Run("a new leader waits for its predecessor's grants", func(t *testing.T) {
		assert.Assert(t, !table.Expired("w", "a", start.Add(duration+overlap)))
		assert.Assert(t, table.Expired("w", "a", start.Add(2*(duration+overlap))))
	})
	later := start.Add(time.Minute)
	t.Run("a lease is active until it expires", func(t *testing.T) {
		assert.Equal(t, table.Grant("w", "a", later), duration)
		assert.Assert(t, table.Active("w", "a", later.Add(duration)))
		assert.Assert(t, !table.Expired("w", "a", later.Add(duration)))
		assert.Assert(t, table.Expired("w", "a", later.Add(2*duration)))
	})
	t.Run("another incarnation has no lease", func(t *testing.T) {
		assert.Assert(t, !table.Active("w", "b", later))
	})
}
