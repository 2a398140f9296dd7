// This file defines the tests of when leases have surely run out.

package drive

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: a task runs in two places. Sequence: an agent is cut off and its
// lease runs on by a slow clock, or was renewed by an earlier leader; it is
// given up and its tasks start elsewhere. Cause: a lease taken for run out
// before it surely was.
func TestLapsed(t *testing.T) {
	const lease = 10 * time.Second
	at := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	cases := []struct {
		name     string
		ledSince time.Duration
		clock    agentClock
		now      time.Duration
		want     bool
	}{
		{"own lease still runs", 0, agentClock{known: true, reading: at(100), readAt: at(50), deadline: at(110)}, at(59.9), false},
		{"own lease runs on by a slow clock", 0, agentClock{known: true, reading: at(100), readAt: at(50), deadline: at(110)}, at(60.3), false},
		{"own lease has run out by the slowest clock", 0, agentClock{known: true, reading: at(100), readAt: at(50), deadline: at(110)}, at(60.5), true},
		{"an earlier leader may have renewed it", at(45), agentClock{known: true, reading: at(100), readAt: at(50), deadline: at(103)}, at(56), false},
		{"nothing is known and an earlier leader's time isn't over", at(45), agentClock{}, at(56.5), false},
		{"nothing is known and an earlier leader's time is over", at(45), agentClock{}, at(57.5), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.clock.leasesExpired(c.now, c.ledSince, lease), c.want)
		})
	}
}

func TestGrantRemembersTheHighestDeadline(t *testing.T) {
	c := agentClock{}
	assert.Equal(t, c.grantLease(time.Second, time.Second), time.Duration(0))
	c.update(100*time.Second, 10*time.Second)
	assert.Equal(t, c.grantLease(11*time.Second, 9*time.Second), 110*time.Second)
	c.grantLease(11*time.Second, time.Second)
	assert.Equal(t, c.deadline, 110*time.Second)
	c.update(99*time.Second, 12*time.Second)
	assert.Equal(t, c.reading, 100*time.Second, "an overtaken reading counts")
}
