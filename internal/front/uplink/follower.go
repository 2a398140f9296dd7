// This file defines which replicas an entry reads from instead of the leader.

package uplink

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// followerRetryInterval is how long a replica that didn't answer a read isn't asked again.
const followerRetryInterval = 2 * time.Second

// Followers returns the replicas to read from, in this order: a learner and a voter that
// isn't the leader. Learners go first, because a commit doesn't wait for them: voters that
// are busy with a burst of reads confirm new log entries late. Entries choose different
// ones.
func (u *Uplink) Followers() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var followers []string
	for _, candidates := range [][]string{u.learners(), u.votingFollowers()} {
		if a := u.preferred(candidates); a != "" {
			followers = append(followers, a)
		}
	}
	return followers
}

// RecordFollowerFailure records that a read from a replica failed, unless the replica
// answered that it can't serve reads now, as during an election.
func (u *Uplink) RecordFollowerFailure(address string, err error) {
	if notExecuted(err) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.followerFailures[address] = u.options.Clock.Now()
}

// learners returns the members that don't vote. The caller holds mu.
func (u *Uplink) learners() []string {
	var learners []string
	for _, m := range u.members() {
		if !m.Voter {
			learners = append(learners, m.Address)
		}
	}
	return learners
}

// votingFollowers returns the responsive voters other than the leader. The caller holds mu.
func (u *Uplink) votingFollowers() []string {
	now := u.options.Clock.Now()
	var voters []string
	for _, m := range u.members() {
		rs := u.replicas[m.Address]
		if m.Voter && m.Address != u.leaderAddress && rs.failedHellos == 0 && now.Sub(rs.receivedAt) <= statusTTL {
			voters = append(voters, m.Address)
		}
	}
	return voters
}

// preferred returns the replica that this entry prefers among those that haven't failed
// lately, or "" if there is none. The caller holds mu.
func (u *Uplink) preferred(candidates []string) string {
	now := u.options.Clock.Now()
	var best string
	var bestHash uint64
	for _, a := range candidates {
		if failedAt, failed := u.followerFailures[a]; failed && now.Sub(failedAt) < followerRetryInterval {
			continue
		}
		if h := xxhash.Sum64String(u.options.Self.EntryId + "\x00" + a); best == "" || h > bestHash {
			best, bestHash = a, h
		}
	}
	return best
}
