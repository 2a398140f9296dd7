// This file defines log replication: messages, appends and the commit index.

package quorum

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

// Step handles one message. Messages addressed to another replica or cluster are dropped: a
// replica that lost its disk has a new identity and must not receive messages meant for the
// old one.
func (c *Core) Step(m *wire.PeerMessage) {
	if m.To != c.options.ID || m.ClusterId != c.membership.GetClusterId() {
		return
	}
	if c.options.RestartElection && m.Restarted && c.handleRestartMessage(m) {
		return
	}
	if c.ignoresVoteRequest(m) {
		return
	}
	if m.Term > c.term && advancesTerm(m) {
		leader := uint64(0)
		if isFromLeader(m.Kind) {
			leader = m.From
		}
		c.becomeFollower(m.Term, leader)
	}
	if m.Term < c.term {
		c.rejectStale(m)
		return
	}
	c.handleMessage(m)
}

// ignoresVoteRequest reports whether the message is a vote request that must be ignored
// because a leader is active or may just be elected: see leaderActive and votePending.
func (c *Core) ignoresVoteRequest(m *wire.PeerMessage) bool {
	switch m.Kind {
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE, wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE:
		supported := m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE && c.votePending()
		return !m.Handover && !c.waivesWait(m) && (c.leaderActive() || supported)
	default:
		return false
	}
}

// advancesTerm reports whether some replica is in the message's term already. The term of a
// pre-vote, or of a granted pre-vote response, is only prospective.
func advancesTerm(m *wire.PeerMessage) bool {
	switch m.Kind {
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE:
		return false
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER:
		return m.Reject
	default:
		return true
	}
}

func isFromLeader(k wire.PeerMessageKind) bool {
	return k == wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND || k == wire.PeerMessageKind_PEER_MESSAGE_KIND_SNAPSHOT
}

// rejectStale informs a leader or candidate of an old term about the current term.
func (c *Core) rejectStale(m *wire.PeerMessage) {
	switch m.Kind {
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND, wire.PeerMessageKind_PEER_MESSAGE_KIND_SNAPSHOT:
		c.send(&wire.PeerMessage{Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER, To: m.From, Term: c.term, Reject: true})
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE:
		c.sendPrompt(&wire.PeerMessage{Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER, To: m.From, Term: c.term, Reject: true})
	default:
	}
}

func (c *Core) handleMessage(m *wire.PeerMessage) {
	switch m.Kind {
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE, wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE:
		c.handleVoteRequest(m)
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER, wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE_ANSWER:
		c.handleVoteResponse(m)
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND:
		c.followLeader(m)
		c.handleAppend(m)
		c.answerRound(m)
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_SNAPSHOT:
		c.followLeader(m)
		c.handleSnapshot(m)
		c.answerRound(m)
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER:
		c.handleAppendResponse(m)
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_ROUND_ANSWER:
		c.handleRoundAnswer(m)
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_TIMEOUT_NOW:
		if m.From == c.leader && c.isVoter(c.options.ID) {
			c.campaign(Candidate, true, nil)
		}
	default:
	}
}

func (c *Core) followLeader(m *wire.PeerMessage) {
	c.endRestart()
	c.role, c.leader, c.leaderTerm = Follower, m.From, c.term
	c.resetElectionTimer()
}

func (c *Core) handleAppend(m *wire.PeerMessage) {
	resp := &wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER,
		To:   m.From, Term: c.term, Round: m.Round, AskedIndex: m.Index, Room: c.room, StateVersion: c.options.StateVersion,
	}
	defer c.send(resp)
	if m.Index < c.snapshot.Index {
		resp.Index = c.commitIndex // committed entries are known to match
		return
	}
	if m.Index > c.LastIndex() || c.termAt(m.Index) != m.LogTerm {
		resp.Reject = true
		resp.Index = min(c.LastIndex(), m.Index-1)
		resp.Index = max(resp.Index, c.commitIndex)
		return
	}
	c.mergeEntries(m.Records)
	resp.Index = m.Index + uint64(len(m.Records))
	c.commitIndex = max(c.commitIndex, min(m.Commit, resp.Index))
}

// answerRound confirms a heartbeat round without waiting for the disk, if the answer to the
// append has to wait. Otherwise a leader whose voters have slow disks couldn't hold its lease.
// The term must be on disk: a replica that restarts in an earlier one could take part in the
// election of another leader within the time of the lease.
func (c *Core) answerRound(m *wire.PeerMessage) {
	waits := c.syncing || c.voteChanged || c.pendingSnapshot != nil || c.nextToPersist <= c.LastIndex()
	if !waits || c.term != c.durableTerm || m.Term == c.answeredTerm && m.Round <= c.answeredRound {
		return
	}
	c.answeredTerm, c.answeredRound = m.Term, m.Round
	c.sendPrompt(&wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_ROUND_ANSWER, To: m.From, Term: c.term, Round: m.Round, Room: c.room,
	})
}

// handleRoundAnswer doesn't count as a response for TicksSinceResponse: a voter whose disk hangs
// has to be replaced.
func (c *Core) handleRoundAnswer(m *wire.PeerMessage) {
	if p := c.peers[m.From]; c.role == Leader && p != nil {
		p.recentActive, p.room = true, m.Room
		p.ackedRound = max(p.ackedRound, m.Round)
	}
}

// mergeEntries appends the entries that are missing. If one conflicts with an existing
// entry, that entry and all that follow are discarded; they were never committed.
func (c *Core) mergeEntries(entries []*wire.LogRecord) {
	for i, r := range entries {
		if c.termAt(r.Index) == r.Term {
			continue
		}
		if r.Index <= c.LastIndex() {
			c.entries = c.entries[:r.Index-c.snapshot.Index-1]
			c.syncedIndex = min(c.syncedIndex, r.Index-1)
			c.nextToPersist = min(c.nextToPersist, r.Index)
		}
		c.entries = append(c.entries, entries[i:]...)
		c.reloadMembership()
		return
	}
}

func (c *Core) handleSnapshot(m *wire.PeerMessage) {
	s := m.Snapshot
	resp := &wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER,
		To:   m.From, Term: c.term, Round: m.Round, Index: c.commitIndex, Room: c.room, StateVersion: c.options.StateVersion,
	}
	defer c.send(resp)
	if s.GetIndex() <= c.commitIndex {
		return
	}
	if c.termAt(s.Index) == s.Term {
		// A delayed snapshot that the log already covers. Later entries must be kept: this
		// replica may have acknowledged them, and the leader may have committed them.
		c.commitIndex, resp.Index = s.Index, s.Index
		return
	}
	c.entries, c.snapshot, c.pendingSnapshot = nil, s, s
	c.commitIndex, c.appliedIndex, c.syncedIndex, c.nextToPersist = s.Index, s.Index, s.Index, s.Index+1
	c.reloadMembership()
	resp.Index = s.Index
}

// Propose appends commands to the leader's log and returns the index of the first. It
// returns false if this replica isn't the leader or is transferring leadership.
func (c *Core) Propose(commands []*wire.Command) (uint64, bool) {
	if c.role != Leader || c.transferee != 0 {
		return 0, false
	}
	first := c.LastIndex() + 1
	for _, cm := range commands {
		c.appendEntry(&wire.LogRecord{Command: cm})
	}
	c.broadcastAppend(false)
	return first, true
}

func (c *Core) appendEntry(r *wire.LogRecord) {
	r.Index, r.Term = c.LastIndex()+1, c.term
	c.entries = append(c.entries, r)
	if r.Membership != nil {
		c.reloadMembership()
	}
}

// Heartbeat starts a new heartbeat round and returns its number. Responses to the round
// confirm that this replica was the leader when the round started.
func (c *Core) Heartbeat() uint64 {
	c.round++
	c.heartbeatElapsed = 0
	for _, p := range c.peers {
		p.snapshotHeartbeats = max(p.snapshotHeartbeats-1, 0)
	}
	c.broadcastAppend(true)
	return c.round
}

func (c *Core) broadcastAppend(sendEmpty bool) {
	for _, m := range c.membership.GetMembers() {
		if m.ReplicaId != c.options.ID {
			c.sendAppend(m.ReplicaId, sendEmpty)
		}
	}
}

// sendAppend sends the entries that the replica is missing. With sendEmpty it sends a
// message even if there are none, and a snapshot if they were compacted.
func (c *Core) sendAppend(to uint64, sendEmpty bool) {
	p := c.peers[to]
	if p == nil {
		return
	}
	if p.next <= c.snapshot.Index {
		if sendEmpty {
			c.sendSnapshot(to)
		}
		return
	}
	batch, size := c.nextBatch(p)
	if len(batch) == 0 && !sendEmpty {
		return
	}
	prev := p.next - 1
	c.appends = append(c.appends, c.withSender(&wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND, To: to, Term: c.term,
		Index: prev, LogTerm: c.termAt(prev), Records: batch, Commit: c.commitIndex, Round: c.round,
	}))
	p.next += uint64(len(batch))
	if len(batch) > 0 {
		p.inflights = append(p.inflights, inflightBatch{lastIndex: p.next - 1, bytes: size})
		p.inflightBytes += size
	}
}

func (c *Core) sendSnapshot(to uint64) {
	p := c.peers[to]
	c.appends = append(c.appends, c.withSender(&wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_SNAPSHOT, To: to, Term: c.term,
		Snapshot: c.snapshot, Round: c.round,
	}))
	p.next = c.snapshot.Index + 1
	p.snapshotHeartbeats = snapshotRetryHeartbeats
	p.probing = true
}

// nextBatch returns the entries to send to a replica now, and their size in bytes.
func (c *Core) nextBatch(p *progress) ([]*wire.LogRecord, int) {
	if p.probing || p.next > p.match+maxInflightEntries || p.inflightBytes >= maxInflightBytes {
		return nil, 0
	}
	last := min(c.LastIndex(), p.next+maxBatchEntries-1)
	batch := c.entryRange(p.next, last)
	size := 0
	for i, r := range batch {
		entrySize := proto.Size(r)
		if size+entrySize > maxBatchBytes && i > 0 {
			batch = batch[:i]
			break
		}
		size += entrySize
	}
	// Clone, because another goroutine encodes the message while a new leader's entries may
	// overwrite the slice.
	return slices.Clone(batch), size
}

// freeInflights removes the batches up to match from inflights.
func (p *progress) freeInflights() {
	for len(p.inflights) > 0 && p.inflights[0].lastIndex <= p.match {
		p.inflightBytes -= p.inflights[0].bytes
		p.inflights = p.inflights[1:]
	}
}

func (c *Core) handleAppendResponse(m *wire.PeerMessage) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.recentActive, p.ticksSinceResponse, p.room, p.stateVersion = true, 0, m.Room, m.StateVersion
	p.ackedRound = max(p.ackedRound, m.Round)
	if m.Reject {
		c.handleAppendReject(m, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		c.maybeCommit()
	}
	if p.probing {
		p.probing, p.snapshotHeartbeats = false, 0
		p.inflights, p.inflightBytes = nil, 0
		p.next = p.match + 1
	}
	p.freeInflights()
	p.next = max(p.next, p.match+1)
	c.sendAppend(m.From, false)
	if c.transferee == m.From {
		c.maybeSendTimeoutNow()
	}
}

// handleAppendReject moves next back to where the logs may match, and probes with one empty
// append at a time.
//
// A single lost message causes every later append in flight to be rejected. Only the
// rejection of the latest probe counts; otherwise each would cause all following entries to
// be resent.
func (c *Core) handleAppendReject(m *wire.PeerMessage, p *progress) {
	if p.snapshotHeartbeats > 0 || (p.probing && m.AskedIndex != p.next-1) {
		return
	}
	p.probing = true
	p.inflights, p.inflightBytes = nil, 0
	p.next = max(min(p.next, m.Index+1), p.match+1)
	c.sendAppend(m.From, true)
}

// maybeCommit advances the commit index to the highest entry of the current term that a
// majority of voters has on disk.
func (c *Core) maybeCommit() {
	index := c.quorumValue(func(id uint64) uint64 {
		if id == c.options.ID {
			return c.syncedIndex
		}
		if p := c.peers[id]; p != nil {
			return p.match
		}
		return 0
	})
	if index <= c.commitIndex || c.termAt(index) != c.term {
		return
	}
	c.commitIndex = index
	c.broadcastAppend(true) // sends the new commit index without waiting for a heartbeat
	c.stepDownIfRemoved()
}

// quorumValue returns the highest value that a majority of voters has reached.
func (c *Core) quorumValue(value func(id uint64) uint64) uint64 {
	// Avoids an allocation for up to 8 voters; this is called several times per iteration.
	var buffer [8]uint64
	values := buffer[:0]
	for _, m := range c.membership.GetMembers() {
		if m.Voter {
			values = append(values, value(m.ReplicaId))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-(len(values)/2+1)]
}

// stepDownIfRemoved makes a leader step down once its own removal is committed.
func (c *Core) stepDownIfRemoved() {
	if c.commitIndex >= c.membershipIndex && !c.isVoter(c.options.ID) {
		c.becomeFollower(c.term, 0)
	}
}

// confirmedRound returns the highest heartbeat round that a majority has acknowledged.
func (c *Core) confirmedRound() uint64 {
	if c.role != Leader {
		return 0
	}
	return c.quorumValue(c.ackedRoundOf)
}

func (c *Core) ackedRoundOf(id uint64) uint64 {
	if id == c.options.ID {
		return c.round
	}
	if p := c.peers[id]; p != nil {
		return p.ackedRound
	}
	return 0
}

func (c *Core) send(m *wire.PeerMessage) {
	c.messages = append(c.messages, c.withSender(m))
}

// sendPrompt sends a message that promises nothing that has to be on disk.
func (c *Core) sendPrompt(m *wire.PeerMessage) {
	c.prompt = append(c.prompt, c.withSender(m))
}

func (c *Core) withSender(m *wire.PeerMessage) *wire.PeerMessage {
	m.From, m.ClusterId = c.options.ID, c.membership.GetClusterId()
	return m
}
