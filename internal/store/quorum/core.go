// This file defines Core and the interface to its driver.

// Package quorum implements the Raft consensus algorithm, without disk, network or clock.
//
// It follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
// (2014), with pre-vote, check-quorum, learners and single-server membership changes. Each
// heartbeat carries a round number; acknowledged rounds confirm leadership for read index and
// leader leases.
//
// Core is driven by one goroutine, which passes in messages, ticks and proposals and handles
// what Ready returns. Core is deterministic, so that tests can run whole clusters in one
// process under seeded schedules.
package quorum

import (
	"slices"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// maxBatchEntries and maxBatchBytes limit one append message so that heartbeats aren't
	// delayed while a follower catches up.
	maxBatchEntries = 2048
	maxBatchBytes   = 1 << 20
	// maxInflightEntries limits the entries sent to a replica and not yet acknowledged.
	maxInflightEntries = 16384
	// maxInflightBytes limits their size. Without it, everything committed while a replica is
	// unreachable would be queued for it in memory. Ten seconds of large configurations are
	// some 250 MB, about a replica's whole memory.
	maxInflightBytes = 4 << 20
	// snapshotRetryHeartbeats is the number of heartbeats after which an unacknowledged
	// snapshot is sent again.
	snapshotRetryHeartbeats = 20
)

type (
	// Role is the role of a replica in its current term.
	Role int

	// Options configures a Core and doesn't change during its life. ID must not be 0.
	Options struct {
		ID             uint64
		ElectionTicks  int
		HeartbeatTicks int
		// Random returns a number in [0,n). It randomizes election timeouts.
		Random func(n int) int
		// RestartElection lets a replica stand for election without waiting for an election
		// timeout if all voters have restarted.
		RestartElection bool
		// StateVersion is the highest version of the state's rules that this replica knows.
		StateVersion uint32
	}

	// DurableState is what a replica has on disk when it starts.
	DurableState struct {
		Vote     *wire.Vote
		Snapshot *wire.Snapshot
		Entries  []*wire.LogRecord
	}

	// Ready is the work for the driver, in this order: send Appends; sync Vote, Snapshot
	// and Entries to disk; call Synced; send Messages; restore Snapshot. During the sync,
	// Core accepts messages, ticks and proposals, but Ready must not be called again. What
	// NextPrompt returns may be sent at any time.
	Ready struct {
		Vote     *wire.Vote
		Snapshot *wire.Snapshot
		Entries  []*wire.LogRecord
		// Appends holds the leader's append and snapshot messages. They are valid before
		// its own entries are on disk, so they may be sent during the sync.
		Appends  []*wire.PeerMessage
		Messages []*wire.PeerMessage
	}

	// progress is the leader's view of another replica.
	progress struct {
		match, next uint64
		ackedRound  uint64
		// room is the latest Room of its answers, as in PeerMessage.
		room uint64
		// stateVersion is the StateVersion of its answers in this term, as in PeerMessage.
		stateVersion       uint32
		recentActive       bool
		ticksSinceResponse int
		// probing is set by a rejection, or with a snapshot, until the replica accepts a
		// message, which shows where its log matches the leader's. Until then it is sent
		// no entries.
		probing bool
		// inflights are the batches sent and not yet acknowledged, inflightBytes their
		// total size.
		inflights     []inflightBatch
		inflightBytes int
		// snapshotHeartbeats is the number of heartbeats left until a snapshot in transit
		// is sent again.
		snapshotHeartbeats int
	}

	inflightBatch struct {
		lastIndex uint64
		bytes     int
	}

	// Core is the Raft state of one replica. It isn't safe for concurrent use.
	Core struct {
		options Options
		role    Role
		term    uint64
		votedFor,
		leader uint64

		entries    []*wire.LogRecord // those after snapshot
		snapshot   *wire.Snapshot
		membership *wire.Membership
		// membershipIndex is the log index of the entry or snapshot that membership is
		// from.
		membershipIndex uint64

		commitIndex, appliedIndex, syncedIndex uint64

		peers map[uint64]*progress
		votes map[uint64]bool
		round uint64
		// transferee is the target of a leadership transfer in progress, or 0.
		transferee uint64
		// timeoutNowSent is set for the rest of the term once another replica was told to
		// stand for election: the message may arrive after the transfer was aborted.
		timeoutNowSent bool
		transferTicks  int

		electionElapsed, heartbeatElapsed, randomizedElectionTicks int
		// leaderTerm is the latest term in which this replica knew a leader, or that of its
		// start. voteTicks is as in SetVoteTicks.
		leaderTerm uint64
		voteTicks  int
		// noVoteTicks is the number of ticks during which a restarted replica grants no
		// votes. It may have acknowledged a heartbeat just before the restart, and the
		// leader's lease relies on no vote being granted for an election timeout.
		noVoteTicks int
		restart     restartElection

		voteChanged bool
		// syncing is set while a Ready is written to disk, durableTerm the term on disk.
		syncing     bool
		durableTerm uint64
		// answeredTerm and answeredRound are the latest heartbeat round that was answered
		// without waiting for a sync.
		answeredTerm, answeredRound uint64

		room              uint64         // as in PeerMessage
		pendingSnapshot   *wire.Snapshot // received and not yet returned by Ready
		nextToPersist     uint64         // the first entry not yet returned by Ready
		appends, messages []*wire.PeerMessage
		prompt            []*wire.PeerMessage // don't depend on this replica's disk
	}
)

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role for logs and status pages.
func (r Role) String() string {
	switch r {
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "follower"
	}
}

// New returns a follower that resumes from the durable state.
func New(options Options, durable DurableState) *Core {
	c := &Core{
		options:  options,
		entries:  durable.Entries,
		snapshot: durable.Snapshot,
		peers:    map[uint64]*progress{},
	}
	if durable.Vote != nil {
		c.term, c.votedFor = durable.Vote.Term, durable.Vote.VotedFor
	}
	if c.snapshot == nil {
		c.snapshot = &wire.Snapshot{Membership: &wire.Membership{}}
	}
	c.durableTerm, c.leaderTerm = c.term, c.term
	c.commitIndex, c.appliedIndex = c.snapshot.Index, c.snapshot.Index
	c.syncedIndex = c.LastIndex()
	c.nextToPersist = c.syncedIndex + 1
	c.reloadMembership()
	c.becomeFollower(c.term, 0)
	if c.term > 0 {
		c.noVoteTicks = options.ElectionTicks
		if options.RestartElection {
			c.startRestartElection()
		}
	}
	return c
}

// Ready returns the work that has become due since the last call.
func (c *Core) Ready() Ready {
	rd := Ready{Snapshot: c.pendingSnapshot, Appends: c.appends, Messages: c.messages}
	if c.voteChanged {
		rd.Vote = &wire.Vote{Term: c.term, VotedFor: c.votedFor, ReplicaId: c.options.ID}
	}
	if c.nextToPersist <= c.LastIndex() {
		rd.Entries = append(rd.Entries, c.entryRange(c.nextToPersist, c.LastIndex())...)
	}
	c.syncing = rd.Vote != nil || rd.Snapshot != nil || len(rd.Entries) > 0
	c.voteChanged, c.pendingSnapshot, c.appends, c.messages = false, nil, nil, nil
	c.nextToPersist = c.LastIndex() + 1
	return rd
}

// NextAppends returns the leader's pending append messages. Unlike Ready it may be called
// while an earlier Ready is being synced, because they don't depend on this replica's disk.
func (c *Core) NextAppends() []*wire.PeerMessage {
	appends := c.appends
	c.appends = nil
	return appends
}

// NextPrompt returns the pending messages that promise nothing that isn't on disk yet. Unlike
// those of Ready they may be sent while an earlier Ready is being synced.
func (c *Core) NextPrompt() []*wire.PeerMessage {
	prompt := c.prompt
	c.prompt = nil
	return prompt
}

// NextCommittedEntries returns the entries to apply: those that are committed, are on this
// replica's disk and weren't returned before. Unlike Ready it may be called while an
// earlier Ready is being synced.
func (c *Core) NextCommittedEntries() []*wire.LogRecord {
	last := min(c.commitIndex, c.syncedIndex)
	if c.pendingSnapshot != nil || c.appliedIndex >= last {
		return nil
	}
	committed := slices.Clone(c.entryRange(c.appliedIndex+1, last))
	c.appliedIndex = last
	return committed
}

// Synced records that the Ready is on disk. A leader counts its own copy of an entry
// towards the majority only after this call.
func (c *Core) Synced(rd Ready) {
	c.syncing = false
	if rd.Vote != nil {
		c.durableTerm = rd.Vote.Term
	}
	if len(rd.Entries) == 0 {
		return
	}
	last := rd.Entries[len(rd.Entries)-1]
	if c.termAt(last.Index) != last.Term {
		return // overwritten by another leader's entries since
	}
	c.syncedIndex = max(c.syncedIndex, last.Index)
	if c.role == Leader {
		c.maybeCommit()
	}
}

// Compact discards the entries that the snapshot covers. The snapshot's index must have
// been applied.
func (c *Core) Compact(s *wire.Snapshot) {
	if s.Index <= c.snapshot.Index {
		return
	}
	kept := c.entryRange(s.Index+1, c.LastIndex())
	c.entries = append([]*wire.LogRecord(nil), kept...)
	c.snapshot = s
}

// Status describes a replica to its driver and to operators.
type Status struct {
	Role                    Role
	Term, Leader            uint64
	Commit, Applied, Synced uint64
	FirstIndex, LastIndex   uint64
	// Round is the last heartbeat round sent; ConfirmedRound is the last one acknowledged
	// by a quorum of voters.
	Round, ConfirmedRound  uint64
	TransferringLeadership bool
	// RestartPhase is the state of the election after a restart of all voters, RestartGrants
	// the number of voters, including this one, that have granted the latest request.
	RestartPhase  RestartPhase
	RestartGrants int
}

// Status returns the current status.
func (c *Core) Status() Status {
	return Status{
		Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.commitIndex, Applied: c.appliedIndex, Synced: c.syncedIndex,
		FirstIndex: c.snapshot.Index + 1, LastIndex: c.LastIndex(),
		Round: c.round, ConfirmedRound: c.confirmedRound(), TransferringLeadership: c.transferee != 0,
		RestartPhase: c.restartPhase(), RestartGrants: c.restartGrants(),
	}
}

// MayHoldLease reports whether a confirmed round gives this replica a leader lease. The leader
// must have committed an entry of its term and be a voter itself. Otherwise a replica whose
// membership lacks this leader could be elected without asking it whether it has restarted:
// see docs/design/restart-election.md.
func (c *Core) MayHoldLease() bool {
	return c.role == Leader && c.transferee == 0 && !c.timeoutNowSent && c.isVoter(c.options.ID) && c.termAt(c.commitIndex) == c.term
}

// LastIndex returns the index of the last log entry.
func (c *Core) LastIndex() uint64 {
	return c.snapshot.Index + uint64(len(c.entries))
}

func (c *Core) entryRange(from, to uint64) []*wire.LogRecord {
	base := c.snapshot.Index + 1
	if from > to {
		return nil
	}
	return c.entries[from-base : to-base+1]
}

// termAt returns the term of the entry at index, or 0 if the log doesn't contain it.
func (c *Core) termAt(index uint64) uint64 {
	switch {
	case index == c.snapshot.Index:
		return c.snapshot.Term
	case index < c.snapshot.Index || index > c.LastIndex():
		return 0
	default:
		return c.entries[index-c.snapshot.Index-1].Term
	}
}
