// This file defines how the membership looks after itself.

package ctrl

import (
	"errors"
	"time"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/quorum"
)

const (
	// membershipInterval is how often the leader looks at who waits to be let
	// in.
	membershipInterval = 100 * time.Millisecond
	// maxMembers bounds voters and learners together. Learners beyond the
	// voters only follow; each costs the leader its share of messages.
	maxMembers = 9
	// voterTimeout is how long a voter is silent before one that stands by takes
	// its place: longer than a restart takes, shorter than the users let pass
	// between two losses that count one by one (4 s after a replacement came).
	voterTimeout = 3 * time.Second
	// leaderTimeout is how long a replica hears of no leader before it asks whether
	// it was put out.
	leaderTimeout = 3 * time.Second
)

// hasEnoughVoters tells whether all that is acknowledged survives the losses that
// the settings name. Before that nothing may be acknowledged.
func (c *Control) hasEnoughVoters(m *wire.Membership) bool {
	if c.settings.ToleratedLosses == 0 {
		return true
	}
	return countVoters(m) >= c.requiredVoters()
}

func (c *Control) requiredVoters() int { return 2*int(c.settings.ToleratedLosses) + 1 }

func countVoters(m *wire.Membership) int {
	voters := 0
	for _, member := range m.GetMembers() {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// reconcileMembership lets replicas in without an operator, one change at a time:
// a replica that lost its disk takes the place of its old identity, others
// vote until there are enough.
func (c *Control) reconcileMembership(now time.Time) {
	if c.settings.ToleratedLosses == 0 || now.Sub(c.membershipReconciledAt) < membershipInterval {
		return
	}
	c.membershipReconciledAt = now
	core := c.node.Core()
	if _, leads := c.node.IsLeader(); !leads || core.MembershipCommitted() != nil {
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

// applyNextChange makes one change that is due, and names it.
func (c *Control) applyNextChange(m *wire.Membership) (string, error) {
	core := c.node.Core()
	for _, learner := range m.Members {
		if learner.Voter {
			continue
		}
		if newer := c.pendingJoinAt(learner.Address); newer != nil && newer.ReplicaId != learner.ReplicaId {
			return "remove learner " + learner.Name + ", whose disk is gone", core.Remove(learner.ReplicaId)
		}
		if old := voterAt(m, learner.Address); old != nil {
			return "replace the lost disk of " + old.Name, core.Replace(old.ReplicaId, learner.ReplicaId)
		}
		if core.CaughtUp(learner.ReplicaId) != nil || c.node.SinceLastResponse(learner.ReplicaId) > membershipInterval {
			continue
		}
		if gone := c.unresponsiveVoter(m); gone != nil && countVoters(m) >= c.requiredVoters() {
			return "put out silent " + gone.Name + " for " + learner.Name, core.Remove(gone.ReplicaId)
		}
		if countVoters(m) < c.requiredVoters() {
			return "give " + learner.Name + " a vote", core.Promote(learner.ReplicaId)
		}
	}
	for _, w := range c.bootstrapper.PendingJoins() {
		if len(m.Members) < maxMembers || voterAt(m, w.Address) != nil {
			return "let " + w.Name + " learn", core.AddLearner(w)
		}
	}
	return "", nil
}

// unresponsiveVoter returns a voter that has been silent for long, or nil. It may come
// back with its vote, so it is put out first and its place given after that,
// each by a change of its own; replacing it in one step is only for a lost disk.
func (c *Control) unresponsiveVoter(m *wire.Membership) *wire.ControlMember {
	for _, member := range m.Members {
		if member.Voter && c.node.SinceLastResponse(member.ReplicaId) > voterTimeout {
			return member
		}
	}
	return nil
}

// pendingJoinAt returns the replica at an address that asks to be let in, or nil.
func (c *Control) pendingJoinAt(address string) *wire.ControlMember {
	for _, w := range c.bootstrapper.PendingJoins() {
		if w.Address == address {
			return w
		}
	}
	return nil
}

func voterAt(m *wire.Membership, address string) *wire.ControlMember {
	for _, member := range m.Members {
		if member.Voter && member.Address == address {
			return member
		}
	}
	return nil
}
