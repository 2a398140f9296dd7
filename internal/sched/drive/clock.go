// This file defines how an agent's clock and the expiry of its leases are tracked.

package drive

import "time"

const (
	// maxClockSlowPercent is how much slower than ours an agent's clock may run, as the
	// platform specifies it.
	maxClockSlowPercent = 2
	// expirySlack covers timers that fire late on the agent.
	expirySlack = 200 * time.Millisecond
	// earlierLeaderMargin is how long after this leader's election an order of an earlier
	// leader may still be sent. The earlier leader lease has ended by then, so this
	// covers only the time from the check of that lease to the network.
	earlierLeaderMargin = 1500 * time.Millisecond
)

// agentClock tracks one incarnation's clock and the latest deadline sent to it.
type agentClock struct {
	known   bool
	reading time.Duration // on the agent's clock
	readAt  time.Duration // when the reading arrived, on the boot clock
	// deadline is the latest sent in this term. An unanswered order counts, as it may
	// have been executed.
	deadline time.Duration
}

// update records a reading. A reading that arrives after a later one is ignored.
func (c *agentClock) update(reading, now time.Duration) {
	if c.known && reading <= c.reading {
		return
	}
	c.known, c.reading, c.readAt = true, reading, now
}

// estimate returns what the agent's clock shows now if it runs as fast as ours and the
// reading took no time to arrive.
func (c *agentClock) estimate(now time.Duration) time.Duration {
	return c.reading + now - c.readAt
}

// grantLease returns and records the deadline for an order sent now; 0 if the agent's
// clock isn't known.
func (c *agentClock) grantLease(now, lease time.Duration) time.Duration {
	if !c.known {
		return 0
	}
	d := (c.estimate(now) + lease).Truncate(time.Millisecond)
	c.deadline = max(c.deadline, d)
	return d
}

// leasesExpireAt returns when every lease of the agent has expired, without expirySlack.
// It assumes the slowest clock and, for leases of earlier leaders, the latest possible
// order.
func (c *agentClock) leasesExpireAt(leaderSince, lease time.Duration) time.Duration {
	at := leaderSince + slowClockDuration(earlierLeaderMargin+lease)
	if c.deadline != 0 {
		at = max(at, c.readAt+slowClockDuration(c.deadline-c.reading))
	}
	return at
}

// slowClockDuration returns the longest real time that a duration on an agent's clock may
// take.
func slowClockDuration(d time.Duration) time.Duration { return d * 100 / (100 - maxClockSlowPercent) }

// leasesExpired reports whether every lease of the agent is certain to have expired.
func (c *agentClock) leasesExpired(now, leaderSince, lease time.Duration) bool {
	return now > c.leasesExpireAt(leaderSince, lease)+expirySlack
}
