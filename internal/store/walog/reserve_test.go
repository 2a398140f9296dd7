// This file defines the tests of the room that is reserved.

package walog_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/walog"
)

// crowdedDisk has no free space while full is set: files can be overwritten and not extended.
type crowdedDisk struct{ full bool }

func (d *crowdedDisk) write(file *os.File, data []byte) (int, error) {
	info, err := file.Stat()
	if err != nil {
		return 0, err
	}
	at, err := file.Seek(0, 1)
	if err != nil {
		return 0, err
	}
	if d.full && at+int64(len(data)) > info.Size() {
		return 0, syscall.ENOSPC
	}
	return file.Write(data)
}

// finish fails the test if a function doesn't return soon.
func finish(t *testing.T, l *walog.Log, f func() error) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- f() }()
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		l.AbortRetries()
		t.Fatal("the write waits for room")
	}
}

// Guards against a replica that can neither vote nor free its log on a full disk.
func TestVoteAndSnapshotAreWrittenOnFullDisk(t *testing.T) {
	folder, disk := t.TempDir(), &crowdedDisk{}
	l, _, err := walog.Open(folder, walog.Options{SegmentSize: 512, Write: disk.write})
	assert.NilError(t, err)
	assert.NilError(t, l.SaveVote(&wire.Vote{Term: 3}))
	assert.NilError(t, l.WriteSnapshot(&wire.Snapshot{Index: 1, Term: 1, State: make([]byte, 4096)}))
	assert.NilError(t, l.Append(testEntries(2, 40, 1)))
	l.Reserve(6000)
	disk.full = true
	finish(t, l, func() error { return l.SaveVote(&wire.Vote{Term: 4}) })
	finish(t, l, func() error { return l.WriteSnapshot(&wire.Snapshot{Index: 40, Term: 1, State: make([]byte, 6000)}) })
	assert.NilError(t, l.Close())
	reopened, d := open(t, folder)
	defer reopened.Close()
	assert.Equal(t, d.Vote.Term, uint64(4))
	assert.Equal(t, d.Snapshot.Index, uint64(40))
	assert.Equal(t, len(d.Snapshot.State), 6000)
}

// Guards against a log in one segment that a full disk keeps although a snapshot covers it.
func TestLastSegmentIsFreedOnFullDisk(t *testing.T) {
	folder, disk := t.TempDir(), &limitedDisk{}
	disk.free.Store(1 << 20)
	l, _, err := walog.Open(folder, walog.Options{Write: disk.write})
	assert.NilError(t, err)
	assert.NilError(t, l.Append(testEntries(1, 40, 1)))
	assert.NilError(t, l.WriteSnapshot(&wire.Snapshot{Index: 40, Term: 1}))
	disk.free.Store(0)
	done := make(chan error, 1)
	go func() { done <- l.Append(testEntries(41, 42, 1)) }()
	disk.waitForFailedWrite(t)
	disk.waitForFailedWrite(t)
	assert.Equal(t, l.SegmentBytes(), int64(0))
	disk.free.Store(1 << 20)
	assert.NilError(t, <-done)
	assert.NilError(t, l.Close())
	reopened, d := open(t, folder)
	assertEntries(t, d.Entries, testEntries(41, 42, 1))
	assert.NilError(t, reopened.Close())
}

// Guards against entries of a few bytes that wait for room although some is reserved for them.
func TestSmallEntriesTakeReserveOfFullDisk(t *testing.T) {
	folder, disk := t.TempDir(), &limitedDisk{}
	disk.free.Store(10 << 20)
	l, _, err := walog.Open(folder, walog.Options{Write: func(file *os.File, data []byte) (int, error) {
		if _, err := os.Stat(filepath.Join(folder, "reserve")); err != nil {
			disk.free.Store(64 << 10) // it was given up
		}
		return disk.write(file, data)
	}})
	assert.NilError(t, err)
	assert.NilError(t, l.Append(testEntries(1, 3, 1)))
	l.Reserve(0)
	disk.free.Store(0)
	finish(t, l, func() error { return l.Append(testEntries(4, 5, 1)) })
	assert.NilError(t, l.Close())
}

// Guards against room that is reported as free although the next snapshot needs it.
func TestRoomIsWhatTheReserveLeaves(t *testing.T) {
	const limit = 16 << 20
	l, _, err := walog.Open(t.TempDir(), walog.Options{Limit: limit, FreeBytes: func(string) (int64, error) { return 1 << 40, nil }})
	assert.NilError(t, err)
	defer l.Close()
	assert.NilError(t, l.Append(testEntries(1, 3, 1)))
	assert.Equal(t, l.Room(), limit-l.Usage())
	before := l.Room()
	l.Reserve(8 << 20)
	assert.Assert(t, l.Reserved())
	assert.Assert(t, l.Room() <= before-(8<<20), "%d bytes, %d before", l.Room(), before)
}
