// This file defines one iteration of the event loop: persist, send, apply, respond.

package node

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/quorum"
	"sycamoredeck.example/internal/store/state"
	"sycamoredeck.example/internal/store/walog"
)

// maxReadyPerIteration limits the calls of processReady in one iteration, since its work may
// make more ready.
const maxReadyPerIteration = 4

const (
	// persistTimeDecay divides the longest time of a recent write to disk to give by how much
	// it shrinks with each write.
	persistTimeDecay = 16
	// hangFactor is the multiple of the time of recent writes after which a write hangs.
	hangFactor = 2
	// writesPerElection are the writes that an election takes one after the other: the vote of the
	// candidate, a write in progress at a voter, and its vote.
	writesPerElection = 3
	// maxVoteTimeouts limits the time that votes are waited for, in election timeouts. A disk that
	// is slower counts as failed.
	maxVoteTimeouts = 4
)

func (n *Node) runIteration() {
	n.updateRoom()
	n.appendProposals()
	n.startReadIndex()
	for range maxReadyPerIteration {
		if !n.processReady() {
			break
		}
	}
	n.recordRounds()
	n.updateRole()
	n.recordRestart()
	n.recordOutages()
	n.proposeStateVersion()
	n.completeReads()
	n.completeAppliedReads()
	n.maybeSnapshot()
	if n.options.AfterIteration != nil && !n.failed {
		n.options.AfterIteration(n.options.Clock.Now())
	}
	if len(n.proposals) > 0 {
		// AfterIteration proposed them. Wake the loop so that they don't wait for the next tick.
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

// processReady applies committed entries, and persists and sends what the log has ready. It
// returns false if there was nothing to do or a write to disk was started.
//
// Append messages are sent while an earlier Ready is still being persisted, which reduces
// the latency of a commit. They stop once that takes too long: a leader whose disk hangs must
// not keep its followers from electing another one.
func (n *Node) processReady() bool {
	n.withdrawLease()
	n.send(n.core.NextPrompt())
	committed := n.core.NextCommittedEntries()
	for _, r := range committed {
		n.applyEntry(r)
	}
	if n.persisting {
		if n.options.BootTime()-n.persistStart < n.persistLimit() || n.log.Full() && !n.core.OthersHaveRoom() {
			n.send(n.core.NextAppends())
		}
		return len(committed) > 0
	}
	ready := n.core.Ready
	if n.interrupted && n.core.VotePending() {
		ready = n.core.ReadyWithoutEntries
	}
	n.interrupted = false
	rd := ready()
	n.send(rd.Appends)
	if rd.Vote == nil && rd.Snapshot == nil && len(rd.Entries) == 0 {
		n.readyPersisted(rd)
		return len(rd.Appends)+len(rd.Messages)+len(committed) > 0
	}
	interrupted := false
	n.persistAsync(func() error {
		err := n.persistReady(rd)
		if interrupted = errors.Is(err, walog.ErrInterrupted); interrupted {
			return nil
		}
		return err
	}, func() {
		if n.interrupted = interrupted; interrupted {
			rd = n.core.AppendInterrupted(rd)
		}
		n.readyPersisted(rd)
	})
	return false
}

// readyPersisted completes a Ready after it has been written to disk.
func (n *Node) readyPersisted(rd quorum.Ready) {
	n.core.Synced(rd)
	n.send(rd.Messages)
	if rd.Snapshot != nil {
		n.restoreSnapshot(rd.Snapshot)
	}
}

// persistAsync runs job, which writes to disk, on another goroutine, and then done on the
// event loop. At most one job runs at a time. Waiting for each sync on the event loop would
// block it most of the time under load.
func (n *Node) persistAsync(job func() error, done func()) {
	n.persisting, n.persistStart = true, n.options.BootTime()
	n.writers.Go(func() {
		err := job()
		n.Post(func() {
			n.persisting = false
			n.recentPersistTime = max(n.options.BootTime()-n.persistStart, n.recentPersistTime-n.recentPersistTime/persistTimeDecay)
			switch {
			case n.failed:
			case err != nil:
				n.fail(err)
			default:
				done()
				n.compactLog()
			}
		})
	})
}

// persistLimit returns the time after which a write to disk hangs, compared with recent ones.
func (n *Node) persistLimit() time.Duration {
	return min(max(n.options.HeartbeatInterval, hangFactor*n.recentPersistTime), n.options.ElectionTimeout)
}

// estimateVoteTicks returns the number of ticks that the votes of an election take if all disks
// are as slow as this one.
func (n *Node) estimateVoteTicks() int {
	persist := n.recentPersistTime
	if n.persisting {
		persist = max(persist, n.options.BootTime()-n.persistStart)
	}
	estimate := min(writesPerElection*persist, maxVoteTimeouts*n.options.ElectionTimeout)
	return int(estimate * ticksPerHeartbeat / n.options.HeartbeatInterval)
}

// compactLog removes the log segments that a snapshot covers once no write is in progress.
func (n *Node) compactLog() {
	if n.compactIndex == 0 || n.persisting {
		return
	}
	index := n.compactIndex
	n.compactIndex = 0
	n.persistAsync(func() error { return n.log.Compact(index, false) }, func() {})
}

// persistReady writes a Ready to disk. It doesn't run on the event loop.
func (n *Node) persistReady(rd quorum.Ready) error {
	if rd.Vote != nil {
		if err := n.log.SaveVote(rd.Vote); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil {
		if err := n.persistSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if len(rd.Entries) == 0 {
		return nil
	}
	began := time.Now()
	err := n.log.Append(rd.Entries)
	n.log.Reserve(n.reserve.Load())
	syncSeconds.UpdateDuration(began)
	syncsTotal.Inc()
	return err
}

func (n *Node) persistSnapshot(s *wire.Snapshot) error {
	n.snapshotMu.Lock() // a local snapshot may be in progress
	defer n.snapshotMu.Unlock()
	if err := n.log.WriteSnapshot(s); err != nil {
		return err
	}
	return n.log.Compact(s.Index, true)
}

// fail stops this replica's participation for good. A failed sync must not be retried: see
// package walog.
func (n *Node) fail(err error) {
	n.failed = true
	n.failPending(ErrUncertain)
	n.options.Logger.Error("disk failed, stopping replica", "error", err)
	n.options.OnDiskFailure(err)
}

func (n *Node) send(messages []*wire.PeerMessage) {
	byTarget := map[uint64][]*wire.PeerMessage{}
	for _, m := range messages {
		byTarget[m.To] = append(byTarget[m.To], m)
	}
	for _, m := range n.core.Members().GetMembers() {
		if batch := byTarget[m.ReplicaId]; len(batch) > 0 {
			n.options.Send(m, batch)
			delete(byTarget, m.ReplicaId)
		}
	}
	for id, b := range byTarget {
		if member := n.options.Lookup(id); member != nil {
			n.options.Send(member, b)
		}
	}
}

func (n *Node) restoreSnapshot(s *wire.Snapshot) {
	if err := n.machine.Load(s.State); err != nil {
		n.fail(err)
		return
	}
	n.appliedIndex, n.appliedTerm = s.Index, s.Term
	n.countSnapshot(len(s.State))
	n.options.Logger.Info("state restored from leader snapshot", "index", s.Index)
}

func (n *Node) applyEntry(r *wire.LogRecord) {
	var result state.Result
	if r.Command != nil {
		result = n.applyCommand(r)
	}
	n.appliedIndex, n.appliedTerm = r.Index, r.Term
	n.countApplied(r, proto.Size(r))
	entriesAppliedTotal.Inc()
	w, ok := n.waiters[r.Index]
	if !ok {
		return
	}
	delete(n.waiters, r.Index)
	if w.term != r.Term {
		w.done(state.Result{}, ErrUncertain) // overwritten by another leader's entry
		return
	}
	w.done(result, nil)
}

// applyCommand applies the command of a record. A panic ends the process, since it isn't known what was
// changed before, and names the record: the process would end there again at each start.
func (n *Node) applyCommand(r *wire.LogRecord) state.Result {
	defer func() {
		if cause := recover(); cause != nil {
			panic(fmt.Sprintf("applying record %d of term %d, %s: %v", r.Index, r.Term, describeCommand(r.Command), cause))
		}
	}()
	return n.machine.Apply(r.Command)
}

// describeCommand returns the type of a command, without its content.
func describeCommand(c *wire.Command) string {
	if work := c.GetWork(); work != nil {
		return fmt.Sprintf("%T", work.Body)
	}
	return fmt.Sprintf("%T", c.GetBody())
}

// startReadIndex assigns new reads to a heartbeat round and the current commit index.
func (n *Node) startReadIndex() {
	if len(n.newReads) == 0 {
		return
	}
	fresh := n.newReads
	n.newReads = nil
	status := n.core.Status()
	if n.role != quorum.Leader || n.appliedTerm != status.Term {
		for _, f := range fresh {
			f(ErrNotLeader)
		}
		return
	}
	round := n.core.Heartbeat()
	for _, f := range fresh {
		n.reads = append(n.reads, pendingRead{round, status.Commit, f})
	}
}

// completeReads runs the reads whose round is confirmed and whose index is applied.
func (n *Node) completeReads() {
	status := n.core.Status()
	kept := n.reads[:0]
	for _, r := range n.reads {
		switch {
		case status.Role != quorum.Leader:
			r.done(ErrNotLeader)
		case status.ConfirmedRound >= r.round && n.appliedIndex >= r.index:
			r.done(nil)
		default:
			kept = append(kept, r)
		}
	}
	n.reads = kept
}

// completeAppliedReads runs the reads whose index is applied.
func (n *Node) completeAppliedReads() {
	n.appliedReads = slices.DeleteFunc(n.appliedReads, func(r appliedRead) bool {
		ready := n.appliedIndex >= r.index
		if ready {
			r.done()
		}
		return ready
	})
}

// recordRounds tracks when each heartbeat round was sent, and renews the leader lease with
// the send time of the latest round that a quorum has acknowledged.
//
// Each round is recorded once, in the iteration that sent it. If a confirmed round were
// recorded again with a later time, a leader resuming from suspension would renew its lease
// without contacting anyone.
func (n *Node) recordRounds() {
	status := n.core.Status()
	if status.Role != quorum.Leader || status.TransferringLeadership {
		n.confirmedLease = nil
	}
	n.withdrawLease()
	if status.Role != quorum.Leader {
		n.unconfirmedRounds, n.confirmedAt = nil, time.Time{}
		return
	}
	if status.Round > n.lastRecordedRound {
		n.lastRecordedRound = status.Round
		n.unconfirmedRounds = append(n.unconfirmedRounds, sentRound{status.Round, n.iterationStart, n.iterationBootTime})
	}
	for len(n.unconfirmedRounds) > 0 && n.unconfirmedRounds[0].round <= status.ConfirmedRound {
		n.confirmedAt = n.unconfirmedRounds[0].sentAt
		if !status.TransferringLeadership {
			n.confirmedLease = &leaderLease{term: status.Term, confirmedAt: n.unconfirmedRounds[0].sentBootTime}
		}
		n.unconfirmedRounds = n.unconfirmedRounds[1:]
	}
	if n.confirmedLease != nil && n.confirmedLease.term == status.Term && n.core.MayHoldLease() {
		n.leaderLease.Store(n.confirmedLease)
	}
}

// withdrawLease ends the leader lease if this replica may not hold one. It is called before
// anything is sent: after a message that tells of a transfer or of the leader's own removal,
// another replica may be elected within the time of the lease.
func (n *Node) withdrawLease() {
	if !n.core.MayHoldLease() {
		n.leaderLease.Store(nil)
	}
}

func (n *Node) updateRole() {
	status := n.core.Status()
	if status.Role == n.role {
		return
	}
	roleChangesTotal.Inc()
	n.options.Logger.Info("role changed", "from", n.role.String(), "to", status.Role.String(), "term", status.Term)
	if status.Role == quorum.Leader {
		n.leaderSince = n.options.Clock.Now()
	}
	if n.role == quorum.Leader {
		n.failPending(ErrUncertain)
	}
	n.role = status.Role
}

// recordRestart records how an election after a restart of all voters went.
func (n *Node) recordRestart() {
	status := n.core.Status()
	if status.RestartPhase == n.restartPhase {
		return
	}
	n.restartPhase = status.RestartPhase
	since := n.options.BootTime() - n.startedAt
	switch status.RestartPhase {
	case quorum.RestartElected:
		restartElectionsTotal.Inc()
		n.options.Logger.Info("elected without waiting, as all voters have restarted", "term", status.Term, "voters", status.RestartGrants, "since_start_ms", since.Milliseconds())
	case quorum.RestartExpired:
		restartElectionsExpiredTotal.Inc()
		n.options.Logger.Info("not all voters have restarted, standing for election as usual", "term", status.Term, "granted", status.RestartGrants, "since_start_ms", since.Milliseconds())
	default:
	}
}

func (n *Node) failPending(err error) {
	waiters, reads := n.waiters, n.reads
	n.waiters, n.reads = map[uint64]waiter{}, nil
	for _, w := range waiters {
		w.done(state.Result{}, err)
	}
	for _, r := range reads {
		r.done(ErrNotLeader)
	}
}

// snapshotDue reports whether the entries applied since the last snapshot have reached the
// number or the size after which a new one is taken.
func (n *Node) snapshotDue() bool {
	first := n.core.Status().FirstIndex
	if n.appliedIndex < first {
		return false
	}
	return n.appliedIndex-first+1 >= n.options.SnapshotThreshold || n.lacksRoom() || n.appliedBytes >= max(n.options.SnapshotBytes, snapshotGrowth*n.snapshotBytes)
}

// maybeSnapshot takes a snapshot if one is due. The state is serialized on the event loop and
// written to disk on another goroutine.
func (n *Node) maybeSnapshot() {
	if n.savingSnapshot || n.failed || !n.snapshotDue() {
		return
	}
	data, err := n.machine.Save()
	if err != nil {
		n.fail(err)
		return
	}
	s := &wire.Snapshot{
		Index: n.appliedIndex, Term: n.appliedTerm, State: data,
		Membership: proto.Clone(n.core.MembersAt(n.appliedIndex)).(*wire.Membership),
	}
	n.savingSnapshot = true
	n.countSnapshot(len(data))
	n.writers.Go(func() {
		n.snapshotMu.Lock()
		err := n.log.WriteSnapshot(s)
		n.snapshotMu.Unlock()
		n.Post(func() { n.snapshotWritten(s, err) })
	})
}

func (n *Node) snapshotWritten(s *wire.Snapshot, err error) {
	n.savingSnapshot = false
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
	n.compactIndex = s.Index
	n.compactLog()
}
