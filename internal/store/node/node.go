// This file defines Node, its loop and what may be asked of it.

// Package node runs one control replica: it drives the replicated log with a
// clock, a disk and a transport, and applies what is committed.
//
// One goroutine owns the log, the state and all that hangs on them. Others
// reach it through Do. Another one writes for it; while it syncs, requests gather,
// so that one sync commits them all, and the loop goes on with all else.
package node

import (
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
	"sycamoredeck.example/internal/store/quorum"
	"sycamoredeck.example/internal/store/state"
	"sycamoredeck.example/internal/store/walog"
)

const (
	inboxLength = 8192
	// maxDrain is how many requests one turn of the loop takes at most, so
	// that ticks are never starved.
	maxDrain = 4096
	// ticksPerHeartbeat makes the log's ticks finer than its heartbeats.
	ticksPerHeartbeat = 2
	// rightPercent of the election timeout is how long a confirmed round gives
	// the right to lead; the rest covers clocks that run at different rates
	// and the time between the check and the act.
	rightPercent = 80
)

// What a proposal or read can come to. Each layer above turns these into its
// own.
var (
	// ErrNotLeader: nothing was appended; ask the leader.
	ErrNotLeader = errors.New("node: this replica doesn't lead")
	// ErrUncertain: the command was appended but leadership was lost before
	// it was committed. It may still be.
	ErrUncertain = errors.New("node: leadership was lost before the commit")
	// ErrStopped: the replica is stopping.
	ErrStopped = errors.New("node: stopped")
)

var (
	syncSeconds    = metrics.NewHistogram("sycamoredeck_log_sync_seconds")
	commitsTotal   = metrics.NewCounter("sycamoredeck_log_records_applied_total")
	syncsTotal     = metrics.NewCounter("sycamoredeck_log_syncs_total")
	snapshotsTotal = metrics.NewCounter("sycamoredeck_log_snapshots_total")
	leaderChanges  = metrics.NewCounter("sycamoredeck_log_role_changes_total")
)

type (
	// Options are fixed for the life of a Node.
	Options struct {
		ID                uint64
		HeartbeatInterval time.Duration
		ElectionTimeout   time.Duration
		SnapshotThreshold uint64
		Clock             clockwork.Clock
		// Boot is a clock that also counts the time during which the instance
		// is suspended, from any fixed moment; package boot's when nil.
		BootTime func() time.Duration
		Logger   *slog.Logger
		// Send hands messages to the transport. It must not block and may
		// lose them.
		Send func(to *wire.ControlMember, messages []*wire.PeerMessage)
		// Lookup finds a replica that isn't in the membership known here; nil
		// when it is unknown. A replica that has just joined knows no
		// members, and must answer the leader all the same.
		Lookup func(id uint64) *wire.ControlMember
		// Turn is called on the loop after each turn, with the time.
		AfterIteration func(now time.Time)
		// Failed is called once when the disk fails. The process must stop.
		OnDiskFailure func(error)
	}

	waiter struct {
		term uint64
		done func(state.Result, error)
	}

	proposal struct {
		command *wire.Command
		done    func(state.Result, error)
	}

	read struct {
		round, index uint64
		done         func(error)
	}

	sentRound struct {
		round uint64
		at    time.Time
		boot  time.Duration
	}

	// Node is one running replica.
	Node struct {
		options Options
		core    *quorum.Core
		log     *walog.Log
		machine *state.Machine

		inbox chan func()
		quit  chan struct{}
		done  chan struct{}

		proposals []proposal
		waiters   map[uint64]waiter
		reads     []read
		freshRead []func(error)
		rounds    []sentRound
		noted     uint64 // the highest round that was ever in rounds
		confirmed time.Time
		role      quorum.Role
		leaderAt  time.Time
		appliedTo uint64
		appliedIn uint64 // term of the record last applied
		// turnBegan is taken before anything of the turn is sent. A round is
		// stamped with it, so that a freeze in mid-turn makes the leadership
		// that the round confirms look older than it is, never younger.
		turnBegan time.Time
		bootBegan time.Duration
		// right is what HoldsLeaderLease tells.
		right atomic.Pointer[leadRight]
		// writing tells that an output is being written, saving that a snapshot of our
		// own is; snapshotFile is held while the snapshot's file is.
		writing, saving bool
		writeBegan      time.Duration
		snapshotFile    sync.Mutex
		// covered is the position up to which segments are to be removed; 0 for none.
		covered uint64
		writes  sync.WaitGroup
		failed  bool
	}
)

// New returns a replica that resumes from what its folder held.
func New(options Options, log *walog.Log, durable *walog.DurableState, machine *state.Machine) (*Node, error) {
	if options.BootTime == nil {
		options.BootTime = boot.Now
	}
	n := &Node{
		options: options, log: log, machine: machine,
		inbox: make(chan func(), inboxLength), quit: make(chan struct{}), done: make(chan struct{}),
		waiters: map[uint64]waiter{},
	}
	if s := durable.Snapshot; s != nil && len(s.State) > 0 {
		if err := machine.Load(s.State); err != nil {
			return nil, trace.Wrap(err, "snapshot at %d", s.Index)
		}
	}
	n.appliedTo = durable.Snapshot.GetIndex()
	n.core = quorum.New(quorum.Options{
		ID:             options.ID,
		HeartbeatTicks: ticksPerHeartbeat,
		ElectionTicks:  int(ticksPerHeartbeat * options.ElectionTimeout / options.HeartbeatInterval),
		Random:         rand.IntN,
	}, quorum.DurableState{Vote: durable.Vote, Snapshot: durable.Snapshot, Entries: durable.Entries})
	return n, nil
}

// Run drives the replica until Stop.
func (n *Node) Run() {
	defer close(n.done)
	ticker := n.options.Clock.NewTicker(n.options.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-n.quit:
			n.failAll(ErrStopped)
			return
		case <-ticker.Chan():
			n.beginTurn()
			n.core.Tick()
		case f := <-n.inbox:
			n.beginTurn()
			f()
			n.drain()
		}
		if n.failed {
			continue
		}
		n.turn()
	}
}

func (n *Node) beginTurn() {
	n.turnBegan = n.options.Clock.Now()
	n.bootBegan = n.options.BootTime()
}

// Stop ends the loop and waits for it, and for what is being written.
func (n *Node) Stop() {
	close(n.quit)
	<-n.done
	n.writes.Wait()
}

func (n *Node) drain() {
	for range maxDrain {
		select {
		case f := <-n.inbox:
			f()
		default:
			return
		}
	}
}

// Post runs f on the loop some time later; false when the replica is stopping.
func (n *Node) Post(f func()) bool {
	select {
	case n.inbox <- f:
		return true
	case <-n.done:
		return false
	}
}

// Do runs f on the loop and waits until it has run.
func (n *Node) Do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	if !n.Post(func() { f(); close(ran) }) {
		return ErrStopped
	}
	select {
	case <-ran:
		return nil
	case <-n.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Propose has a command committed. It is called on the loop, and so is done, with what applying it came to.
func (n *Node) Propose(command *wire.Command, done func(state.Result, error)) {
	if n.role != quorum.Leader {
		done(state.Result{}, ErrNotLeader)
		return
	}
	if command.At == nil {
		command.At = timestamppb.New(n.options.Clock.Now())
	}
	n.proposals = append(n.proposals, proposal{command, done})
}

// Commit has a command committed and waits for it. It may be called from any
// goroutine but the loop's.
func (n *Node) Commit(ctx context.Context, command *wire.Command) (state.Result, error) {
	type answer struct {
		result state.Result
		err    error
	}
	answers := make(chan answer, 1)
	if !n.Post(func() { n.Propose(command, func(r state.Result, err error) { answers <- answer{r, err} }) }) {
		return state.Result{}, ErrStopped
	}
	select {
	case a := <-answers:
		return a.result, a.err
	case <-n.done:
		return state.Result{}, ErrUncertain
	case <-ctx.Done():
		return state.Result{}, ErrUncertain
	}
}

// Read runs f on the loop at a moment when the state holds all that was
// committed before Read was called, confirmed by a quorum.
func (n *Node) Read(ctx context.Context, f func()) error {
	answers := make(chan error, 1)
	ask := func() {
		n.freshRead = append(n.freshRead, func(err error) {
			if err == nil {
				f()
			}
			answers <- err
		})
	}
	if !n.Post(ask) {
		return ErrStopped
	}
	select {
	case err := <-answers:
		return err
	case <-n.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Step hands a message from another replica to the loop.
func (n *Node) Step(messages []*wire.PeerMessage) {
	n.Post(func() {
		for _, m := range messages {
			n.core.Step(m)
		}
	})
}

// Core gives the log to code that runs on the loop.
func (n *Node) Core() *quorum.Core { return n.core }

// Machine gives the state to code that runs on the loop.
func (n *Node) Machine() *state.Machine { return n.machine }

// Leads tells, on the loop, whether this replica leads and has applied all
// that earlier leaders committed, and since when it leads.
func (n *Node) IsLeader() (time.Time, bool) {
	ready := n.role == quorum.Leader && n.appliedIn == n.core.Status().Term
	return n.leaderAt, ready
}

// SinceLastResponse tells the leader, on the loop, how long ago a replica last answered.
func (n *Node) SinceLastResponse(id uint64) time.Duration {
	return time.Duration(n.core.TicksSinceResponse(id)) * n.options.HeartbeatInterval / ticksPerHeartbeat
}

// LeadershipConfirmedAt is, on the loop, the last moment at which this replica surely
// led: when the latest round began that a quorum has answered.
func (n *Node) LeadershipConfirmedAt() time.Time { return n.confirmed }

// leadRight is a leadership that a quorum confirmed.
type leadRight struct {
	term uint64
	at   time.Duration // by the boot clock
}

// HoldsLeaderLease tells, from any goroutine, whether this replica surely leads in
// the given term at this moment. A quorum has answered a round that began less
// than an election timeout ago, and gives no vote within that time.
//
// It is measured on a clock that counts suspension: an instance that was
// suspended for seconds would else believe on waking that its last round was
// answered just now, and send orders beside the next leader.
func (n *Node) HoldsLeaderLease(term uint64) bool {
	r := n.right.Load()
	limit := n.options.ElectionTimeout * rightPercent / 100
	return r != nil && r.term == term && n.options.BootTime()-r.at < limit
}
