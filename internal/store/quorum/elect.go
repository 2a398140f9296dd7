// This file defines elections: timers, votes and handing over.

package quorum

import (
	"sycamoredeck.example/internal/schema/wire"
)

// retryPart of an election timeout is the least time between two tries of one
// replica to be elected.
const retryPart = 4

// Tick tells that one tick of time has gone by.
func (c *Core) Tick() {
	c.electionElapsed++
	c.quietTicks = max(c.quietTicks-1, 0)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionLimit && c.isVoter(c.options.ID) {
		c.campaign(PreCandidate, false)
	}
}

func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	for _, p := range c.peers {
		p.silentTicks++
	}
	if c.heartbeatElapsed >= c.options.HeartbeatTicks {
		c.Heartbeat()
	}
	if c.handover != 0 {
		c.handoverTicks++
		if c.handoverTicks > c.options.ElectionTicks {
			c.handover = 0 // the other never took over; serve on
		}
	}
	if c.electionElapsed < c.options.ElectionTicks {
		return
	}
	c.electionElapsed = 0
	// Check-quorum. An isolated leader would otherwise think for hours that
	// it leads, and answer lists and leases from a past that has moved on.
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

// campaign stands for election. A pre-candidate first asks whether it could
// win: without that, a replica that was cut off would come back with a term
// grown high over the hours and depose a leader that serves well.
func (c *Core) campaign(role Role, handover bool) {
	c.role = role
	c.leader = 0
	c.votes = map[uint64]bool{c.options.ID: true}
	c.resetElectionTimer()
	// No leader is known, so there is none to protect by waiting a whole timeout
	// after a split vote or a refused pre-vote. Replicas that all start at once
	// collide often; with whole timeouts between tries an election after a loss
	// of all power took up to 3.1 s.
	c.electionLimit = c.options.ElectionTicks/retryPart + c.options.Random(c.options.ElectionTicks)
	term, kind := c.term+1, wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE
	if role == Candidate {
		c.setTerm(term)
		c.votedFor = c.options.ID
		kind = wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE
	}
	if c.countVotes(true) >= c.majority() {
		c.wonVotes()
		return
	}
	for _, m := range c.voters() {
		if m.ReplicaId == c.options.ID {
			continue
		}
		c.send(&wire.PeerMessage{
			Kind: kind, To: m.ReplicaId, Term: term, Handover: handover,
			Index: c.LastIndex(), LogTerm: c.termAt(c.LastIndex()),
		})
	}
}

func (c *Core) wonVotes() {
	if c.role == PreCandidate {
		c.campaign(Candidate, false)
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
	c.role, c.leader, c.handover = Follower, leader, 0
	c.resetElectionTimer()
}

func (c *Core) setTerm(term uint64) {
	c.term, c.votedFor, c.voteDirty = term, 0, true
}

func (c *Core) resetElectionTimer() {
	c.electionElapsed = 0
	c.electionLimit = c.options.ElectionTicks + c.options.Random(c.options.ElectionTicks)
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.handover = Leader, c.options.ID, 0
	c.electionElapsed, c.heartbeatElapsed = 0, 0
	c.peers = map[uint64]*progress{}
	c.syncPeers()
	// A record of the new term, since only such a record may be committed by
	// counting replicas; those before it are committed along with it.
	c.appendLocal(&wire.LogRecord{})
	c.Heartbeat()
}

func (c *Core) handleVoteRequest(m *wire.PeerMessage) {
	pre := m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE
	kind := wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE_ANSWER
	if pre {
		kind = wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER
	}
	answer := &wire.PeerMessage{Kind: kind, To: m.From, Term: m.Term}
	free := m.Term > c.term || (m.Term == c.term && (c.votedFor == 0 || c.votedFor == m.From))
	answer.Reject = !free || !c.upToDate(m)
	if answer.Reject {
		answer.Term = max(c.term, 1)
	}
	if !pre && !answer.Reject {
		c.votedFor, c.voteDirty = m.From, true
		c.resetElectionTimer()
	}
	c.send(answer)
}

// hearsLeader tells whether a leader was heard within the shortest election
// timeout. While that is so no vote is given, which is what lets a leader
// treat its confirmed rounds as a lease.
func (c *Core) hearsLeader() bool {
	if c.role == Leader || c.quietTicks > 0 {
		return true
	}
	return c.leader != 0 && c.electionElapsed < c.options.ElectionTicks
}

func (c *Core) upToDate(m *wire.PeerMessage) bool {
	last := c.termAt(c.LastIndex())
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.LastIndex())
}

func (c *Core) handleVoteAnswer(m *wire.PeerMessage) {
	pre := m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER
	if (pre && c.role != PreCandidate) || (!pre && c.role != Candidate) {
		return
	}
	if !m.Reject && pre && m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.countVotes(true) >= c.majority() {
		c.wonVotes()
	} else if c.countVotes(false) >= c.majority() {
		c.becomeFollower(c.term, 0)
	}
}

// Handover asks a caught-up voter to stand at once, so that a planned stop of
// the leader costs a round trip and not an election timeout. From this call on
// the leader must grant no leases, because the other may lead at any moment.
// It returns false when there is none to hand over to.
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
	c.handover, c.handoverTicks = best, 0
	c.tryHandover()
	return true
}

func (c *Core) tryHandover() {
	p := c.peers[c.handover]
	if p == nil || p.match < c.LastIndex() {
		return
	}
	c.send(&wire.PeerMessage{Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_TIMEOUT_NOW, To: c.handover, Term: c.term})
}
