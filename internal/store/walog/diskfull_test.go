// This file defines the tests of a full disk.

package walog_test

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/walog"
)

// limitedDisk has a limited amount of free space. A write that doesn't fit is done in part
// and fails with ENOSPC.
type limitedDisk struct {
	free         atomic.Int64
	failedWrites atomic.Int64
}

func (d *limitedDisk) write(file *os.File, data []byte) (int, error) {
	available := d.free.Load()
	if available >= int64(len(data)) {
		d.free.Add(-int64(len(data)))
		return file.Write(data)
	}
	n, err := file.Write(data[:available])
	if err != nil {
		return n, err
	}
	d.failedWrites.Add(1)
	return n, syscall.ENOSPC
}

func (d *limitedDisk) open(t *testing.T, folder string) *walog.Log {
	t.Helper()
	l, _, err := walog.Open(folder, walog.Options{SegmentSize: 512, Write: d.write, Logger: slog.New(slog.DiscardHandler)})
	assert.NilError(t, err)
	return l
}

// waitForFailedWrite waits until another write has failed.
func (d *limitedDisk) waitForFailedWrite(t *testing.T) {
	t.Helper()
	before := d.failedWrites.Load()
	for end := time.Now().Add(time.Minute); d.failedWrites.Load() == before; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no write failed")
	}
}

// Guards against stopping on a full disk, and against reading back part of a failed write,
// for failures at various positions of a batch.
func TestAppendIsRetriedOnFullDisk(t *testing.T) {
	const batch = 360 // bytes; the entries below are slightly larger
	for n := int64(0); n < batch; n += 7 {
		t.Run(fmt.Sprint(n, " bytes"), func(t *testing.T) {
			t.Parallel()
			folder, disk := t.TempDir(), &limitedDisk{}
			disk.free.Store(10000)
			l := disk.open(t, folder)
			assert.NilError(t, l.Append(testEntries(1, 3, 1)))
			disk.free.Store(n)
			done := make(chan error, 1)
			go func() { done <- l.Append(testEntries(4, 12, 2)) }()
			disk.waitForFailedWrite(t)
			assert.Equal(t, len(done), 0, "a failed write was acknowledged")
			disk.free.Store(10000)
			assert.NilError(t, <-done)
			assert.NilError(t, l.Append(testEntries(13, 14, 2)))
			assert.NilError(t, l.Close())
			reopened, d := open(t, folder)
			assertEntries(t, d.Entries, append(testEntries(1, 3, 1), testEntries(4, 14, 2)...))
			assert.NilError(t, reopened.Close())
		})
	}
}

// Guards against reading back unacknowledged entries after the process stops while it
// retries their write.
func TestFailedAppendIsGoneAfterRestart(t *testing.T) {
	folder, disk := t.TempDir(), &limitedDisk{}
	disk.free.Store(10000)
	l := disk.open(t, folder)
	assert.NilError(t, l.Append(testEntries(1, 3, 1)))
	disk.free.Store(100)
	done := make(chan error, 1)
	go func() { done <- l.Append(testEntries(4, 12, 2)) }()
	disk.waitForFailedWrite(t)
	l.AbortRetries()
	assert.ErrorIs(t, <-done, syscall.ENOSPC)
	assert.NilError(t, l.Close())
	reopened, d := open(t, folder)
	assertEntries(t, d.Entries, testEntries(1, 3, 1))
	assert.NilError(t, reopened.Close())
}

// Guards against losing a vote or a snapshot, or writing half of it, on a full disk.
func TestVoteAndSnapshotAreRetriedOnFullDisk(t *testing.T) {
	folder, disk := t.TempDir(), &limitedDisk{}
	disk.free.Store(10000)
	l := disk.open(t, folder)
	assert.NilError(t, l.SaveVote(&wire.Vote{Term: 3}))
	assert.NilError(t, l.WriteSnapshot(&wire.Snapshot{Index: 3, Term: 1}))
	for n, f := range map[string]func() error{
		"vote":     func() error { return l.SaveVote(&wire.Vote{Term: 4}) },
		"snapshot": func() error { return l.WriteSnapshot(&wire.Snapshot{Index: 5, Term: 2}) },
	} {
		t.Run(n, func(t *testing.T) {
			disk.free.Store(5)
			done := make(chan error, 1)
			go func() { done <- f() }()
			disk.waitForFailedWrite(t)
			disk.waitForFailedWrite(t)
			disk.free.Store(10000)
			assert.NilError(t, <-done)
			_, err := os.Stat(filepath.Join(folder, n+".new"))
			assert.Assert(t, os.IsNotExist(err))
		})
	}
	assert.NilError(t, l.Close())
	reopened, d := open(t, folder)
	assert.Equal(t, d.Vote.Term, uint64(4))
	assert.Equal(t, d.Snapshot.Index, uint64(5))
	assert.NilError(t, reopened.Close())
}

// Guards against a disk that stays full of segments which a snapshot covers: the write
// being retried must remove them, since no other can run.
func TestCompactionFreesSpaceOnFullDisk(t *testing.T) {
	folder, disk := t.TempDir(), &limitedDisk{}
	disk.free.Store(100000)
	l := disk.open(t, folder)
	for i := uint64(1); i <= 40; i += 4 {
		assert.NilError(t, l.Append(testEntries(i, i+3, 1)))
	}
	assert.NilError(t, l.WriteSnapshot(&wire.Snapshot{Index: 36, Term: 1}))
	before := len(segmentFiles(t, folder))
	disk.free.Store(0)
	done := make(chan error, 1)
	go func() { done <- l.Append(testEntries(41, 41, 1)) }()
	disk.waitForFailedWrite(t)
	disk.waitForFailedWrite(t)
	assert.Assert(t, len(segmentFiles(t, folder)) < before)
	disk.free.Store(100000)
	assert.NilError(t, <-done)
	assert.NilError(t, l.Close())
	reopened, d := open(t, folder)
	assertEntries(t, d.Entries, testEntries(37, 41, 1))
	assert.NilError(t, reopened.Close())
}

// Guards against retrying a failed sync because its cause was a full disk.
func TestFailedSyncIsNotRetriedOnFullDisk(t *testing.T) {
	fail := false
	l, _, err := walog.Open(t.TempDir(), walog.Options{Sync: func(f *os.File) error {
		if fail {
			return syscall.ENOSPC
		}
		return f.Sync()
	}})
	assert.NilError(t, err)
	assert.NilError(t, l.Append(testEntries(1, 3, 1)))
	fail = true
	assert.ErrorContains(t, l.Append(testEntries(4, 5, 1)), "sync")
	assert.ErrorContains(t, l.SaveVote(&wire.Vote{Term: 2}), "sync")
	assert.NilError(t, l.Close())
}
