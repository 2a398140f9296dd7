// This file defines the tests of how long callers wait for a leader and when they return.

package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers who are held in vain, and against callers who are sent away though they
// can't return in their time.
func TestCallersAreHeldDuringElections(t *testing.T) {
	cases := []struct {
		name         string
		outage       Outage
		waited, left time.Duration
		want         bool
	}{
		{"election", Outage{Quorum: true}, time.Second, time.Second, true},
		{"waited for long", Outage{Quorum: true}, ElectionWait, time.Second, false},
		{"no quorum", Outage{}, 0, 3 * time.Second, false},
		{"no quorum and little time left", Outage{}, 0, Shortest - 1, false},
		{"long election", Outage{Quorum: true, Lasted: longElection}, 0, 3 * time.Second, false},
		{"long election and little time left", Outage{Quorum: true, Lasted: longElection}, 0, Shortest - 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.outage.Holds(c.waited, c.left), c.want) })
	}
}

// Guards against callers who use up their retries while no quorum can be back, or who return long
// after a leader is there or their own time is over.
func TestReturnFollowsDurationOfOutage(t *testing.T) {
	cases := []struct {
		outage Outage
		want   time.Duration
	}{
		{Outage{Quorum: true, Lasted: 8 * time.Second, Refused: 1000}, time.Second},
		{Outage{}, time.Second},
		{Outage{Lasted: 1001 * time.Millisecond}, 2 * time.Second},
		{Outage{Lasted: 4 * time.Second}, 4 * time.Second},
		{Outage{Lasted: time.Minute}, 5 * time.Second},
		{Outage{Lasted: time.Second, Refused: retriesPerSecond}, time.Second},
		{Outage{Lasted: time.Second, Refused: 2 * retriesPerSecond}, 2 * time.Second},
		{Outage{Lasted: 2 * time.Second, Refused: 1000 * retriesPerSecond}, 4 * time.Second},
	}
	for _, c := range cases {
		assert.Equal(t, c.outage.RetryAfter(time.Minute), c.want, "%+v", c.outage)
	}
	for left, want := range map[time.Duration]time.Duration{2900 * time.Millisecond: 2 * time.Second, 400 * time.Millisecond: Shortest} {
		assert.Equal(t, Outage{Lasted: time.Minute}.RetryAfter(left), want, "a caller with %v left", left)
	}
	returnsAt := time.Duration(0)
	for i := range 200 { // in an instant, and then at a steady rate
		o := Outage{Refused: i, Lasted: time.Duration(max(i-100, 0)) * 20 * time.Millisecond}
		at := o.Lasted + o.RetryAfter(time.Minute)
		assert.Assert(t, at >= returnsAt.Truncate(time.Second), "caller %d returns at %v, an earlier one at %v", i, at, returnsAt)
		returnsAt = at
	}
}
