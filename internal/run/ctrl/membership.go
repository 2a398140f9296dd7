// This file defines the automatic reconciliation of the membership.

package ctrl

import (
	"errors"
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/quorum"
)

const (
	// membershipInterval is how often the leader reconciles the membership.
	membershipInterval = 100 * time.Millisecond
	// maxMembers bounds the number of voters and learners. Each learner adds to the
	// leader's replication load.
	maxMembers = 9
	// voterTimeout is how long a voter may be unresponsive before a learner replaces it. It
	// is longer than a restart, and short enough to replace the voter before the next loss
	// that must be tolerated. Users count two losses one by one if the second comes 4 s after
	// the first one's replacement.
	voterTimeout = 3 * time.Second
	// leaderTimeout is how long a member may be without a known leader before it asks to
	// join again, in case it was removed.
	leaderTimeout = 3 * time.Second
)

// hasEnoughVoters reports whether acknowledged data survives the configured number of
// losses. Otherwise nothing may be acknowledged.
func (c *Control) hasEnoughVoters(m *wire.Membership) bool {
	if c.settings.ToleratedLosses == 0 {
		return true
	}
	return countVoters(m) >= c.requiredVoters()
}

func (c *Control) requiredVoters() int { return 2*int(c.settings.ToleratedLosses) + 1 }

func countVoters(m *wire.Membership) int {
	voters := 0
	for _, mb := range m.GetMembers() {
		if mb.Voter {
			voters++
		}
	}
	return voters
}

// reconcileMembership adds and replaces members without an operator, one change at a time.
// A replica that lost its disk replaces its old identity; learners are promoted until
// there are enough voters.
func (c *Control) reconcileMembership(now time.Time) {
	if c.settings.ToleratedLosses == 0 || now.Sub(c.membershipReconciledAt) < membershipInterval {
		return
	}
	c.membershipReconciledAt = now
	core := c.node.Core()
	if _, isLeader := c.node.IsLeader(); !isLeader || core.MembershipCommitted() != nil {
		return
	}
	change, err := c.applyNextChange(core.Members())
	if change == "" {
		return
	}
	if err != nil && !errors.Is(err, quorum.ErrLearnerNotReady) {
		c.logger.Warn("membership not changed", "change", change, "error", err)
		return
	}
	if err == nil {
		c.logger.Info("membership changes", "change", change, "voters", countVoters(core.Members()))
	}
}

// applyNextChange makes the next necessary change and returns its description, or "" if
// none is necessary.
func (c *Control) applyNextChange(m *wire.Membership) (string, error) {
	core := c.node.Core()
	for _, l := range m.Members {
		if l.Voter {
			continue
		}
		if joining := c.pendingJoinAt(l.Address); joining != nil && joining.ReplicaId != l.ReplicaId {
			return "remove learner " + l.Name + ", whose disk was lost", core.Remove(l.ReplicaId)
		}
		if old := voterAt(m, l.Address); old != nil {
			return "replace the lost disk of " + old.Name, core.Replace(old.ReplicaId, l.ReplicaId)
		}
		if core.CaughtUp(l.ReplicaId) != nil || c.node.SinceLastResponse(l.ReplicaId) > membershipInterval {
			continue
		}
		if unresponsive := c.unresponsiveVoter(m); unresponsive != nil && countVoters(m) >= c.requiredVoters() {
			return "remove unresponsive " + unresponsive.Name + " in favor of " + l.Name, core.Remove(unresponsive.ReplicaId)
		}
		if countVoters(m) < c.requiredVoters() {
			return "give " + l.Name + " a vote", core.Promote(l.ReplicaId)
		}
	}
	for _, j := range c.bootstrapper.PendingJoins() {
		if len(m.Members) < maxMembers || voterAt(m, j.Address) != nil {
			return "add " + j.Name + " as learner", core.AddLearner(j)
		}
	}
	return "", nil
}

// unresponsiveVoter returns a voter that has been unresponsive for voterTimeout, or nil. It
// may return with its vote. Therefore it is removed first, and the learner promoted by a
// separate change; only a lost disk is replaced in a single change.
func (c *Control) unresponsiveVoter(m *wire.Membership) *wire.ControlMember {
	for _, mb := range m.Members {
		if mb.Voter && c.node.SinceLastResponse(mb.ReplicaId) > voterTimeout {
			return mb
		}
	}
	return nil
}

// pendingJoinAt returns the replica at an address that asks to join, or nil.
func (c *Control) pendingJoinAt(address string) *wire.ControlMember {
	for _, j := range c.bootstrapper.PendingJoins() {
		if j.Address == address {
			return j
		}
	}
	return nil
}

func voterAt(m *wire.Membership, address string) *wire.ControlMember {
	for _, mb := range m.Members {
		if mb.Voter && mb.Address == address {
			return mb
		}
	}
	return nil
}
