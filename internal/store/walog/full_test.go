// This file defines the tests of a disk that takes no more bytes.

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

// smallDisk takes so many bytes more; what doesn't fit is refused after the part that
// does.
type smallDisk struct {
	room    atomic.Int64
	refused atomic.Int64
}

func (d *smallDisk) write(file *os.File, data []byte) (int, error) {
	room := d.room.Load()
	if room >= int64(len(data)) {
		d.room.Add(-int64(len(data)))
		return file.Write(data)
	}
	n, err := file.Write(data[:room])
	if err != nil {
		return n, err
	}
	d.refused.Add(1)
	return n, syscall.ENOSPC
}

func (d *smallDisk) open(t *testing.T, folder string) *walog.Log {
	t.Helper()
	l, _, err := walog.Open(folder, walog.Options{SegmentSize: 512, Write: d.write, Logger: slog.New(slog.DiscardHandler)})
	assert.NilError(t, err)
	return l
}

// untilRefused waits until a write was refused again.
func (d *smallDisk) untilRefused(t *testing.T) {
	t.Helper()
	before := d.refused.Load()
	for end := time.Now().Add(time.Minute); d.refused.Load() == before; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no write was refused")
	}
}

// Guards against a replica that ends because its disk is full, and against a part of a
// refused write that is taken for a record: refused after each byte of a batch.
func TestAppendWaitsForRoom(t *testing.T) {
	const batch = 360 // bytes; the records below take some more
	for took := int64(0); took < batch; took += 7 {
		t.Run(fmt.Sprint(took, " bytes"), func(t *testing.T) {
			t.Parallel()
			folder, disk := t.TempDir(), &smallDisk{}
			disk.room.Store(10000)
			l := disk.open(t, folder)
			assert.NilError(t, l.Append(records(1, 3, 1)))
			disk.room.Store(took)
			done := make(chan error, 1)
			go func() { done <- l.Append(records(4, 12, 2)) }()
			disk.untilRefused(t)
			assert.Equal(t, len(done), 0, "a refused write was acknowledged")
			disk.room.Store(10000)
			assert.NilError(t, <-done)
			assert.NilError(t, l.Append(records(13, 14, 2)))
			assert.NilError(t, l.Close())
			again, d := open(t, folder)
			assertRecords(t, d.Entries, append(records(1, 3, 1), records(4, 14, 2)...))
			assert.NilError(t, again.Close())
		})
	}
}

// Guards against what was never acknowledged being read back after the process is killed
// while its write waits.
func TestRefusedAppendIsGoneAfterAStart(t *testing.T) {
	folder, disk := t.TempDir(), &smallDisk{}
	disk.room.Store(10000)
	l := disk.open(t, folder)
	assert.NilError(t, l.Append(records(1, 3, 1)))
	disk.room.Store(100)
	done := make(chan error, 1)
	go func() { done <- l.Append(records(4, 12, 2)) }()
	disk.untilRefused(t)
	l.AbortRetries()
	assert.ErrorIs(t, <-done, syscall.ENOSPC)
	assert.NilError(t, l.Close())
	again, d := open(t, folder)
	assertRecords(t, d.Entries, records(1, 3, 1))
	assert.NilError(t, again.Close())
}

// Guards against a vote or a snapshot that is lost, or half there, on a full disk.
func TestWholeFilesWaitForRoom(t *testing.T) {
	folder, disk := t.TempDir(), &smallDisk{}
	disk.room.Store(10000)
	l := disk.open(t, folder)
	assert.NilError(t, l.SaveVote(&wire.Vote{Term: 3}))
	assert.NilError(t, l.WriteSnapshot(&wire.Snapshot{Index: 3, Term: 1}))
	for name, write := range map[string]func() error{
		"vote":     func() error { return l.SaveVote(&wire.Vote{Term: 4}) },
		"snapshot": func() error { return l.WriteSnapshot(&wire.Snapshot{Index: 5, Term: 2}) },
	} {
		t.Run(name, func(t *testing.T) {
			disk.room.Store(5)
			done := make(chan error, 1)
			go func() { done <- write() }()
			disk.untilRefused(t)
			disk.untilRefused(t)
			disk.room.Store(10000)
			assert.NilError(t, <-done)
			_, err := os.Stat(filepath.Join(folder, name+".new"))
			assert.Assert(t, os.IsNotExist(err))
		})
	}
	assert.NilError(t, l.Close())
	again, d := open(t, folder)
	assert.Equal(t, d.Vote.Term, uint64(4))
	assert.Equal(t, d.Snapshot.Index, uint64(5))
	assert.NilError(t, again.Close())
}

// Guards against a disk that stays full of records which a snapshot covers: they are
// dropped by the write that waits, which no other can overtake.
func TestCoveredSegmentsMakeRoom(t *testing.T) {
	folder, disk := t.TempDir(), &smallDisk{}
	disk.room.Store(100000)
	l := disk.open(t, folder)
	for i := uint64(1); i <= 40; i += 4 {
		assert.NilError(t, l.Append(records(i, i+3, 1)))
	}
	assert.NilError(t, l.WriteSnapshot(&wire.Snapshot{Index: 36, Term: 1}))
	before := len(segments(t, folder))
	disk.room.Store(0)
	done := make(chan error, 1)
	go func() { done <- l.Append(records(41, 41, 1)) }()
	disk.untilRefused(t)
	disk.untilRefused(t)
	assert.Assert(t, len(segments(t, folder)) < before)
	disk.room.Store(100000)
	assert.NilError(t, <-done)
	assert.NilError(t, l.Close())
	again, d := open(t, folder)
	assertRecords(t, d.Entries, records(37, 41, 1))
	assert.NilError(t, again.Close())
}

// Guards against a failed sync being tried again because a full disk was its cause.
func TestFailedSyncIsFinalOnAFullDisk(t *testing.T) {
	fail := false
	l, _, err := walog.Open(t.TempDir(), walog.Options{Sync: func(f *os.File) error {
		if fail {
			return syscall.ENOSPC
		}
		return f.Sync()
	}})
	assert.NilError(t, err)
	assert.NilError(t, l.Append(records(1, 3, 1)))
	fail = true
	assert.ErrorContains(t, l.Append(records(4, 5, 1)), "sync")
	assert.ErrorContains(t, l.SaveVote(&wire.Vote{Term: 2}), "sync")
	assert.NilError(t, l.Close())
}
