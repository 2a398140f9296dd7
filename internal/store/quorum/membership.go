// This file defines membership changes.

package quorum

import (
	"errors"
	"slices"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

// Errors returned by membership changes.
var (
	// ErrNotLeader is returned when this replica isn't the leader.
	ErrNotLeader = errors.New("quorum: not the leader")
	// ErrChangePending is returned while the last membership change, or the first entry of
	// this term, isn't committed. Two concurrent changes could have majorities without a
	// common replica.
	ErrChangePending = errors.New("quorum: a change of membership is pending")
	// ErrUnknownMember is returned when the named replica isn't a member.
	ErrUnknownMember = errors.New("quorum: no such member")
	// ErrLastVoter is returned when the change would leave no voters.
	ErrLastVoter = errors.New("quorum: the last voter can't be removed")
	// ErrLearnerNotReady is returned when the learner lags too far behind to become a
	// voter: its vote would block commits until it has caught up.
	ErrLearnerNotReady = errors.New("quorum: learner is still behind")
)

// maxPromoteLag is the number of entries that a learner may lag behind when it is promoted.
const maxPromoteLag = 64

// Members returns the current membership. It must not be modified.
func (c *Core) Members() *wire.Membership {
	return c.membership
}

// AddLearner adds a replica that receives all entries but has no vote.
func (c *Core) AddLearner(m *wire.ControlMember) error {
	return c.proposeMembership(func(next *wire.Membership) error {
		if findMember(next, m.ReplicaId) != nil {
			return nil
		}
		learner := proto.Clone(m).(*wire.ControlMember)
		learner.Voter = false
		next.Members = append(next.Members, learner)
		return nil
	})
}

// Promote makes a caught-up learner a voter.
func (c *Core) Promote(id uint64) error {
	return c.proposeMembership(func(next *wire.Membership) error {
		if err := c.CaughtUp(id); err != nil {
			return err
		}
		findMember(next, id).Voter = true
		return nil
	})
}

// Replace gives a caught-up learner the vote of a replica that can never vote again because
// its disk is lost. A single change keeps the number of voters, and so the number of
// tolerated failures, constant.
//
// If the old replica still voted, a majority before the change and one after it might have no
// replica in common. Since it doesn't, any two of them have one of the others in common.
func (c *Core) Replace(old, learner uint64) error {
	return c.proposeMembership(func(next *wire.Membership) error {
		if err := c.CaughtUp(learner); err != nil {
			return err
		}
		gone := findMember(next, old)
		if gone == nil {
			return ErrUnknownMember
		}
		findMember(next, learner).Voter = gone.Voter
		next.Members = slices.DeleteFunc(next.Members, func(m *wire.ControlMember) bool { return m.ReplicaId == old })
		return nil
	})
}

// TicksSinceResponse returns the number of ticks since a replica last responded to this
// leader. It returns 0 for this replica and for unknown ones.
func (c *Core) TicksSinceResponse(id uint64) int {
	if p := c.peers[id]; p != nil && id != c.options.ID {
		return p.ticksSinceResponse
	}
	return 0
}

// CaughtUp returns nil if a replica has nearly all entries, and ErrLearnerNotReady if it
// doesn't.
func (c *Core) CaughtUp(id uint64) error {
	p := c.peers[id]
	switch {
	case c.role != Leader:
		return ErrNotLeader
	case p == nil:
		return ErrUnknownMember
	case p.match+maxPromoteLag < c.LastIndex() || p.match < c.snapshot.Index:
		return ErrLearnerNotReady
	default:
		return nil
	}
}

// MembershipCommitted returns nil if the last membership change is committed, and
// ErrChangePending if it isn't.
func (c *Core) MembershipCommitted() error {
	switch {
	case c.role != Leader:
		return ErrNotLeader
	case c.membershipIndex > c.commitIndex:
		return ErrChangePending
	default:
		return nil
	}
}

// Remove removes a replica from the membership.
func (c *Core) Remove(id uint64) error {
	return c.proposeMembership(func(next *wire.Membership) error {
		if findMember(next, id) == nil {
			return ErrUnknownMember
		}
		kept := next.Members[:0]
		voters := 0
		for _, m := range next.Members {
			if m.ReplicaId == id {
				continue
			}
			kept = append(kept, m)
			if m.Voter {
				voters++
			}
		}
		next.Members = kept
		if voters == 0 {
			return ErrLastVoter
		}
		return nil
	})
}

func (c *Core) proposeMembership(edit func(*wire.Membership) error) error {
	if c.role != Leader || c.transferee != 0 {
		return ErrNotLeader
	}
	if c.membershipIndex > c.commitIndex || c.termAt(c.commitIndex) != c.term {
		return ErrChangePending
	}
	next := proto.Clone(c.membership).(*wire.Membership)
	if err := edit(next); err != nil {
		return err
	}
	if proto.Equal(next, c.membership) {
		return nil
	}
	c.appendEntry(&wire.LogRecord{Membership: next})
	c.broadcastAppend(true)
	return nil
}

// reloadMembership sets the membership to the latest one in the log, committed or not.
func (c *Core) reloadMembership() {
	c.membership, c.membershipIndex = c.snapshot.Membership, c.snapshot.Index
	for i := len(c.entries) - 1; i >= 0; i-- {
		if r := c.entries[i]; r.Membership != nil {
			c.membership, c.membershipIndex = r.Membership, r.Index
			break
		}
	}
	if c.membership == nil {
		c.membership = &wire.Membership{}
	}
	c.syncPeers()
}

// MembersAt returns the membership at a log index that hasn't been compacted.
func (c *Core) MembersAt(index uint64) *wire.Membership {
	for i := len(c.entries) - 1; i >= 0; i-- {
		if r := c.entries[i]; r.Index <= index && r.Membership != nil {
			return r.Membership
		}
	}
	return c.snapshot.Membership
}

func (c *Core) syncPeers() {
	if c.role != Leader {
		return
	}
	present := map[uint64]bool{}
	for _, m := range c.membership.Members {
		present[m.ReplicaId] = true
		if c.peers[m.ReplicaId] == nil {
			c.peers[m.ReplicaId] = &progress{next: c.LastIndex() + 1, recentActive: true}
		}
	}
	for id := range c.peers {
		if !present[id] {
			delete(c.peers, id)
		}
	}
}

func (c *Core) voters() []*wire.ControlMember {
	var voters []*wire.ControlMember
	for _, m := range c.membership.Members {
		if m.Voter {
			voters = append(voters, m)
		}
	}
	return voters
}

func (c *Core) majority() int {
	return len(c.voters())/2 + 1
}

func (c *Core) isVoter(id uint64) bool {
	m := findMember(c.membership, id)
	return m != nil && m.Voter
}

func findMember(m *wire.Membership, id uint64) *wire.ControlMember {
	for _, cm := range m.GetMembers() {
		if cm.ReplicaId == id {
			return cm
		}
	}
	return nil
}
