// This file defines how writes are retried while the disk is full.

package walog

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
)

const diskFullRetryInterval = 100 * time.Millisecond

var (
	diskFullTotal      = metrics.NewCounter("sycamoredeck_log_disk_full_total")
	diskFullEndedTotal = metrics.NewCounter("sycamoredeck_log_disk_full_ended_total")
)

type (
	// diskFullState is the state of retries on a full disk. The zero value is ready to use.
	diskFullState struct {
		// snapshotIndex is the index of the latest snapshot on disk.
		snapshotIndex atomic.Uint64
		aborted       atomic.Bool
		// retrying is the number of writes that are being retried, interrupted whether the
		// retries of log entries should end.
		retrying    atomic.Int32
		interrupted atomic.Bool
	}

	// permanentError is an error after which nothing may be retried, whatever its cause.
	permanentError struct {
		operation string
		err       error
	}
)

// ErrInterrupted is returned by Append after Interrupt. Nothing was written.
var ErrInterrupted = errors.New("walog: interrupted while the disk is full")

// Error returns the failed operation and its cause.
func (e *permanentError) Error() string { return "walog: " + e.operation + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *permanentError) Unwrap() error { return e.err }

var _ error = (*permanentError)(nil)

// isDiskFull reports whether a write failed because the disk is full. Such a write may be
// retried after truncating what was written of it. A failed sync may not, whatever its
// cause.
func isDiskFull(err error) bool {
	var permanent *permanentError
	return !errors.As(err, &permanent) && (errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT))
}

// AbortRetries makes writes that are retried on a full disk return their error, now and in
// future, so that the process can stop.
func (l *Log) AbortRetries() { l.diskFull.aborted.Store(true) }

// Full reports whether a write is being retried because the disk is full. It may be called on any
// goroutine.
func (l *Log) Full() bool { return l.diskFull.retrying.Load() > 0 }

// Interrupt ends an Append that is being retried, so that a vote can be written. It may be called
// on any goroutine.
func (l *Log) Interrupt() { l.diskFull.interrupted.Store(true) }

// retryWhileFull calls write until it succeeds or fails for another reason than a full disk,
// or until AbortRetries is called. On a full disk, write must leave nothing behind. Between
// attempts it calls freeSpace, which may be nil; other processes may free space as well.
//
// While it retries, the replica acknowledges nothing and, as leader, sends no heartbeats,
// so that another one is elected. Treating a full disk as a failed one would make the
// process stop again at each start.
func (l *Log) retryWhileFull(operation string, write, freeSpace func() error) error {
	retrying := false
	for {
		err := write()
		switch {
		case !isDiskFull(err) || l.diskFull.aborted.Load():
			if retrying && err == nil {
				diskFullEndedTotal.Inc()
				l.options.Logger.Info("disk no longer full, write completed", "folder", l.folder, "write", operation)
			}
			return err
		case !retrying:
			retrying = true
			l.diskFull.retrying.Add(1)
			defer l.diskFull.retrying.Add(-1)
			diskFullTotal.Inc()
			l.options.Logger.Warn("disk full, retrying write", "folder", l.folder, "write", operation, "error", err)
		}
		if freeSpace != nil {
			if err := freeSpace(); err != nil {
				return err
			}
		}
		time.Sleep(diskFullRetryInterval)
	}
}

// freeSpace makes room for entries of the given size: it removes the segments that the latest
// snapshot on disk covers, the last one as well, or the reserve. It returns ErrInterrupted
// after Interrupt.
func (l *Log) freeSpace(size int) error {
	if l.diskFull.interrupted.Swap(false) {
		return ErrInterrupted
	}
	index := l.diskFull.snapshotIndex.Load()
	if s := len(l.segments); s > 0 && l.segments[s-1].lastIndex() <= index {
		return l.Compact(index, true)
	}
	if err := l.Compact(index, false); err != nil {
		return err
	}
	if size <= logReserve {
		l.releaseLogReserve()
	}
	return nil
}

// writeFrames appends the buffer to the last segment. If the disk is full, it truncates
// what was written.
func (l *Log) writeFrames() error {
	_, err := l.write(l.file, l.buffer, int64(len(l.buffer)))
	if !isDiskFull(err) {
		return trace.ConvertSystemError(err)
	}
	if truncateErr := l.file.Truncate(l.syncedSize); truncateErr != nil {
		return &permanentError{"truncating a partial write", truncateErr}
	}
	if _, seekErr := l.file.Seek(l.syncedSize, 0); seekErr != nil {
		return &permanentError{"truncating a partial write", seekErr}
	}
	return err
}

// syncFile syncs a file to disk. An error must not be retried, whatever its cause.
func (l *Log) syncFile(file *os.File) error {
	if err := l.options.Sync(file); err != nil {
		return &permanentError{"syncing " + file.Name(), err}
	}
	return nil
}

// writeSpare writes the content of a file that replaces another one later into the blocks of its
// spare file, which stay allocated if the disk is full. The caller holds its lock.
func (l *Log) writeSpare(s *spareFile, data []byte) error {
	file, err := l.open(s.path, os.O_WRONLY|os.O_CREATE)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err = l.write(file, data, int64(len(data))-s.size.Load()); isDiskFull(err) {
		if truncateErr := file.Truncate(s.size.Load()); truncateErr != nil {
			return &permanentError{"truncating a partial file", truncateErr}
		}
		return err
	}
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := file.Truncate(int64(len(data))); err != nil {
		return trace.ConvertSystemError(err)
	}
	return l.syncFile(file)
}
