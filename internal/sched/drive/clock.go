// This file defines how an agent's clock and the ends of its leases are known.

package drive

import "time"

const (
	// maxClockSlowPercent is how much slower than ours an agent's clock may go; from
	// the platform's description of its agents.
	maxClockSlowPercent = 2
	// expirySlack covers timers that fire late on the agent.
	expirySlack = 200 * time.Millisecond
	// earlierLeaderMargin is how long after this leader's election an order of an
	// earlier one may still have been sent: its right to lead ends before the
	// election, so this covers only the time from its check to the wire.
	earlierLeaderMargin = 1500 * time.Millisecond
)

// agentClock is what is known of one incarnation's clock and of the deadlines
// that were sent to it.
type agentClock struct {
	known   bool
	reading time.Duration // the agent's clock
	readAt  time.Duration // boot time at which the reading had arrived
	// deadline is the highest ever sent in this term, answered or not: an
	// order without an answer may have been carried out.
	deadline time.Duration
}

// note takes a reading. A reading that is overtaken by a later one is older
// than it and is left out.
func (c *agentClock) update(reading, now time.Duration) {
	if c.known && reading <= c.reading {
		return
	}
	c.known, c.reading, c.readAt = true, reading, now
}

// at is the latest that the agent's clock may show now.
func (c *agentClock) latest(now time.Duration) time.Duration {
	return c.reading + now - c.readAt
}

// grant returns the deadline for an order sent now, and remembers it; 0 while
// the clock isn't known.
func (c *agentClock) grantLease(now, lease time.Duration) time.Duration {
	if !c.known {
		return 0
	}
	d := (c.latest(now) + lease).Truncate(time.Millisecond)
	c.deadline = max(c.deadline, d)
	return d
}

// leasesExpireAt is when every lease on the agent has run out, but for expirySlack: those that
// this leader sent by the agent's clock at its slowest, those of earlier leaders by the
// longest lease since they could last send one.
func (c *agentClock) leasesExpireAt(ledSince, lease time.Duration) time.Duration {
	at := ledSince + slowClockDuration(earlierLeaderMargin+lease)
	if c.deadline != 0 {
		at = max(at, c.readAt+slowClockDuration(c.deadline-c.reading))
	}
	return at
}

// slowClockDuration is how long a time of an agent's clock may take by ours.
func slowClockDuration(d time.Duration) time.Duration { return d * 100 / (100 - maxClockSlowPercent) }

// lapsed tells whether every lease on the agent has surely run out.
func (c *agentClock) leasesExpired(now, ledSince, lease time.Duration) bool {
	return now > c.leasesExpireAt(ledSince, lease)+expirySlack
}
