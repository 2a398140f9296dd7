// This file defines what the log does while its disk takes no more bytes.

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

// fullRetry is the pause after a write that a full disk has refused.
const fullRetry = 100 * time.Millisecond

var (
	disksFull  = metrics.NewCounter("sycamoredeck_log_disk_full_total")
	disksRoomy = metrics.NewCounter("sycamoredeck_log_disk_full_ended_total")
)

type (
	// waits is how writes wait for room on the disk. The zero value works.
	waits struct {
		// covered is the position of the latest snapshot that is on the disk.
		covered atomic.Uint64
		givenUp atomic.Bool
	}

	// finalError is one after which nothing may be tried again, whatever its cause.
	finalError struct {
		what string
		err  error
	}
)

// Error says what failed and why.
func (e *finalError) Error() string { return "walog: " + e.what + ": " + e.err.Error() }

// Unwrap gives the cause.
func (e *finalError) Unwrap() error { return e.err }

var _ error = (*finalError)(nil)

// refused tells whether an error says that the disk has no room for a write. Nothing
// that was written is lost by that, other than by a failed sync: it is cut off, and the
// write may be made again.
func refused(err error) bool {
	var final *finalError
	return !errors.As(err, &final) && (errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT))
}

// AbortRetries has writes that wait for room return their error, now and from now on: the
// process is to stop.
func (l *Log) AbortRetries() { l.waits.givenUp.Store(true) }

// untilRoom makes a write, which leaves no trace where it is refused, again until the
// disk takes it. Room may come from other processes, or from makeRoom; nil is allowed.
//
// A replica whose write waits acknowledges nothing, and is missed by the others like one
// whose disk hangs: they elect another leader. It goes on by itself once there is room.
// Taken for a failed disk it would end, again at each start.
func (l *Log) untilRoom(what string, write, makeRoom func() error) error {
	waiting := false
	for {
		err := write()
		switch {
		case !refused(err) || l.waits.givenUp.Load():
			if waiting && err == nil {
				disksRoomy.Inc()
				l.options.Logger.Info("the disk takes writes again", "folder", l.folder, "write", what)
			}
			return err
		case !waiting:
			waiting = true
			disksFull.Inc()
			l.options.Logger.Warn("the disk is full; the write waits", "folder", l.folder, "write", what, "error", err)
		}
		if makeRoom != nil {
			if err := makeRoom(); err != nil {
				return err
			}
		}
		time.Sleep(fullRetry)
	}
}

// dropCoveredNow makes room by what the latest snapshot on the disk covers.
func (l *Log) dropCoveredNow() error { return l.Compact(l.waits.covered.Load(), false) }

// writeFrames writes the buffer behind the records of the last segment. What a full disk
// took of it is cut off again.
func (l *Log) writeFrames() error {
	_, err := l.options.Write(l.file, l.buffer)
	if !refused(err) {
		return trace.ConvertSystemError(err)
	}
	if cut := l.file.Truncate(l.synced); cut != nil {
		return &finalError{"cutting off a refused write", cut}
	}
	if _, sought := l.file.Seek(l.synced, 0); sought != nil {
		return &finalError{"cutting off a refused write", sought}
	}
	return err
}

// sync makes a file durable.
func (l *Log) sync(file *os.File) error {
	if err := l.options.Sync(file); err != nil {
		return &finalError{"syncing " + file.Name(), err}
	}
	return nil
}

// writeNew writes a file that takes the place of another one later. A full disk leaves
// none of it.
func (l *Log) writeNew(path string, data []byte) error {
	file, err := l.open(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err = l.options.Write(file, data); refused(err) {
		if gone := os.Remove(path); gone != nil {
			return &finalError{"removing a refused file", gone}
		}
		return err
	}
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return l.sync(file)
}
