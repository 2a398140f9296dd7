// This file defines elections: timers, votes and leadership transfer.

package quorum

import (
	"sycamoredeck.example/internal/schema/wire"
)

// campaignRetryDivisor divides the election timeout to give the minimum time between two
// campaigns of a replica.
const campaignRetryDivisor = 4

// maxElectionBackoff limits the factor by which candidates wait longer after elections without
// a winner.
const maxElectionBackoff = 4

// Tick advances the logical clock by one tick.
func (c *Core) Tick() {
	c.electionElapsed++
	c.noVoteTicks = max(c.noVoteTicks-1, 0)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.tickRestart()
	if c.electionElapsed >= c.randomizedElectionTicks+c.voteDelay() && c.isVoter(c.options.ID) {
		c.campaign(PreCandidate, false, nil)
	}
}

func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	for _, p := range c.peers {
		p.ticksSinceResponse++
	}
	if c.heartbeatElapsed >= c.options.HeartbeatTicks {
		c.Heartbeat()
	}
	if c.transferee != 0 {
		c.transferTicks++
		if c.transferTicks > c.options.ElectionTicks {
			c.transferee = 0 // abort the transfer and accept proposals again
		}
	}
	if c.electionElapsed < c.options.ElectionTicks {
		return
	}
	c.electionElapsed = 0
	// Check-quorum: an isolated leader steps down instead of serving stale data.
	if !c.quorumActive() {
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) quorumActive() bool {
	active := 0
	for _, m := range c.voters() {
		p := c.peers[m.ReplicaId]
		if m.ReplicaId == c.options.ID || (p != nil && p.recentActive) {
			active++
		}
		if p != nil {
			p.recentActive = false
		}
	}
	return active >= c.majority()
}

// campaign starts an election, or a pre-election for a pre-candidate. Pre-vote prevents a
// replica that was partitioned from returning with a higher term and deposing a healthy
// leader.
//
// restarted are the incarnations of all voters if each has confirmed that it has restarted;
// nil in all other elections.
func (c *Core) campaign(role Role, transfer bool, restarted map[uint64]uint64) {
	c.restart.request, c.restart.campaigning = 0, restarted != nil
	c.role = role
	c.leader = 0
	c.votes = map[uint64]bool{c.options.ID: true}
	c.electionElapsed = 0
	term, kind, send := c.term+1, wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE, c.sendPrompt
	if role == Candidate {
		c.setTerm(term)
		c.votedFor = c.options.ID
		kind, send = wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE, c.send
	}
	c.randomizedElectionTicks = c.campaignTicks()
	if c.countVotes(true) >= c.majority() {
		c.electionWon()
		return
	}
	for _, m := range c.voters() {
		if m.ReplicaId == c.options.ID {
			continue
		}
		send(&wire.PeerMessage{
			Kind: kind, To: m.ReplicaId, Term: term, Handover: transfer,
			Index: c.LastIndex(), LogTerm: c.termAt(c.LastIndex()),
			Restarted: restarted != nil, AskedIndex: restarted[m.ReplicaId],
		})
	}
}

// campaignTicks returns how long a campaign lasts before the next one. No leader is known, so that
// needn't be a full election timeout after a split vote: replicas that all start at once
// collide often. After elections without a winner the votes may take longer than estimated.
func (c *Core) campaignTicks() int {
	ticks := c.options.ElectionTicks/campaignRetryDivisor + c.options.Random(c.options.ElectionTicks)
	if c.role == Candidate {
		return ticks * c.electionBackoff()
	}
	return ticks
}

// electionBackoff returns the factor by which candidates wait longer. It doubles with each term
// that this replica has seen since it last knew a leader.
func (c *Core) electionBackoff() int {
	factor := 1
	for t := c.leaderTerm + 1; t < c.term && factor < maxElectionBackoff; t++ {
		factor *= 2
	}
	return factor
}

// SetVoteTicks sets the number of ticks that the votes of an election take until they are on
// disk and arrive. The driver derives it from the time that its own disk takes.
func (c *Core) SetVoteTicks(ticks int) { c.voteTicks = ticks }

// voteDelay returns by how many ticks the next campaign is delayed, so that votes arrive that are
// still being written to disk.
func (c *Core) voteDelay() int {
	if c.leader != 0 || c.role == PreCandidate || c.votedFor == 0 {
		return 0
	}
	return c.voteTicks
}

// votePending reports whether a vote of this replica, for itself or another, may still elect a
// leader. It supports no other candidate until then: while votes take long, a later term in
// which nobody is elected would void them.
func (c *Core) votePending() bool {
	return c.electionElapsed < c.voteDelay()
}

func (c *Core) electionWon() {
	if c.role == PreCandidate {
		c.campaign(Candidate, false, nil)
		return
	}
	c.becomeLeader()
}

func (c *Core) countVotes(granted bool) int {
	n := 0
	for _, m := range c.voters() {
		if v, ok := c.votes[m.ReplicaId]; ok && v == granted {
			n++
		}
	}
	return n
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term > c.term {
		c.setTerm(term)
	}
	c.role, c.leader, c.transferee = Follower, leader, 0
	if leader != 0 {
		c.leaderTerm = c.term
	}
	c.resetElectionTimer()
}

func (c *Core) setTerm(term uint64) {
	c.term, c.votedFor, c.voteChanged = term, 0, true
}

func (c *Core) resetElectionTimer() {
	c.electionElapsed = 0
	c.randomizedElectionTicks = c.options.ElectionTicks + c.options.Random(c.options.ElectionTicks)
}

func (c *Core) becomeLeader() {
	c.endRestart()
	c.role, c.leader, c.transferee, c.timeoutNowSent = Leader, c.options.ID, 0, false
	c.leaderTerm = c.term
	c.electionElapsed, c.heartbeatElapsed = 0, 0
	c.peers = map[uint64]*progress{}
	c.syncPeers()
	// Only an entry of the current term may be committed by counting replicas; earlier
	// entries are committed along with it.
	c.appendEntry(&wire.LogRecord{})
	c.Heartbeat()
}

func (c *Core) handleVoteRequest(m *wire.PeerMessage) {
	pre := m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE
	kind := wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE_ANSWER
	if pre {
		kind = wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER
	}
	resp := &wire.PeerMessage{Kind: kind, To: m.From, Term: m.Term}
	canVote := m.Term > c.term || (m.Term == c.term && (c.votedFor == 0 || c.votedFor == m.From))
	resp.Reject = !canVote || !c.logUpToDate(m)
	if resp.Reject {
		resp.Term = max(c.term, 1)
	}
	if !pre && !resp.Reject {
		c.endRestart()
		c.votedFor, c.voteChanged = m.From, true
		c.resetElectionTimer()
	}
	if pre {
		c.sendPrompt(resp) // it promises nothing
		return
	}
	c.send(resp)
}

// leaderActive reports whether this replica has heard from a leader within the minimum
// election timeout. No vote is granted in that time, which is what leader leases rely on.
func (c *Core) leaderActive() bool {
	if c.role == Leader || c.noVoteTicks > 0 {
		return true
	}
	return c.leader != 0 && c.electionElapsed < c.options.ElectionTicks
}

func (c *Core) logUpToDate(m *wire.PeerMessage) bool {
	last := c.termAt(c.LastIndex())
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.LastIndex())
}

func (c *Core) handleVoteResponse(m *wire.PeerMessage) {
	pre := m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER
	if (pre && c.role != PreCandidate) || (!pre && c.role != Candidate) {
		return
	}
	if !m.Reject && pre && m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.countVotes(true) >= c.majority() {
		c.electionWon()
	} else if c.countVotes(false) >= c.majority() {
		c.becomeFollower(c.term, 0)
	}
}

// TransferLeadership asks the most up-to-date of the voters that are active or have all
// entries to start an election at once, so that a planned stop of the leader doesn't cost an
// election timeout. From this call on the leader must grant no leases, because the transferee
// may be elected at any moment. It returns false if this replica isn't the leader or there is
// no such voter.
func (c *Core) TransferLeadership() bool {
	if c.role != Leader {
		return false
	}
	var best uint64
	for _, m := range c.voters() {
		p := c.peers[m.ReplicaId]
		if p == nil || m.ReplicaId == c.options.ID || !p.recentActive && p.match != c.LastIndex() {
			continue
		}
		if best == 0 || p.match > c.peers[best].match {
			best = m.ReplicaId
		}
	}
	if best == 0 {
		return false
	}
	c.transferee, c.transferTicks = best, 0
	c.maybeSendTimeoutNow()
	return true
}

func (c *Core) maybeSendTimeoutNow() {
	p := c.peers[c.transferee]
	if p == nil || p.match < c.LastIndex() {
		return
	}
	c.timeoutNowSent = true
	c.send(&wire.PeerMessage{Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_TIMEOUT_NOW, To: c.transferee, Term: c.term})
}
