// This file defines the tests of lease expiry.

package drive

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that runs in two places because its lease is treated as expired too
// early: the agent's clock may be slow, and an earlier leader may have renewed the lease.
func TestLeaseExpired(t *testing.T) {
	const lease = 10 * time.Second
	at := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	cases := []struct {
		name        string
		leaderSince time.Duration
		clock       agentClock
		now         time.Duration
		want        bool
	}{
		{"lease is active", 0, agentClock{known: true, reading: at(100), readAt: at(50), deadline: at(110)}, at(59.9), false},
		{"lease is active on a slow clock", 0, agentClock{known: true, reading: at(100), readAt: at(50), deadline: at(110)}, at(60.3), false},
		{"lease has expired on the slowest clock", 0, agentClock{known: true, reading: at(100), readAt: at(50), deadline: at(110)}, at(60.5), true},
		{"an earlier leader may have renewed it", at(45), agentClock{known: true, reading: at(100), readAt: at(50), deadline: at(103)}, at(56), false},
		{"no reading, and leases of an earlier leader may be active", at(45), agentClock{}, at(56.5), false},
		{"no reading, and leases of an earlier leader have expired", at(45), agentClock{}, at(57.5), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.clock.leasesExpired(c.now, c.leaderSince, lease), c.want)
		})
	}
}

func TestGrantKeepsHighestDeadline(t *testing.T) {
	c := agentClock{}
	assert.Equal(t, c.grantLease(time.Second, time.Second), time.Duration(0))
	c.update(100*time.Second, 10*time.Second)
	assert.Equal(t, c.grantLease(11*time.Second, 9*time.Second), 110*time.Second)
	c.grantLease(11*time.Second, time.Second)
	assert.Equal(t, c.deadline, 110*time.Second)
	c.update(99*time.Second, 12*time.Second)
	assert.Equal(t, c.reading, 100*time.Second, "an overtaken reading was used")
}
