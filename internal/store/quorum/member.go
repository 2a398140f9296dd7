// This file defines changes of the membership.

package quorum

import (
	"errors"
	"slices"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

// What can be wrong with a change of membership.
var (
	// ErrNotLeader: another replica leads, or none does.
	ErrNotLeader = errors.New("quorum: not the leader")
	// ErrChangePending: the last change, or this term's first record, isn't
	// committed yet. Two changes under way could have majorities that share
	// no replica.
	ErrChangePending = errors.New("quorum: a change of membership is pending")
	// ErrUnknownMember: the change names a replica that isn't a member.
	ErrUnknownMember = errors.New("quorum: no such member")
	// ErrLastVoter: the change would leave no voter.
	ErrLastVoter = errors.New("quorum: the last voter can't be removed")
	// ErrLearnerNotReady: a learner may vote only once it holds nearly all records, or
	// its vote would stop commitment until it does.
	ErrLearnerNotReady = errors.New("quorum: learner is still behind")
)

// maxPromoteLag is how many records a learner may lack when it is promoted.
const maxPromoteLag = 64

// Members returns the membership in force. It must not be changed.
func (c *Core) Members() *wire.Membership {
	return c.members
}

// AddLearner adds a replica that gets all records but has no vote.
func (c *Core) AddLearner(m *wire.ControlMember) error {
	return c.change(func(next *wire.Membership) error {
		if findMember(next, m.ReplicaId) != nil {
			return nil
		}
		learner := proto.Clone(m).(*wire.ControlMember)
		learner.Voter = false
		next.Members = append(next.Members, learner)
		return nil
	})
}

// Promote gives a caught-up learner its vote.
func (c *Core) Promote(id uint64) error {
	return c.change(func(next *wire.Membership) error {
		if err := c.CaughtUp(id); err != nil {
			return err
		}
		findMember(next, id).Voter = true
		return nil
	})
}

// Replace gives a caught-up learner the vote of a replica that will surely
// never vote again, because its disk is gone. It is one change, so that the
// number of voters, and with it the losses that are survived, never falls.
//
// Majorities before and after the change need not share a replica if the old
// identity still votes; since it doesn't, any two have one of the others in
// common.
func (c *Core) Replace(old, learner uint64) error {
	return c.change(func(next *wire.Membership) error {
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

// TicksSinceResponse tells the leader how many ticks ago a replica last answered; 0
// for itself and for replicas that it doesn't know.
func (c *Core) TicksSinceResponse(id uint64) int {
	if p := c.peers[id]; p != nil && id != c.options.ID {
		return p.silentTicks
	}
	return 0
}

// CaughtUp tells whether a replica holds nearly all records: nil, or
// ErrLearnerNotReady.
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

// Settled tells whether the last change of membership is committed: nil, or
// ErrChangePending.
func (c *Core) MembershipCommitted() error {
	switch {
	case c.role != Leader:
		return ErrNotLeader
	case c.memberIndex > c.commit:
		return ErrChangePending
	default:
		return nil
	}
}

// Remove takes a replica out of the membership for good.
func (c *Core) Remove(id uint64) error {
	return c.change(func(next *wire.Membership) error {
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

func (c *Core) change(edit func(*wire.Membership) error) error {
	if c.role != Leader || c.handover != 0 {
		return ErrNotLeader
	}
	if c.memberIndex > c.commit || c.termAt(c.commit) != c.term {
		return ErrChangePending
	}
	next := proto.Clone(c.members).(*wire.Membership)
	if err := edit(next); err != nil {
		return err
	}
	if proto.Equal(next, c.members) {
		return nil
	}
	c.appendLocal(&wire.LogRecord{Membership: next})
	c.broadcast(true)
	return nil
}

// refreshMembers takes the last membership in the log, committed or not.
func (c *Core) refreshMembers() {
	c.members, c.memberIndex = c.snapshot.Membership, c.snapshot.Index
	for i := len(c.records) - 1; i >= 0; i-- {
		if r := c.records[i]; r.Membership != nil {
			c.members, c.memberIndex = r.Membership, r.Index
			break
		}
	}
	if c.members == nil {
		c.members = &wire.Membership{}
	}
	c.syncPeers()
}

// MembersAt returns the membership in force at a position that is held.
func (c *Core) MembersAt(index uint64) *wire.Membership {
	for i := len(c.records) - 1; i >= 0; i-- {
		if r := c.records[i]; r.Index <= index && r.Membership != nil {
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
	for _, m := range c.members.Members {
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
	for _, m := range c.members.Members {
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
	m := findMember(c.members, id)
	return m != nil && m.Voter
}

func findMember(m *wire.Membership, id uint64) *wire.ControlMember {
	for _, member := range m.GetMembers() {
		if member.ReplicaId == id {
			return member
		}
	}
	return nil
}
