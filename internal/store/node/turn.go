// This file defines one turn of the loop: sync, send, apply, answer.

package node

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/quorum"
	"sycamoredeck.example/internal/store/state"
)

// maxPasses bounds how often one turn repeats for what its own outputs cause.
const maxPasses = 4

func (n *Node) turn() {
	n.appendProposals()
	n.startReads()
	for range maxPasses {
		if !n.pass() {
			break
		}
	}
	n.noteRounds()
	n.noteRole()
	n.answerReads()
	n.maybeSnapshot()
	if n.options.AfterIteration != nil && !n.failed {
		n.options.AfterIteration(n.options.Clock.Now())
	}
	if len(n.proposals) > 0 {
		// Proposed by Turn; without this they would wait for the next tick.
		select {
		case n.inbox <- func() {}:
		default:
		}
	}
}

func (n *Node) appendProposals() {
	if len(n.proposals) == 0 {
		return
	}
	batch := n.proposals
	n.proposals = nil
	commands := make([]*wire.Command, len(batch))
	for i, p := range batch {
		commands[i] = p.command
	}
	first, ok := n.core.Propose(commands)
	if !ok {
		for _, p := range batch {
			p.done(state.Result{}, ErrNotLeader)
		}
		return
	}
	term := n.core.Status().Term
	for i, p := range batch {
		n.waiters[first+uint64(i)] = waiter{term, p.done}
	}
}

// pass carries out one output of the log, or applies what was committed while one
// is being written; false when there was nothing.
//
// Appends leave while an earlier output is written, which is half a sync less for
// each commit. But only for as long as a leader may be silent anyway: one whose disk
// hangs must be missed by the others, or it would go on leading and commit nothing.
func (n *Node) pass() bool {
	committed := n.core.NextCommittedEntries()
	for _, r := range committed {
		n.apply(r)
	}
	if n.writing {
		if n.options.BootTime()-n.writeBegan < n.options.HeartbeatInterval {
			n.send(n.core.NextAppends())
		}
		return len(committed) > 0
	}
	out := n.core.Ready()
	n.send(out.Appends)
	if out.Vote == nil && out.Snapshot == nil && len(out.Entries) == 0 {
		n.finish(out)
		return len(out.Appends)+len(out.Messages)+len(committed) > 0
	}
	n.write(func() error { return n.persist(out) }, func() { n.finish(out) })
	return false
}

// finish does what may be done once an output is on the disk.
func (n *Node) finish(out quorum.Ready) {
	n.core.Synced(out)
	n.send(out.Messages)
	if out.Snapshot != nil {
		n.install(out.Snapshot)
	}
}

// write has the disk do something beside the loop, and then calls done on it. One
// write is under way at a time. A sync takes milliseconds; a loop that waited for each
// did nothing else for nine tenths of its time at 150 syncs a second of 6 ms, and all
// that it was asked and told meanwhile waited.
func (n *Node) write(job func() error, done func()) {
	n.writing, n.writeBegan = true, n.options.BootTime()
	n.writes.Go(func() {
		err := job()
		n.Post(func() {
			n.writing = false
			switch {
			case n.failed:
			case err != nil:
				n.fail(err)
			default:
				done()
				n.dropCovered()
			}
		})
	})
}

// dropCovered removes the segments that a snapshot covers, once nothing is written.
func (n *Node) dropCovered() {
	if n.covered == 0 || n.writing {
		return
	}
	index := n.covered
	n.covered = 0
	n.write(func() error { return n.log.Compact(index, false) }, func() {})
}

// persist runs beside the loop.
func (n *Node) persist(out quorum.Ready) error {
	if out.Vote != nil {
		if err := n.log.SaveVote(out.Vote); err != nil {
			return err
		}
	}
	if out.Snapshot != nil {
		if err := n.persistSnapshot(out.Snapshot); err != nil {
			return err
		}
	}
	if len(out.Entries) == 0 {
		return nil
	}
	began := time.Now()
	err := n.log.Append(out.Entries)
	syncSeconds.UpdateDuration(began)
	syncsTotal.Inc()
	return err
}

func (n *Node) persistSnapshot(s *wire.Snapshot) error {
	n.snapshotFile.Lock() // one of our own may be under way
	defer n.snapshotFile.Unlock()
	if err := n.log.WriteSnapshot(s); err != nil {
		return err
	}
	return n.log.Compact(s.Index, true)
}

// fail stops the replica's part in the log for good: see package walog on why
// a failed sync isn't tried again.
func (n *Node) fail(err error) {
	n.failed = true
	n.failAll(ErrUncertain)
	n.options.Logger.Error("disk failed; this replica stops", "error", err)
	n.options.OnDiskFailure(err)
}

func (n *Node) send(messages []*wire.PeerMessage) {
	byTarget := map[uint64][]*wire.PeerMessage{}
	for _, m := range messages {
		byTarget[m.To] = append(byTarget[m.To], m)
	}
	for _, member := range n.core.Members().GetMembers() {
		if batch := byTarget[member.ReplicaId]; len(batch) > 0 {
			n.options.Send(member, batch)
			delete(byTarget, member.ReplicaId)
		}
	}
	for id, batch := range byTarget {
		if member := n.options.Lookup(id); member != nil {
			n.options.Send(member, batch)
		}
	}
}

func (n *Node) install(s *wire.Snapshot) {
	if err := n.machine.Load(s.State); err != nil {
		n.fail(err)
		return
	}
	n.appliedTo, n.appliedIn = s.Index, s.Term
	n.options.Logger.Info("state replaced by the leader's snapshot", "index", s.Index)
}

func (n *Node) apply(r *wire.LogRecord) {
	var result state.Result
	if r.Command != nil {
		result = n.machine.Apply(r.Command)
	}
	n.appliedTo, n.appliedIn = r.Index, r.Term
	commitsTotal.Inc()
	w, ok := n.waiters[r.Index]
	if !ok {
		return
	}
	delete(n.waiters, r.Index)
	if w.term != r.Term {
		w.done(state.Result{}, ErrUncertain) // another leader's record took the place
		return
	}
	w.done(result, nil)
}

func (n *Node) startReads() {
	if len(n.freshRead) == 0 {
		return
	}
	fresh := n.freshRead
	n.freshRead = nil
	status := n.core.Status()
	if n.role != quorum.Leader || n.appliedIn != status.Term {
		for _, done := range fresh {
			done(ErrNotLeader)
		}
		return
	}
	round := n.core.Heartbeat()
	for _, done := range fresh {
		n.reads = append(n.reads, read{round, status.Commit, done})
	}
}

func (n *Node) answerReads() {
	status := n.core.Status()
	kept := n.reads[:0]
	for _, r := range n.reads {
		switch {
		case status.Role != quorum.Leader:
			r.done(ErrNotLeader)
		case status.ConfirmedRound >= r.round && n.appliedTo >= r.index:
			r.done(nil)
		default:
			kept = append(kept, r)
		}
	}
	n.reads = kept
}

// noteRounds keeps when each round was sent until a quorum has answered it.
//
// A round is noted once, in the turn that sent it. If one that was confirmed
// were noted again, with the time of a later turn, a leader would renew its own
// right to lead without asking anyone: after a suspension it would answer reads
// from before it, and send orders beside the next leader.
func (n *Node) noteRounds() {
	status := n.core.Status()
	if status.Role != quorum.Leader || status.TransferringLeadership {
		n.right.Store(nil)
	}
	if status.Role != quorum.Leader {
		n.rounds, n.confirmed = nil, time.Time{}
		return
	}
	if status.Round > n.noted {
		n.noted = status.Round
		n.rounds = append(n.rounds, sentRound{status.Round, n.turnBegan, n.bootBegan})
	}
	for len(n.rounds) > 0 && n.rounds[0].round <= status.ConfirmedRound {
		n.confirmed = n.rounds[0].at
		if !status.TransferringLeadership {
			n.right.Store(&leadRight{term: status.Term, at: n.rounds[0].boot})
		}
		n.rounds = n.rounds[1:]
	}
}

func (n *Node) noteRole() {
	status := n.core.Status()
	if status.Role == n.role {
		return
	}
	leaderChanges.Inc()
	n.options.Logger.Info("role changed", "from", n.role.String(), "to", status.Role.String(), "term", status.Term)
	if status.Role == quorum.Leader {
		n.leaderAt = n.options.Clock.Now()
	}
	if n.role == quorum.Leader {
		n.failAll(ErrUncertain)
	}
	n.role = status.Role
}

func (n *Node) failAll(err error) {
	waiters, reads := n.waiters, n.reads
	n.waiters, n.reads = map[uint64]waiter{}, nil
	for _, w := range waiters {
		w.done(state.Result{}, err)
	}
	for _, r := range reads {
		r.done(ErrNotLeader)
	}
}

// maybeSnapshot saves the state once enough records have gathered. The state
// is serialized on the loop and written beside it.
func (n *Node) maybeSnapshot() {
	status := n.core.Status()
	if n.saving || n.failed || n.appliedTo < status.FirstIndex || n.appliedTo-status.FirstIndex+1 < n.options.SnapshotThreshold {
		return
	}
	data, err := n.machine.Save()
	if err != nil {
		n.fail(err)
		return
	}
	s := &wire.Snapshot{
		Index: n.appliedTo, Term: n.appliedIn, State: data,
		Membership: proto.Clone(n.core.MembersAt(n.appliedTo)).(*wire.Membership),
	}
	n.saving = true
	n.writes.Go(func() {
		n.snapshotFile.Lock()
		err := n.log.WriteSnapshot(s)
		n.snapshotFile.Unlock()
		n.Post(func() { n.snapshotWritten(s, err) })
	})
}

func (n *Node) snapshotWritten(s *wire.Snapshot, err error) {
	n.saving = false
	if n.failed {
		return
	}
	if err != nil {
		n.fail(err)
		return
	}
	snapshotsTotal.Inc()
	if s.Index <= n.core.Status().FirstIndex-1 {
		return
	}
	n.core.Compact(s)
	n.covered = s.Index
	n.dropCovered()
}
