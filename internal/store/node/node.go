// This file defines Node, its event loop and its methods.

// Package node runs one control replica: it drives the replicated log with a clock, a disk
// and a transport, and applies committed log entries to the state machine.
//
// The event loop runs on one goroutine, which owns the log and the state machine; other
// goroutines access them through Do and Post. Disk writes run on a separate goroutine so
// that the loop stays responsive during a sync. Proposals that arrive during a sync are
// batched into the next one.
package node

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
	"sycamoredeck.example/internal/store/quorum"
	"sycamoredeck.example/internal/store/state"
	"sycamoredeck.example/internal/store/walog"
)

const (
	inboxCapacity = 8192
	// maxInboxPerIteration limits the functions run from the inbox in one loop iteration so
	// that ticks aren't delayed.
	maxInboxPerIteration = 4096
	ticksPerHeartbeat    = 2
	// leaderLeasePercent is the length of the leader lease as a percentage of the election
	// timeout. The rest allows for clock drift between replicas and for the time between
	// checking the lease and acting on it.
	leaderLeasePercent = 80
	// defaultSnapshotBytes is the default of Options.SnapshotBytes.
	defaultSnapshotBytes = 16 << 20
	// snapshotGrowth is the least size of the entries between two snapshots, in sizes of the
	// first. It bounds what a large state costs to write.
	snapshotGrowth = 2
)

// Errors returned by proposals and reads.
var (
	// ErrNotLeader is returned when this replica isn't the leader. Nothing was appended;
	// the caller may retry at the leader.
	ErrNotLeader = errors.New("node: this replica doesn't lead")
	// ErrUncertain is returned when the command was appended but leadership was lost before
	// it was committed. It may still be committed by the next leader.
	ErrUncertain = errors.New("node: leadership was lost before the commit")
	// ErrNothingProposed is returned when there was no command to propose.
	ErrNothingProposed = errors.New("node: nothing to propose")
	// ErrStopped is returned when the replica is stopping.
	ErrStopped = errors.New("node: stopped")
)

var (
	syncSeconds         = metrics.NewHistogram("sycamoredeck_log_sync_seconds")
	entriesAppliedTotal = metrics.NewCounter("sycamoredeck_log_records_applied_total")
	syncsTotal          = metrics.NewCounter("sycamoredeck_log_syncs_total")
	snapshotsTotal      = metrics.NewCounter("sycamoredeck_log_snapshots_total")
	roleChangesTotal    = metrics.NewCounter("sycamoredeck_log_role_changes_total")

	restartElectionsTotal        = metrics.NewCounter("sycamoredeck_log_restart_elections_total")
	restartElectionsExpiredTotal = metrics.NewCounter("sycamoredeck_log_restart_elections_expired_total")
)

type (
	// Options configures a Node and doesn't change during its life.
	Options struct {
		ID                uint64
		HeartbeatInterval time.Duration
		ElectionTimeout   time.Duration
		// SnapshotThreshold is the number of applied log entries since the last snapshot
		// after which a new one is taken.
		SnapshotThreshold uint64
		// SnapshotBytes is the same as the size of the entries, or twice the size of the last
		// snapshot if that is larger. Configurations may be thousands of times larger than
		// other entries. 16 MiB when 0.
		SnapshotBytes uint64
		// RestartElection is passed to the replicated log: see quorum.Options.
		RestartElection bool
		Clock           clockwork.Clock
		// BootTime returns the time since an arbitrary fixed moment, including time during
		// which the instance was suspended. boot.Now is used when nil.
		BootTime func() time.Duration
		Logger   *slog.Logger
		// Send passes messages to the transport. It must not block and may drop them.
		Send func(to *wire.ControlMember, messages []*wire.PeerMessage)
		// Lookup returns a replica that isn't in the local membership, or nil if it is
		// unknown. A replica that has just joined has an empty membership but must respond
		// to the leader.
		Lookup func(id uint64) *wire.ControlMember
		// AfterIteration is called on the event loop after each iteration, with the current
		// time.
		AfterIteration func(now time.Time)
		// OnDiskFailure is called once when the disk fails. The process must stop.
		OnDiskFailure func(error)
	}

	// waiter is the callback of a proposal that was appended in term and isn't applied yet.
	waiter struct {
		term uint64
		done func(state.Result, error)
	}

	proposal struct {
		command *wire.Command
		done    func(state.Result, error)
	}

	// pendingRead is a read that runs once round is confirmed and index is applied.
	pendingRead struct {
		round, index uint64
		done         func(error)
	}

	// appliedRead is a read that runs once index is applied.
	appliedRead struct {
		index uint64
		done  func()
	}

	// sentRound is a heartbeat round that no quorum has acknowledged yet.
	sentRound struct {
		round        uint64
		sentAt       time.Time
		sentBootTime time.Duration
	}

	// Node is one control replica. Its fields belong to the event loop unless noted.
	Node struct {
		options Options
		core    *quorum.Core
		log     *walog.Log
		machine *state.Machine

		inbox chan func()
		stop  chan struct{}
		done  chan struct{}

		proposals         []proposal
		waiters           map[uint64]waiter // by log index
		reads             []pendingRead
		newReads          []func(error) // not assigned to a heartbeat round yet
		appliedReads      []appliedRead
		unconfirmedRounds []sentRound
		lastRecordedRound uint64 // the highest round ever added to unconfirmedRounds
		confirmedAt       time.Time
		// confirmedLease is the lease of the last confirmed round. It is held while the
		// replicated log allows it.
		confirmedLease *leaderLease
		role           quorum.Role
		restartPhase   quorum.RestartPhase
		startedAt      time.Duration
		// leaderless lasts while no leader is known, leaseless while this replica leads without
		// a leader lease. outagesRecordedAt is when both were last updated.
		leaderless, leaseless outage
		outagesRecordedAt     time.Duration
		leaderSince           time.Time
		appliedIndex          uint64
		appliedTerm           uint64 // term of the entry at appliedIndex
		// iterationStart is read before the iteration sends anything and is the send time of
		// its heartbeat round. If the process is paused in mid-iteration, the leader lease
		// that the round confirms therefore starts too early rather than too late.
		iterationStart    time.Time
		iterationBootTime time.Duration
		// leaderLease is read by HoldsLeaderLease on any goroutine.
		leaderLease atomic.Pointer[leaderLease]
		// persisting is true while a Ready is written to disk, savingSnapshot while a local
		// snapshot is. snapshotMu guards the snapshot file.
		persisting, savingSnapshot bool
		persistStart               time.Duration
		// recentPersistTime is the longest time that a recent write to disk took.
		recentPersistTime time.Duration
		snapshotMu        sync.Mutex
		// appliedBytes is the size of the entries applied since the last snapshot, and
		// snapshotBytes the size of that.
		appliedBytes, snapshotBytes uint64
		room                        roomState
		// compactIndex is the index up to which log segments are due for removal, or 0.
		compactIndex uint64
		// interrupted is set after a write of entries ended for lack of room. reserve is the
		// size to reserve for the next snapshot.
		interrupted bool
		reserve     atomic.Int64
		writers     sync.WaitGroup
		failed      bool
		// proposedVersion is the latest StateVersion that this replica has proposed.
		proposedVersion uint32
	}
)

// New returns a replica that resumes from the durable state.
func New(options Options, log *walog.Log, durable *walog.DurableState, machine *state.Machine) (*Node, error) {
	if options.BootTime == nil {
		options.BootTime = boot.Now
	}
	if options.SnapshotBytes == 0 {
		options.SnapshotBytes = defaultSnapshotBytes
	}
	n := &Node{
		options: options, log: log, machine: machine,
		inbox: make(chan func(), inboxCapacity), stop: make(chan struct{}), done: make(chan struct{}),
		waiters: map[uint64]waiter{}, startedAt: options.BootTime(),
	}
	if s := durable.Snapshot; s != nil && len(s.State) > 0 {
		if err := machine.Load(s.State); err != nil {
			return nil, trace.Wrap(err, "snapshot at %d", s.Index)
		}
	}
	n.appliedIndex = durable.Snapshot.GetIndex()
	n.countSnapshot(len(durable.Snapshot.GetState()))
	n.room.refreshedAt = n.startedAt
	n.core = quorum.New(quorum.Options{
		ID:             options.ID,
		HeartbeatTicks: ticksPerHeartbeat,
		ElectionTicks:  int(ticksPerHeartbeat * options.ElectionTimeout / options.HeartbeatInterval),
		Random:         rand.IntN, RestartElection: options.RestartElection, StateVersion: graph.Version,
	}, quorum.DurableState{Vote: durable.Vote, Snapshot: durable.Snapshot, Entries: durable.Entries})
	return n, nil
}

// Run executes the event loop until Stop is called.
func (n *Node) Run() {
	defer close(n.done)
	ticker := n.options.Clock.NewTicker(n.options.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop:
			n.failPending(ErrStopped)
			return
		case <-ticker.Chan():
			n.startIteration()
			n.core.SetVoteTicks(n.estimateVoteTicks())
			n.core.Tick()
		case f := <-n.inbox:
			n.startIteration()
			f()
			n.drainInbox()
		}
		if n.failed {
			continue
		}
		n.runIteration()
	}
}

func (n *Node) startIteration() {
	n.iterationStart = n.options.Clock.Now()
	n.iterationBootTime = n.options.BootTime()
}

// Stop ends the event loop and waits for it and for disk writes in progress.
func (n *Node) Stop() {
	close(n.stop)
	<-n.done
	n.writers.Wait()
}

func (n *Node) drainInbox() {
	for range maxInboxPerIteration {
		select {
		case f := <-n.inbox:
			f()
		default:
			return
		}
	}
}

// Post schedules f to run on the event loop. It returns false if the replica is stopping.
func (n *Node) Post(f func()) bool {
	select {
	case n.inbox <- f:
		return true
	case <-n.done:
		return false
	}
}

// Do runs f on the event loop and waits until it has returned.
func (n *Node) Do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	if !n.Post(func() { f(); close(ran) }) {
		return ErrStopped
	}
	return n.wait(ctx, ran)
}

// wait waits until a function that was posted has run.
func (n *Node) wait(ctx context.Context, ran <-chan struct{}) error {
	select {
	case <-ran:
		return nil
	case <-n.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Propose appends a command to the replicated log. It must be called on the event loop,
// where done is called later with the result of applying the command. A caller's change for which
// there is no room fails at once with a NoRoomError.
func (n *Node) Propose(command *wire.Command, done func(state.Result, error)) {
	if n.role != quorum.Leader {
		done(state.Result{}, ErrNotLeader)
		return
	}
	if command.At == nil {
		command.At = timestamppb.New(n.options.Clock.Now())
	}
	release, err := n.admit(command)
	if err != nil {
		done(state.Result{}, err)
		return
	}
	n.proposals = append(n.proposals, proposal{command, func(r state.Result, err error) {
		release()
		done(r, err)
	}})
}

// Commit proposes a command and waits until it is applied. It must not be called on the
// event loop.
func (n *Node) Commit(ctx context.Context, command *wire.Command) (state.Result, error) {
	return n.CommitFrom(ctx, func() (*wire.Command, func(error)) { return command, nil })
}

// CommitFrom is like Commit for a command that build derives from the state, on the event
// loop. It returns ErrNothingProposed if build returns nil. The second result of build may be
// nil; it is called on the event loop when the proposal ends, with its error or that of the
// applied command, also if the caller has left by then.
func (n *Node) CommitFrom(ctx context.Context, build func() (*wire.Command, func(error))) (state.Result, error) {
	type outcome struct {
		result state.Result
		err    error
	}
	outcomes := make(chan outcome, 1)
	done := func(r state.Result, err error) { outcomes <- outcome{r, err} }
	propose := func() {
		if ctx.Err() != nil {
			done(state.Result{}, ErrUncertain) // the caller may have submitted it again since
			return
		}
		command, ended := build()
		if command == nil {
			done(state.Result{}, ErrNothingProposed)
			return
		}
		n.Propose(command, func(r state.Result, err error) {
			if ended != nil {
				ended(cmp.Or(err, r.Err))
			}
			done(r, err)
		})
	}
	if !n.Post(propose) {
		return state.Result{}, ErrStopped
	}
	select {
	case o := <-outcomes:
		return o.result, o.err
	case <-n.done:
		return state.Result{}, ErrUncertain
	case <-ctx.Done():
		return state.Result{}, ErrUncertain
	}
}

// Read runs f on the event loop as a linearizable read: after a quorum has confirmed this
// replica's leadership and everything committed before the call has been applied.
func (n *Node) Read(ctx context.Context, f func()) error {
	errs := make(chan error, 1)
	enqueue := func() {
		n.newReads = append(n.newReads, func(err error) {
			if err == nil {
				f()
			}
			errs <- err
		})
	}
	if !n.Post(enqueue) {
		return ErrStopped
	}
	select {
	case err := <-errs:
		return err
	case <-n.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AppliedIndex returns the index of the last applied log entry. It must be called on the
// event loop.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// ReadApplied runs f on the event loop once the log is applied up to index, on any replica.
func (n *Node) ReadApplied(ctx context.Context, index uint64, f func()) error {
	ran := make(chan struct{})
	enqueue := func() {
		n.appliedReads = append(n.appliedReads, appliedRead{index, func() { f(); close(ran) }})
	}
	if !n.Post(enqueue) {
		return ErrStopped
	}
	return n.wait(ctx, ran)
}

// Step passes messages from another replica to the replicated log.
func (n *Node) Step(messages []*wire.PeerMessage) {
	n.Post(func() {
		for _, m := range messages {
			n.core.Step(m)
		}
	})
}

// Core returns the replicated log. It may only be used on the event loop.
func (n *Node) Core() *quorum.Core { return n.core }

// Machine returns the state machine. It may only be used on the event loop.
func (n *Node) Machine() *state.Machine { return n.machine }

// IsLeader reports whether this replica is the leader and has applied every entry committed
// by earlier leaders, and since when it has been the leader. It must be called on the event
// loop.
func (n *Node) IsLeader() (time.Time, bool) {
	ready := n.role == quorum.Leader && n.appliedTerm == n.core.Status().Term
	return n.leaderSince, ready
}

// SinceLastResponse returns the time since a replica last responded to this leader. It must
// be called on the event loop.
func (n *Node) SinceLastResponse(id uint64) time.Duration {
	return time.Duration(n.core.TicksSinceResponse(id)) * n.options.HeartbeatInterval / ticksPerHeartbeat
}

// LeadershipConfirmedAt returns the latest moment at which this replica is known to have
// been the leader: the send time of the last heartbeat round that a quorum has
// acknowledged. It must be called on the event loop.
func (n *Node) LeadershipConfirmedAt() time.Time { return n.confirmedAt }

// leaderLease is a leadership that a quorum has confirmed.
type leaderLease struct {
	term        uint64
	confirmedAt time.Duration // on the clock of Options.BootTime
}

// HoldsLeaderLease reports whether this replica is certain to be the leader in the given
// term: a quorum has acknowledged a heartbeat round sent less than an election timeout ago,
// and grants no votes within that time. It may be called on any goroutine.
//
// The lease is measured on a clock that counts suspension. Otherwise an instance that was
// suspended for seconds would still consider its lease valid on waking, and would send
// orders concurrently with the next leader.
func (n *Node) HoldsLeaderLease(term uint64) bool {
	l := n.leaderLease.Load()
	limit := n.options.ElectionTimeout * leaderLeasePercent / 100
	return l != nil && l.term == term && n.options.BootTime()-l.confirmedAt < limit
}
