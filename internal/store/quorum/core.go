// This file defines Core, its construction and what it hands to its driver.

// Package quorum is a replicated log: the rules by which control replicas
// agree on one order of records, without disk, network or clock.
//
// It follows Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm" (2014), with pre-vote, check-quorum, learners, one change of
// membership at a time, and a round number on each heartbeat that confirms
// leadership for reads and leases. Core is driven by one goroutine: it takes
// messages, ticks and proposals, and Take gives what is to be synced, sent and
// applied. The same inputs always give the same outputs, so that whole
// clusters can be run in one process under seeded schedules.
package quorum

import (
	"slices"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// maxBatchRecords and maxBatchBytes bound one append message, so that a
	// replica that is far behind is fed in parts that heartbeats fit between.
	maxBatchRecords = 2048
	maxBatchBytes   = 1 << 20
	// maxInFlight bounds the records sent to a replica that hasn't answered.
	maxInFlight = 16384
	// maxBytesInFlight bounds their size. A replica that is cut off would else
	// have all that is committed meanwhile queued for it: some 250 MB within
	// ten seconds of large configurations, which is all the memory there is.
	maxBytesInFlight = 4 << 20
	// snapshotPatience is how many heartbeats a snapshot may take before it is
	// sent again.
	snapshotPatience = 20
)

type (
	// Role is the part a replica plays in its term.
	Role int

	// Options are fixed for the life of a Core. ID must not be 0.
	Options struct {
		ID             uint64
		ElectionTicks  int
		HeartbeatTicks int
		// Random gives a number in [0,n); it spreads election timeouts.
		Random func(n int) int
	}

	// Durable is what a replica has on its disk when it starts.
	DurableState struct {
		Vote     *wire.Vote
		Snapshot *wire.Snapshot
		Entries  []*wire.LogRecord
	}

	// Output is what the driver has to do, in this order: send Early, sync
	// Vote, Snapshot and Records, call Synced, send Messages, restore
	// Snapshot. While it syncs, Core may be given messages, ticks
	// and proposals, but no other Output is taken: to all others a replica whose
	// disk is slow is one whose messages are.
	Ready struct {
		Vote     *wire.Vote
		Snapshot *wire.Snapshot
		Entries  []*wire.LogRecord
		// Early holds the leader's appends: they promise nothing about its
		// own disk, so they may leave while it is being synced.
		Appends  []*wire.PeerMessage
		Messages []*wire.PeerMessage
	}

	// progress is what a leader knows of another replica.
	progress struct {
		match, next  uint64
		round        uint64
		recentActive bool
		// silentTicks is how long ago the replica last answered.
		silentTicks int
		// probing is set by a refusal: what the replica holds isn't known until
		// it accepts an empty append.
		probing bool
		// flights are the batches sent and not answered, bytesInFlight their
		// size.
		flights       []flight
		bytesInFlight int
		// snapshotRounds is for how many heartbeats a snapshot that was sent is
		// still given time.
		snapshotRounds int
	}

	flight struct {
		last  uint64
		bytes int
	}

	// Core is one replica's view of the log. It isn't safe for concurrent use.
	Core struct {
		options Options
		role    Role
		term    uint64
		votedFor,
		leader uint64

		records  []*wire.LogRecord // those after the snapshot
		snapshot *wire.Snapshot
		members  *wire.Membership
		// memberIndex is the position that members came from.
		memberIndex uint64

		commit, applied, synced uint64

		peers map[uint64]*progress
		votes map[uint64]bool
		round uint64
		// handover is the replica that leadership is being handed to, or 0.
		handover      uint64
		handoverTicks int

		electionElapsed, heartbeatElapsed, electionLimit int
		// quietTicks is for how long after its start the replica gives no vote:
		// it may have answered a leader just before, and that leader counts on
		// no vote being given for an election timeout.
		quietTicks int

		voteDirty       bool
		installed       *wire.Snapshot
		firstUnsynced   uint64
		early, messages []*wire.PeerMessage
	}
)

// The roles a replica plays.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role for status pages and logs.
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

// New returns the replica that the durable state describes, as a follower.
func New(options Options, durable DurableState) *Core {
	c := &Core{
		options:  options,
		records:  durable.Entries,
		snapshot: durable.Snapshot,
		peers:    map[uint64]*progress{},
	}
	if durable.Vote != nil {
		c.term, c.votedFor = durable.Vote.Term, durable.Vote.VotedFor
	}
	if c.snapshot == nil {
		c.snapshot = &wire.Snapshot{Membership: &wire.Membership{}}
	}
	c.commit, c.applied = c.snapshot.Index, c.snapshot.Index
	c.synced = c.LastIndex()
	c.firstUnsynced = c.synced + 1
	c.refreshMembers()
	c.becomeFollower(c.term, 0)
	if c.term > 0 {
		c.quietTicks = options.ElectionTicks
	}
	return c
}

// Take gives all that has become due since the last call.
func (c *Core) Ready() Ready {
	rd := Ready{Snapshot: c.installed, Appends: c.early, Messages: c.messages}
	if c.voteDirty {
		rd.Vote = &wire.Vote{Term: c.term, VotedFor: c.votedFor, ReplicaId: c.options.ID}
	}
	if c.firstUnsynced <= c.LastIndex() {
		rd.Entries = append(rd.Entries, c.slice(c.firstUnsynced, c.LastIndex())...)
	}
	c.voteDirty, c.installed, c.early, c.messages = false, nil, nil, nil
	c.firstUnsynced = c.LastIndex() + 1
	return rd
}

// NextAppends gives the leader's appends alone. Unlike Take it may be called while an
// Output is synced: what it gives promises nothing about this replica's disk.
func (c *Core) NextAppends() []*wire.PeerMessage {
	early := c.early
	c.early = nil
	return early
}

// NextCommittedEntries gives the records to apply: those that are committed, are on this
// replica's disk and weren't given before. Unlike Take it may be called while an
// Output is synced.
func (c *Core) NextCommittedEntries() []*wire.LogRecord {
	last := min(c.commit, c.synced)
	if c.installed != nil || c.applied >= last {
		return nil
	}
	committed := slices.Clone(c.slice(c.applied+1, last))
	c.applied = last
	return committed
}

// Synced says that the output's records are on disk. Only from then on does a
// leader count itself among those that hold them.
func (c *Core) Synced(rd Ready) {
	if len(rd.Entries) == 0 {
		return
	}
	last := rd.Entries[len(rd.Entries)-1]
	if c.termAt(last.Index) != last.Term {
		return // replaced meanwhile by records of another leader
	}
	c.synced = max(c.synced, last.Index)
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact drops the records that the snapshot covers. The snapshot must hold
// the state at a position already applied.
func (c *Core) Compact(s *wire.Snapshot) {
	if s.Index <= c.snapshot.Index {
		return
	}
	kept := c.slice(s.Index+1, c.LastIndex())
	c.records = append([]*wire.LogRecord(nil), kept...)
	c.snapshot = s
}

// Status is a view of a replica for its driver and for operators.
type Status struct {
	Role                    Role
	Term, Leader            uint64
	Commit, Applied, Synced uint64
	FirstIndex, LastIndex   uint64
	// Round is the last heartbeat round sent; ConfirmedRound the last one
	// that a quorum of voters has answered.
	Round, ConfirmedRound  uint64
	TransferringLeadership bool
}

// Status returns the present view.
func (c *Core) Status() Status {
	return Status{
		Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.commit, Applied: c.applied, Synced: c.synced,
		FirstIndex: c.snapshot.Index + 1, LastIndex: c.LastIndex(),
		Round: c.round, ConfirmedRound: c.confirmedRound(), TransferringLeadership: c.handover != 0,
	}
}

// LastIndex is the position of the last record held.
func (c *Core) LastIndex() uint64 {
	return c.snapshot.Index + uint64(len(c.records))
}

func (c *Core) slice(from, to uint64) []*wire.LogRecord {
	base := c.snapshot.Index + 1
	if from > to {
		return nil
	}
	return c.records[from-base : to-base+1]
}

// termAt returns the term of the record at index, or 0 when it isn't held.
func (c *Core) termAt(index uint64) uint64 {
	switch {
	case index == c.snapshot.Index:
		return c.snapshot.Term
	case index < c.snapshot.Index || index > c.LastIndex():
		return 0
	default:
		return c.records[index-c.snapshot.Index-1].Term
	}
}
