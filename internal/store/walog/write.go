// This file defines how votes, records and snapshots are written.

package walog

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/base/files"
	"sycamoredeck.example/internal/schema/wire"
)

// Append writes records with one sync. Where the first of them is at a
// position already held, what is held from there on is dropped first. A first
// record that isn't the next one begins a new segment, as after a snapshot
// that came from another replica.
func (l *Log) Append(records []*wire.LogRecord) error {
	if len(records) == 0 {
		return nil
	}
	if err := l.truncateFrom(records[0].Index); err != nil {
		return err
	}
	newSegment := func() error { return l.ensureSegment(records[0].Index) }
	if err := l.untilRoom("a new segment", newSegment, l.dropCoveredNow); err != nil {
		return err
	}
	s := l.segments[len(l.segments)-1]
	l.buffer = l.buffer[:0]
	start := s.length()
	var ends []int64
	for _, r := range records {
		payload, err := proto.Marshal(r)
		if err != nil {
			return trace.Wrap(err)
		}
		l.buffer = appendFrame(l.buffer, payload, l.synced)
		ends = append(ends, start+int64(len(l.buffer)))
	}
	if err := l.untilRoom("records", l.writeFrames, l.dropCoveredNow); err != nil {
		return err
	}
	if err := l.sync(l.file); err != nil {
		return err
	}
	s.ends = append(s.ends, ends...)
	l.synced = s.length()
	return nil
}

func (l *Log) ensureSegment(next uint64) error {
	if l.file != nil {
		s := l.segments[len(l.segments)-1]
		if s.length() < l.options.SegmentSize && s.first+uint64(len(s.ends)) == next {
			return nil
		}
	}
	path := filepath.Join(l.folder, fmt.Sprintf("%s%020d", segmentPrefix, next))
	file, err := l.open(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.synced = file, 0
	l.segments = append(l.segments, &segment{path: path, first: next})
	return l.syncFolder()
}

// truncateFrom drops the records from index on.
func (l *Log) truncateFrom(index uint64) error {
	for len(l.segments) > 0 {
		s := l.segments[len(l.segments)-1]
		if s.first+uint64(len(s.ends)) <= index {
			return nil
		}
		if s.first < index {
			return l.shorten(s, index)
		}
		if err := l.dropLast(); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) shorten(s *segment, index uint64) error {
	s.ends = s.ends[:index-s.first]
	if err := l.file.Truncate(s.length()); err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := l.file.Seek(s.length(), 0); err != nil {
		return trace.ConvertSystemError(err)
	}
	l.synced = s.length()
	return l.sync(l.file)
}

func (l *Log) dropLast() error {
	s := l.segments[len(l.segments)-1]
	l.file.Close()
	l.file = nil
	l.segments = l.segments[:len(l.segments)-1]
	if err := os.Remove(s.path); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := l.syncFolder(); err != nil {
		return err
	}
	return l.openLast()
}

// SaveVote replaces the vote.
func (l *Log) SaveVote(v *wire.Vote) error {
	return l.writeWhole(voteName, v)
}

// WriteSnapshot replaces the snapshot. The records that it covers stay until
// Compact, so a crash between the two loses nothing.
func (l *Log) WriteSnapshot(s *wire.Snapshot) error {
	if err := l.writeWhole(snapshotName, s); err != nil {
		return err
	}
	l.waits.covered.Store(s.Index)
	return nil
}

// Compact removes the segments that lie wholly at or before index. With
// all it removes every segment, as after a snapshot from another replica that
// is ahead of all records here.
func (l *Log) Compact(index uint64, all bool) error {
	for len(l.segments) > 0 {
		s := l.segments[0]
		last := len(l.segments) == 1
		covered := s.first+uint64(len(s.ends)) <= index+1
		if !all && (last || !covered) {
			return nil
		}
		if last && l.file != nil {
			l.file.Close()
			l.file = nil
		}
		if err := os.Remove(s.path); err != nil {
			return trace.ConvertSystemError(err)
		}
		l.segments = l.segments[1:]
	}
	return l.syncFolder()
}

// writeWhole replaces a file so that after a crash either the old or the new
// content is there, whole.
func (l *Log) writeWhole(name string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	path := filepath.Join(l.folder, name)
	frame := appendFrame(nil, payload, 0)
	if err := l.untilRoom(name, func() error { return l.writeNew(path+".new", frame) }, nil); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return trace.ConvertSystemError(err)
	}
	return l.syncFolder()
}

func (l *Log) readWhole(name string, m proto.Message) (bool, error) {
	data, err := os.ReadFile(filepath.Join(l.folder, name))
	if os.IsNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	f, ok := readFrame(data, 0)
	if !ok {
		return false, trace.Wrap(ErrCorrupt, "%s", name)
	}
	if err := proto.Unmarshal(f.payload, m); err != nil {
		return false, trace.Wrap(ErrCorrupt, "%s: %v", name, err)
	}
	return true, nil
}

func (l *Log) syncFolder() error {
	folder, err := l.open(l.folder, os.O_RDONLY)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer folder.Close()
	return l.sync(folder)
}

// open waits for a descriptor where none is left: see package files.
func (l *Log) open(path string, flag int) (*os.File, error) {
	return files.Open(path, flag, 0o600, func(err error) {
		l.options.Logger.Warn("a file of the log waits for a descriptor", "path", path, "error", err)
	})
}

func (l *Log) takeLock() error {
	file, err := os.OpenFile(filepath.Join(l.folder, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return trace.AlreadyExists("walog: %s is in use by another process", l.folder)
	}
	l.lock = file
	return nil
}
