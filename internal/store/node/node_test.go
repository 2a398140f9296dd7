// This file defines the tests and benchmarks of a replica that writes to disk.

package node_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/node"
	"sycamoredeck.example/internal/store/state"
	"sycamoredeck.example/internal/store/walog"
)

// testReplica is the only member of its cluster. It writes to a real folder.
type testReplica struct {
	node   *node.Node
	log    *walog.Log
	failed chan error
}

func start(t testing.TB, folder string, options walog.Options) *testReplica {
	t.Helper()
	return startMachine(t, folder, options, state.New(state.Options{}))
}

func startMachine(t testing.TB, folder string, options walog.Options, machine *state.Machine) *testReplica {
	t.Helper()
	log, durable, err := walog.Open(folder, options)
	assert.NilError(t, err)
	if durable.Snapshot == nil {
		durable.Snapshot = &wire.Snapshot{Membership: &wire.Membership{
			ClusterId: 9, Members: []*wire.ControlMember{{ReplicaId: 1, Voter: true}},
		}}
		assert.NilError(t, log.WriteSnapshot(durable.Snapshot))
	}
	r := &testReplica{log: log, failed: make(chan error, 1)}
	r.node, err = node.New(node.Options{
		ID: 1, HeartbeatInterval: 10 * time.Millisecond, ElectionTimeout: 20 * time.Millisecond,
		SnapshotThreshold: 20000, Clock: clockwork.NewRealClock(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Send:          func(*wire.ControlMember, []*wire.PeerMessage) {},
		Lookup:        func(uint64) *wire.ControlMember { return nil },
		OnDiskFailure: func(err error) { r.failed <- err },
	}, log, durable, machine)
	assert.NilError(t, err)
	go r.node.Run()
	r.waitForLeader(t)
	return r
}

func (r *testReplica) waitForLeader(t testing.TB) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Millisecond) {
		ok := false
		assert.NilError(t, r.node.Do(context.Background(), func() { _, ok = r.node.IsLeader() }))
		if ok {
			return
		}
	}
	t.Fatal("replica did not become leader")
}

func (r *testReplica) stop(t testing.TB) {
	t.Helper()
	r.node.Stop()
	assert.NilError(t, r.log.Close())
}

// Guards against a replica that stops when its disk is full, or that acknowledges a change
// which isn't on disk.
func TestWritesAreRetriedOnFullDisk(t *testing.T) {
	var full atomic.Bool
	r := start(t, t.TempDir(), walog.Options{Write: func(f *os.File, data []byte) (int, error) {
		if full.Load() {
			return 0, syscall.ENOSPC
		}
		return f.Write(data)
	}})
	r.commit(t, 0, 10)
	full.Store(true)
	done := make(chan error, 1)
	go func() {
		_, err := r.node.Commit(context.Background(), openDispatchCommand(10))
		done <- err
	}()
	// The event loop must stay responsive.
	for range 20 {
		assert.NilError(t, r.node.Do(context.Background(), func() {}))
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, len(done), 0, "a failed write was acknowledged")
	full.Store(false)
	assert.NilError(t, <-done)
	assert.Assert(t, r.hasDispatch(t, 10))
	assert.Equal(t, len(r.failed), 0)
	r.stop(t)
}

func openDispatchCommand(i int) *wire.Command {
	return &wire.Command{Body: &wire.Command_OpenDispatch{OpenDispatch: &wire.DispatchRecord{
		ClientAccount: "account", RequestId: fmt.Sprintf("request-%08d", i), EntryId: "entry-1", Nonce: fmt.Sprintf("%036d", i),
	}}}
}

// commit commits the changes from, ..., to-1, up to 64 at a time.
func (r *testReplica) commit(t testing.TB, from, to int) {
	t.Helper()
	var group sync.WaitGroup
	next := make(chan int)
	for range 64 {
		group.Go(func() {
			for i := range next {
				_, err := r.node.Commit(context.Background(), openDispatchCommand(i))
				assert.Check(t, err)
			}
		})
	}
	for i := from; i < to; i++ {
		next <- i
	}
	close(next)
	group.Wait()
}

func (r *testReplica) hasDispatch(t testing.TB, i int) bool {
	t.Helper()
	found := false
	assert.NilError(t, r.node.Read(context.Background(), func() {
		found = r.node.Machine().Dispatch("account", fmt.Sprintf("request-%08d", i)) != nil
	}))
	return found
}

// Guards against the loss of acknowledged changes after a restart, also across snapshots.
func TestRestartKeepsAcknowledgedChanges(t *testing.T) {
	folder := t.TempDir()
	const changes = 45000
	r := start(t, folder, walog.Options{})
	r.commit(t, 0, changes)
	r.stop(t)
	r = start(t, folder, walog.Options{})
	defer r.stop(t)
	for i := 0; i < changes; i += 997 {
		assert.Assert(t, r.hasDispatch(t, i), "change %d was lost", i)
	}
	assert.Assert(t, r.hasDispatch(t, changes-1))
}

// Guards against acknowledging changes after a failed sync, even if a later sync succeeds.
func TestDiskFailureStopsReplica(t *testing.T) {
	var mu sync.Mutex
	broken := false
	diskErr := errors.New("input/output error")
	r := start(t, t.TempDir(), walog.Options{Sync: func(f *os.File) error {
		mu.Lock()
		defer mu.Unlock()
		if broken {
			return diskErr
		}
		return f.Sync()
	}})
	r.commit(t, 0, 10)
	mu.Lock()
	broken = true
	mu.Unlock()
	_, err := r.node.Commit(context.Background(), openDispatchCommand(10))
	assert.ErrorIs(t, err, node.ErrUncertain)
	assert.ErrorIs(t, <-r.failed, diskErr)
	mu.Lock()
	broken = false
	mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = r.node.Commit(ctx, openDispatchCommand(11))
	assert.Assert(t, err != nil, "a change was acknowledged after a disk failure")
}

// Guards against an event loop that blocks during syncs, and against acknowledging a change
// before its sync is done.
func TestEventLoopRunsDuringSync(t *testing.T) {
	var slow atomic.Bool
	begun, release := make(chan struct{}, 1), make(chan struct{})
	r := start(t, t.TempDir(), walog.Options{Sync: func(f *os.File) error {
		if slow.Load() {
			select {
			case begun <- struct{}{}:
			default:
			}
			<-release
		}
		return f.Sync()
	}})
	defer r.stop(t)
	slow.Store(true)
	committed := make(chan error, 1)
	go func() {
		_, err := r.node.Commit(context.Background(), openDispatchCommand(0))
		committed <- err
	}()
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	applied := true
	assert.NilError(t, r.node.Do(ctx, func() { applied = r.node.Machine().Dispatch("account", "request-00000000") != nil }))
	assert.Assert(t, !applied, "a change was applied before it was on disk")
	select {
	case <-committed:
		t.Fatal("a change was acknowledged before it was on disk")
	default:
	}
	slow.Store(false)
	close(release)
	assert.NilError(t, <-committed)
}

func folderSize(t testing.TB, folder string) int64 {
	t.Helper()
	var size int64
	assert.NilError(t, filepath.WalkDir(folder, func(_ string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			var info fs.FileInfo
			if info, err = d.Info(); err == nil {
				size += info.Size()
			}
		}
		if errors.Is(err, fs.ErrNotExist) {
			return nil // removed meanwhile
		}
		return err
	}))
	return size
}

// BenchmarkRestart measures the time from opening the folder to leading again, and the size
// of the folder, after a number of changes.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) {
			folder := b.TempDir()
			r := start(b, folder, walog.Options{})
			r.commit(b, 0, n)
			r.stop(b)
			for b.Loop() {
				r = start(b, folder, walog.Options{})
				b.StopTimer()
				r.stop(b)
				b.StartTimer()
			}
			b.ReportMetric(float64(folderSize(b, folder)), "bytes")
		})
	}
}

// BenchmarkCommit measures the time per synced change with 64 changes in flight.
func BenchmarkCommit(b *testing.B) {
	r := start(b, b.TempDir(), walog.Options{})
	defer r.stop(b)
	b.ResetTimer()
	r.commit(b, 0, b.N)
}

// Guards against a command that is proposed though the state at its proposal forbids it.
func TestCommitFrom(t *testing.T) {
	r := start(t, t.TempDir(), walog.Options{})
	_, err := r.node.CommitFrom(t.Context(), func() (*wire.Command, func(error)) { return nil, nil })
	assert.ErrorIs(t, err, node.ErrNothingProposed)
	_, err = r.node.CommitFrom(t.Context(), func() (*wire.Command, func(error)) { return openDispatchCommand(1), nil })
	assert.NilError(t, err)
	assert.Assert(t, r.hasDispatch(t, 1))
	r.stop(t)
}

// Guards against a submission that is accepted after its caller has left and was refused elsewhere.
func TestNothingIsProposedForCallersWhoLeft(t *testing.T) {
	r := start(t, t.TempDir(), walog.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	built := false
	_, err := r.node.CommitFrom(ctx, func() (*wire.Command, func(error)) { built = true; return openDispatchCommand(1), nil })
	assert.ErrorIs(t, err, node.ErrUncertain)
	assert.NilError(t, r.node.Do(t.Context(), func() {}))
	assert.Assert(t, !built)
	r.stop(t)
}
