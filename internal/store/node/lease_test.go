// This file defines the tests of the leader lease.

package node_test

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"strings"
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

// testCluster runs replica 1 of three. The test plays the other two, which grant every vote
// and acknowledge every append while responding is set.
type testCluster struct {
	node       *node.Node
	clock      *clockwork.FakeClock
	bootTime   atomic.Int64
	iterations atomic.Int64
	responding atomic.Bool
	// confirming is unset to make the others respond without confirming heartbeat rounds.
	confirming atomic.Bool
	log        lockedBuffer
	sent       atomic.Int64 // messages sent by replica 1
	// removals counts the messages that remove replica 1, removalsWithLease those sent while
	// it held the leader lease.
	removals, removalsWithLease atomic.Int64
}

func startCluster(t *testing.T, options walog.Options) *testCluster {
	t.Helper()
	log, durable, err := walog.Open(t.TempDir(), options)
	assert.NilError(t, err)
	durable.Snapshot = &wire.Snapshot{Membership: &wire.Membership{ClusterId: 9, Members: []*wire.ControlMember{
		{ReplicaId: 1, Voter: true}, {ReplicaId: 2, Voter: true}, {ReplicaId: 3, Voter: true},
	}}}
	c := &testCluster{clock: clockwork.NewFakeClock()}
	c.responding.Store(true)
	c.confirming.Store(true)
	c.node, err = node.New(node.Options{
		ID: 1, HeartbeatInterval: heartbeat, ElectionTimeout: electionTimeout, SnapshotThreshold: 20000,
		Clock: c.clock, BootTime: func() time.Duration { return time.Duration(c.bootTime.Load()) },
		Logger:         slog.New(slog.NewTextHandler(&c.log, nil)),
		Send:           c.respond,
		Lookup:         func(uint64) *wire.ControlMember { return nil },
		AfterIteration: func(time.Time) { c.iterations.Add(1) },
		OnDiskFailure:  func(err error) { t.Error(err) },
	}, log, durable, state.New(state.Options{}))
	assert.NilError(t, err)
	go c.node.Run()
	t.Cleanup(func() {
		c.node.Stop()
		assert.NilError(t, log.Close())
	})
	return c
}

// respond plays a replica that has every entry and accepts every message.
func (c *testCluster) respond(to *wire.ControlMember, messages []*wire.PeerMessage) {
	c.sent.Add(int64(len(messages)))
	c.countRemovals(messages)
	if !c.responding.Load() {
		return
	}
	kinds := map[wire.PeerMessageKind]wire.PeerMessageKind{
		wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE: wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER,
		wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE:     wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE_ANSWER,
		wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND:   wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER,
	}
	var responses []*wire.PeerMessage
	for _, m := range messages {
		round := m.Round
		if !c.confirming.Load() {
			round = 0
		}
		responses = append(responses, &wire.PeerMessage{
			Kind: kinds[m.Kind], From: to.ReplicaId, To: m.From, ClusterId: m.ClusterId, Term: m.Term,
			Index: m.Index + uint64(len(m.Records)), Round: round,
		})
	}
	c.node.Step(responses)
}

func (c *testCluster) countRemovals(messages []*wire.PeerMessage) {
	for _, m := range messages {
		for _, r := range m.Records {
			if r.Membership == nil {
				continue
			}
			c.removals.Add(1)
			if c.node.HoldsLeaderLease(m.Term) {
				c.removalsWithLease.Add(1)
			}
		}
	}
}

// waitForLease waits until the replica holds the leader lease and returns its term.
func (c *testCluster) waitForLease(t *testing.T) uint64 {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		term := uint64(0)
		assert.NilError(t, c.node.Do(context.Background(), func() {
			if _, ok := c.node.IsLeader(); ok {
				term = c.node.Core().Status().Term
			}
		}))
		if term != 0 && c.node.HoldsLeaderLease(term) {
			return term
		}
		c.waitWritten(t)
		c.advance(heartbeat / 2)
	}
	t.Fatal("replica did not become leader")
	return 0
}

// waitIdle waits until all messages sent so far have been handled, including the end of the
// iteration that took them from the inbox.
func (c *testCluster) waitIdle(t *testing.T) {
	t.Helper()
	for end := c.iterations.Load() + 2; c.iterations.Load() < end; {
		assert.NilError(t, c.node.Do(context.Background(), func() {}))
	}
}

// waitWritten waits until nothing is being written to disk, so that writes take no time by the
// test's clock.
func (c *testCluster) waitWritten(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !c.node.Idle(); time.Sleep(100 * time.Microsecond) {
		assert.Assert(t, time.Now().Before(end), "a write doesn't end")
	}
}

// lockedBuffer is a buffer for logs that several goroutines use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// tick advances the clock in steps of a tick, each of which is handled before the next.
func (c *testCluster) tick(t *testing.T, d time.Duration) {
	t.Helper()
	for ; d > 0; d -= heartbeat / 2 {
		c.waitWritten(t)
		c.advance(heartbeat / 2)
		c.waitIdle(t)
	}
}

// Guards against a leader that sends no orders for seconds without a trace: it commits, and no
// replica changes its role.
func TestMissingLeaseIsLogged(t *testing.T) {
	c := startCluster(t, walog.Options{})
	c.waitForLease(t)
	c.confirming.Store(false)
	c.tick(t, 3*electionTimeout)
	assert.Equal(t, strings.Count(c.log.String(), `msg="leader lease isn't confirmed"`), 1, "%s", c.log.String())
	c.confirming.Store(true)
	c.tick(t, electionTimeout)
	assert.Equal(t, strings.Count(c.log.String(), `msg="leader lease is confirmed again`), 1, "%s", c.log.String())
	assert.Equal(t, strings.Count(c.log.String(), `to=leader`), 1, "%s", c.log.String())
}

func (c *testCluster) advance(d time.Duration) {
	c.bootTime.Add(int64(d))
	c.clock.Advance(d)
}

// Guards against a leader that renews its lease on waking from suspension without
// contacting other replicas, and so acts concurrently with the next leader.
func TestSuspendedLeaderHoldsNoLease(t *testing.T) {
	c := startCluster(t, walog.Options{})
	term := c.waitForLease(t)
	c.responding.Store(false)
	c.waitIdle(t)
	c.bootTime.Add(int64(7 * time.Second)) // timers don't advance during suspension
	for range 3 {
		c.waitIdle(t)
		var confirmed time.Duration
		assert.NilError(t, c.node.Do(context.Background(), func() {
			confirmed = c.clock.Since(c.node.LeadershipConfirmedAt())
		}))
		assert.Assert(t, !c.node.HoldsLeaderLease(term), "leader lease was renewed, confirmed %v ago", confirmed)
	}
}

// Guards against a leader that still holds its lease when others learn that it has removed itself.
// They may elect another without its grant after a restart.
func TestLeaseEndsBeforeOwnRemovalIsSent(t *testing.T) {
	c := startCluster(t, walog.Options{})
	c.waitForLease(t)
	assert.NilError(t, c.node.Do(context.Background(), func() { assert.Check(t, c.node.Core().Remove(1)) }))
	c.waitIdle(t)
	assert.Assert(t, c.removals.Load() > 0)
	assert.Equal(t, c.removalsWithLease.Load(), int64(0))
}

// Guards against LeadershipConfirmedAt advancing in iterations in which no replica
// responded.
func TestConfirmedAtDoesNotAdvanceWithoutResponses(t *testing.T) {
	c := startCluster(t, walog.Options{})
	c.waitForLease(t)
	c.responding.Store(false)
	c.waitIdle(t)
	before := time.Time{}
	assert.NilError(t, c.node.Do(context.Background(), func() { before = c.node.LeadershipConfirmedAt() }))
	c.clock.Advance(heartbeat / 4) // less than a tick
	for range 3 {
		c.waitIdle(t)
		after := time.Time{}
		assert.NilError(t, c.node.Do(context.Background(), func() { after = c.node.LeadershipConfirmedAt() }))
		assert.Assert(t, after.Equal(before), "confirmed %v later without a response", after.Sub(before))
	}
}

// Guards against a leader whose disk hangs but whose heartbeats continue, which would keep
// other replicas from being elected while nothing is committed.
func TestLeaderWithHangingDiskSendsNothing(t *testing.T) {
	var hangs atomic.Bool
	begun, release := make(chan struct{}, 1), make(chan struct{})
	unblock := sync.OnceFunc(func() {
		hangs.Store(false)
		close(release)
	})
	defer unblock() // Stop waits for the write
	c := startCluster(t, walog.Options{Sync: func(f *os.File) error {
		if hangs.Load() {
			begun <- struct{}{}
			<-release
		}
		return f.Sync()
	}})
	c.waitForLease(t)
	c.waitIdle(t)
	hangs.Store(true)
	c.node.Post(func() { c.node.Propose(openDispatchCommand(0), func(state.Result, error) {}) })
	<-begun
	c.advance(heartbeat)
	c.waitIdle(t)
	before := c.sent.Load()
	for range 10 {
		c.advance(heartbeat / 2)
		c.waitIdle(t)
	}
	assert.Equal(t, c.sent.Load(), before, "messages were sent while the disk hung")
	unblock()
	for end := time.Now().Add(time.Minute); c.sent.Load() == before; {
		assert.Assert(t, time.Now().Before(end), "nothing was sent after the disk recovered")
		c.advance(heartbeat)
		c.waitIdle(t)
	}
}
