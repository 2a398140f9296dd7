// This file defines the test of a leader that was suspended.

package node_test

import (
	"context"
	"io"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/node"
	"sycamoredeck.example/internal/store/state"
	"sycamoredeck.example/internal/store/walog"
)

const (
	heartbeat       = 10 * time.Millisecond
	electionTimeout = 100 * time.Millisecond
)

// trio is replica 1 of three. The test plays the other two: they agree to all
// that they are asked, as long as they answer.
type trio struct {
	node      *node.Node
	clock     *clockwork.FakeClock
	boot      atomic.Int64
	turns     atomic.Int64
	answering atomic.Bool
	sent      atomic.Int64 // messages
}

func startTrio(t *testing.T, options walog.Options) *trio {
	t.Helper()
	log, durable, err := walog.Open(t.TempDir(), options)
	assert.NilError(t, err)
	durable.Snapshot = &wire.Snapshot{Membership: &wire.Membership{ClusterId: 9, Members: []*wire.ControlMember{
		{ReplicaId: 1, Voter: true}, {ReplicaId: 2, Voter: true}, {ReplicaId: 3, Voter: true},
	}}}
	r := &trio{clock: clockwork.NewFakeClock()}
	r.answering.Store(true)
	r.node, err = node.New(node.Options{
		ID: 1, HeartbeatInterval: heartbeat, ElectionTimeout: electionTimeout, SnapshotThreshold: 20000,
		Clock: r.clock, BootTime: func() time.Duration { return time.Duration(r.boot.Load()) },
		Logger:         slog.New(slog.NewTextHandler(io.Discard, nil)),
		Send:           r.answer,
		Lookup:         func(uint64) *wire.ControlMember { return nil },
		AfterIteration: func(time.Time) { r.turns.Add(1) },
		OnDiskFailure:  func(err error) { t.Error(err) },
	}, log, durable, state.New(state.Options{}))
	assert.NilError(t, err)
	go r.node.Run()
	t.Cleanup(func() {
		r.node.Stop()
		assert.NilError(t, log.Close())
	})
	return r
}

// answer is what a replica says that holds all and agrees to all.
func (r *trio) answer(to *wire.ControlMember, messages []*wire.PeerMessage) {
	r.sent.Add(int64(len(messages)))
	if !r.answering.Load() {
		return
	}
	kinds := map[wire.PeerMessageKind]wire.PeerMessageKind{
		wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE: wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER,
		wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE:     wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE_ANSWER,
		wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND:   wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER,
	}
	var answers []*wire.PeerMessage
	for _, m := range messages {
		answers = append(answers, &wire.PeerMessage{
			Kind: kinds[m.Kind], From: to.ReplicaId, To: m.From, ClusterId: m.ClusterId, Term: m.Term,
			Index: m.Index + uint64(len(m.Records)), Round: m.Round,
		})
	}
	r.node.Step(answers)
}

// term returns the term in which the replica leads, once it does.
func (r *trio) term(t *testing.T) uint64 {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		term := uint64(0)
		assert.NilError(t, r.node.Do(context.Background(), func() {
			if _, leads := r.node.IsLeader(); leads {
				term = r.node.Core().Status().Term
			}
		}))
		if term != 0 && r.node.HoldsLeaderLease(term) {
			return term
		}
		r.advance(heartbeat / 2)
	}
	t.Fatal("the replica doesn't lead")
	return 0
}

// settle waits until all that was on its way has been dealt with, to the end of
// the turn that took it.
func (r *trio) settle(t *testing.T) {
	t.Helper()
	for end := r.turns.Load() + 2; r.turns.Load() < end; {
		assert.NilError(t, r.node.Do(context.Background(), func() {}))
	}
}

func (r *trio) advance(d time.Duration) {
	r.boot.Add(int64(d))
	r.clock.Advance(d)
}

// Symptom: a leader that was suspended for seconds answers reads from before
// that and sends orders beside the next leader, for 0.8 election timeouts after
// it wakes. Sequence: all its rounds are confirmed; it is suspended and another
// is elected; on waking it takes a message before its own next heartbeat is due.
// Cause: with no round waiting for answers, the turn noted the last round again
// as if it had been sent just now, and as it was confirmed long ago, the right
// to lead was renewed without asking anyone.
func TestSuspendedLeaderHasNoRightToLead(t *testing.T) {
	r := startTrio(t, walog.Options{})
	term := r.term(t)
	r.answering.Store(false)
	r.settle(t)
	r.boot.Add(int64(7 * time.Second)) // its own timers stand still meanwhile
	for range 3 {
		r.settle(t)
		var confirmed time.Duration
		assert.NilError(t, r.node.Do(context.Background(), func() {
			confirmed = r.clock.Since(r.node.LeadershipConfirmedAt())
		}))
		assert.Assert(t, !r.node.HoldsLeaderLease(term), "the right to lead was renewed, as of %v ago", confirmed)
	}
}

// The same cause by the clock that leases are granted by: silence of all others
// must make the confirmed moment older, whatever other turns there are.
func TestConfirmedMomentGrowsOldInSilence(t *testing.T) {
	r := startTrio(t, walog.Options{})
	r.term(t)
	r.answering.Store(false)
	r.settle(t)
	before := time.Time{}
	assert.NilError(t, r.node.Do(context.Background(), func() { before = r.node.LeadershipConfirmedAt() }))
	r.clock.Advance(heartbeat / 4) // less than a tick
	for range 3 {
		r.settle(t)
		after := time.Time{}
		assert.NilError(t, r.node.Do(context.Background(), func() { after = r.node.LeadershipConfirmedAt() }))
		assert.Assert(t, after.Equal(before), "confirmed %v later without an answer", after.Sub(before))
	}
}

// Symptom: nothing is committed for as long as a disk hangs. Sequence: the leader's
// disk hangs in mid-write. Cause, were it so: its heartbeats go on, since they don't
// need the disk, so that no other replica takes its place.
func TestLeaderWithAHangingDiskIsMissed(t *testing.T) {
	var hangs atomic.Bool
	begun, release := make(chan struct{}, 1), make(chan struct{})
	mend := sync.OnceFunc(func() {
		hangs.Store(false)
		close(release)
	})
	defer mend() // a replica stops only once its write has ended
	r := startTrio(t, walog.Options{Sync: func(f *os.File) error {
		if hangs.Load() {
			begun <- struct{}{}
			<-release
		}
		return f.Sync()
	}})
	r.term(t)
	r.settle(t)
	hangs.Store(true)
	r.node.Post(func() { r.node.Propose(dispatch(0), func(state.Result, error) {}) })
	<-begun
	r.advance(heartbeat)
	r.settle(t)
	before := r.sent.Load()
	for range 10 {
		r.advance(heartbeat / 2)
		r.settle(t)
	}
	assert.Equal(t, r.sent.Load(), before, "messages leave though the disk hangs")
	mend()
	for end := time.Now().Add(time.Minute); r.sent.Load() == before; {
		assert.Assert(t, time.Now().Before(end), "nothing leaves after the disk is back")
		r.advance(heartbeat)
		r.settle(t)
	}
}
