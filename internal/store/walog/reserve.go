// This file defines the room that the log may take, and the files that reserve some of it.

package walog

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	spareSuffix = ".spare"
	// voteReserve is the reserved size of the next vote.
	voteReserve = 512
	// logReserveName is a file that is removed when log entries don't fit the disk. Entries of up
	// to its size are written instead: a replica that restarts on a full disk can compact its
	// log only after its leader has written one.
	logReserveName = "reserve"
	logReserve     = 64 << 10
	// reserveStep is the least size by which the reserve of a snapshot grows, so that few writes
	// are needed while the state grows.
	reserveStep = 256 << 10
	// snapshotSlack is the share of a snapshot that is reserved beyond its size.
	snapshotSlack = 8
)

type (
	// spareFile is a file whose blocks the next version of another file overwrites, so that it
	// can be written on a full disk.
	spareFile struct {
		mu   sync.Mutex
		path string
		size atomic.Int64
	}

	// room is the size of what a log has on disk, and how much that may become. Its fields may
	// be read on any goroutine.
	room struct {
		// capacity is how much the log may have on disk as of the last refresh; math.MaxInt64 if
		// that is unknown.
		capacity               atomic.Int64
		segments, snapshot     atomic.Int64
		logReserve             atomic.Int64
		voteSpare, snapshotNew spareFile
		// wanted is the size that the reserve of the next snapshot should have.
		wanted atomic.Int64
	}
)

// freeBytes returns the free space of the disk that holds a folder.
func freeBytes(folder string) (int64, error) {
	var s unix.Statfs_t
	if err := unix.Statfs(folder, &s); err != nil {
		return 0, err
	}
	return int64(s.Bavail) * s.Bsize, nil
}

// loadRoom reads the sizes of all files. Files that an earlier write left behind are removed.
func (l *Log) loadRoom() {
	for _, name := range []string{voteName, snapshotName} {
		os.Remove(filepath.Join(l.folder, name+".new"))
	}
	l.room.voteSpare.path = filepath.Join(l.folder, voteName+spareSuffix)
	l.room.snapshotNew.path = filepath.Join(l.folder, snapshotName+spareSuffix)
	l.room.voteSpare.size.Store(fileSize(l.room.voteSpare.path))
	l.room.snapshotNew.size.Store(fileSize(l.room.snapshotNew.path))
	l.room.snapshot.Store(fileSize(filepath.Join(l.folder, snapshotName)))
	l.room.logReserve.Store(fileSize(filepath.Join(l.folder, logReserveName)))
	l.countSegments()
	l.RefreshRoom()
}

func fileSize(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.Size()
}

func (l *Log) countSegments() {
	var size int64
	for _, s := range l.segments {
		size += s.size()
	}
	l.room.segments.Store(size)
}

// RefreshRoom reads the free space of the disk, and the size of other files in the folder if that is
// limited. It may be called on any goroutine.
func (l *Log) RefreshRoom() {
	capacity := int64(math.MaxInt64)
	if free, err := l.options.FreeBytes(l.folder); err == nil {
		capacity = free + l.Usage()
	}
	if l.options.Limit > 0 {
		capacity = min(capacity, max(l.options.Limit-l.otherFiles(), 0))
	}
	l.room.capacity.Store(capacity)
}

// otherFiles returns the size of the files in the folder that aren't the log's.
func (l *Log) otherFiles() int64 {
	entries, err := os.ReadDir(l.folder)
	if err != nil {
		l.options.Logger.Warn("data folder not read", "folder", l.folder, "error", err)
		return 0
	}
	var size int64
	for _, e := range entries {
		name := strings.TrimSuffix(e.Name(), spareSuffix)
		if name == voteName || name == snapshotName || name == lockName || name == logReserveName || strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		if info, err := e.Info(); err == nil { // it may have been removed
			size += info.Size()
		}
	}
	return size
}

// Usage returns the size of all files in bytes.
func (l *Log) Usage() int64 {
	r := &l.room
	return r.segments.Load() + r.snapshot.Load() + r.snapshotNew.size.Load() + r.voteSpare.size.Load() + r.logReserve.Load()
}

// SegmentBytes returns the size of the log entries on disk.
func (l *Log) SegmentBytes() int64 { return l.room.segments.Load() }

// SnapshotBytes returns the size of the snapshot on disk.
func (l *Log) SnapshotBytes() int64 { return l.room.snapshot.Load() }

// Capacity returns the size that the log may have on disk in bytes: the limit of the folder without the
// other files in it, or what the log has and the disk has free, whichever is less. It returns
// math.MaxInt64 if that is unknown.
func (l *Log) Capacity() int64 { return l.room.capacity.Load() }

// available returns the number of bytes by which the files of the log may grow.
func (l *Log) available() int64 {
	capacity := l.Capacity()
	if capacity == math.MaxInt64 {
		return capacity
	}
	return max(capacity-l.Usage(), 0)
}

// Room returns how many bytes of log entries can still be written, without what the reserve of
// the next snapshot lacks. It returns math.MaxInt64 if that is unknown, and 0 while a write
// is being retried. It may be called on any goroutine.
func (l *Log) Room() int64 {
	available := l.available()
	switch {
	case l.Full():
		return 0
	case available == math.MaxInt64:
		return available
	default:
		return max(available-l.missingReserve(), 0)
	}
}

// write writes data to a file that grows by the given number of bytes. It fails as on a full disk if
// the folder has reached its limit.
func (l *Log) write(file *os.File, data []byte, growth int64) (int, error) {
	if l.options.Limit > 0 && growth > l.available() {
		return 0, syscall.ENOSPC
	}
	return l.options.Write(file, data)
}

func (l *Log) missingReserve() int64 {
	return max(l.room.wanted.Load()-l.room.snapshotNew.size.Load(), 0)
}

// Reserved reports whether the next snapshot can be written without more room.
func (l *Log) Reserved() bool { return l.missingReserve() == 0 }

// Reserve keeps room for a next snapshot of the given size, and for small log entries. What the disk
// has no room for is reserved by a later call. It must not be called concurrently with Append.
func (l *Log) Reserve(size int64) {
	wanted := (size + size/snapshotSlack + reserveStep - 1) / reserveStep * reserveStep
	l.room.wanted.Store(wanted)
	spare := &l.room.snapshotNew
	if spare.mu.TryLock() { // otherwise a snapshot is being written, which takes the reserve
		l.extend(spare, wanted)
		spare.mu.Unlock()
	}
	if l.room.logReserve.Load() == 0 && !l.Full() {
		reserve := &spareFile{path: filepath.Join(l.folder, logReserveName)}
		l.extend(reserve, logReserve)
		l.room.logReserve.Store(reserve.size.Load())
	}
}

// releaseLogReserve removes the reserve of the log entries.
func (l *Log) releaseLogReserve() {
	if l.room.logReserve.Swap(0) == 0 {
		return
	}
	if err := os.Remove(filepath.Join(l.folder, logReserveName)); err != nil {
		l.options.Logger.Warn("reserve not released", "folder", l.folder, "error", err)
	}
}

// extend extends a spare file up to a size, or as far as the disk has room. The caller holds its
// lock.
func (l *Log) extend(s *spareFile, size int64) {
	missing := size - s.size.Load()
	if missing <= 0 {
		return
	}
	file, err := l.open(s.path, os.O_WRONLY|os.O_CREATE)
	if err != nil {
		l.logReserveError(s, err)
		return
	}
	defer file.Close()
	if _, err = file.Seek(0, 2); err == nil {
		missing = min(missing, l.available())
		_, err = l.write(file, make([]byte, missing), missing)
	}
	if info, statErr := file.Stat(); statErr == nil {
		s.size.Store(info.Size())
	}
	if err != nil && !isDiskFull(err) {
		l.logReserveError(s, err)
	}
}

func (l *Log) logReserveError(s *spareFile, err error) {
	l.options.Logger.Warn("room not reserved", "file", s.path, "error", err)
}
