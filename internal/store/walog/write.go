// This file defines how votes, log entries and snapshots are written.

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

// Append writes entries with one sync. Existing entries from the first new index on are
// removed first. If the first entry doesn't directly follow the existing ones, as after a
// snapshot from another replica, a new segment is started.
func (l *Log) Append(entries []*wire.LogRecord) error {
	if len(entries) == 0 {
		return nil
	}
	if err := l.truncateFrom(entries[0].Index); err != nil {
		return err
	}
	var payloads [][]byte
	size := 0
	for _, r := range entries {
		payload, err := proto.Marshal(r)
		if err != nil {
			return trace.Wrap(err)
		}
		payloads = append(payloads, payload)
		size += len(payload)
	}
	l.diskFull.interrupted.Store(false)
	write := func() error { return l.appendFrames(entries[0].Index, payloads) }
	if err := l.retryWhileFull("records", write, func() error { return l.freeSpace(size) }); err != nil {
		return err
	}
	if err := l.syncFile(l.file); err != nil {
		return err
	}
	s := l.segments[len(l.segments)-1]
	offset := s.size()
	for _, p := range payloads {
		offset += int64(frameHeaderSize + len(p))
		s.endOffsets = append(s.endOffsets, offset)
	}
	l.syncedSize = s.size()
	l.countSegments()
	return nil
}

// appendFrames writes entries to the last segment, or to a new one if that is large.
func (l *Log) appendFrames(first uint64, payloads [][]byte) error {
	if err := l.ensureSegment(first); err != nil {
		return err
	}
	l.buffer = l.buffer[:0]
	for _, p := range payloads {
		l.buffer = appendFrame(l.buffer, p, l.syncedSize)
	}
	return l.writeFrames()
}

func (l *Log) ensureSegment(next uint64) error {
	if l.file != nil {
		s := l.segments[len(l.segments)-1]
		if s.size() < l.options.SegmentSize && s.firstIndex+uint64(len(s.endOffsets)) == next {
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
	l.file, l.syncedSize = file, 0
	l.segments = append(l.segments, &segment{path: path, firstIndex: next})
	return l.syncFolder()
}

// truncateFrom removes the entries from index on.
func (l *Log) truncateFrom(index uint64) error {
	defer l.countSegments()
	for len(l.segments) > 0 {
		s := l.segments[len(l.segments)-1]
		if s.firstIndex+uint64(len(s.endOffsets)) <= index {
			return nil
		}
		if s.firstIndex < index {
			return l.truncateSegment(s, index)
		}
		if err := l.removeLastSegment(); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) truncateSegment(s *segment, index uint64) error {
	s.endOffsets = s.endOffsets[:index-s.firstIndex]
	if err := l.file.Truncate(s.size()); err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := l.file.Seek(s.size(), 0); err != nil {
		return trace.ConvertSystemError(err)
	}
	l.syncedSize = s.size()
	return l.syncFile(l.file)
}

func (l *Log) removeLastSegment() error {
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
	return l.openLastSegment()
}

// SaveVote replaces the vote on disk.
func (l *Log) SaveVote(v *wire.Vote) error {
	return l.replaceMessage(voteName, v, &l.room.voteSpare, voteReserve)
}

// WriteSnapshot replaces the snapshot on disk. The entries that it covers are kept until
// Compact is called, so that a crash in between loses nothing.
func (l *Log) WriteSnapshot(s *wire.Snapshot) error {
	if err := l.replaceMessage(snapshotName, s, &l.room.snapshotNew, l.room.wanted.Load()); err != nil {
		return err
	}
	l.room.snapshot.Store(fileSize(filepath.Join(l.folder, snapshotName)))
	l.diskFull.snapshotIndex.Store(s.Index)
	return nil
}

// Compact removes the segments whose entries are all at or before index, except the last
// one. If all is set, it removes every segment, as after a snapshot from another replica
// that is ahead of all entries.
func (l *Log) Compact(index uint64, all bool) error {
	defer l.countSegments()
	for len(l.segments) > 0 {
		s := l.segments[0]
		last := len(l.segments) == 1
		covered := s.firstIndex+uint64(len(s.endOffsets)) <= index+1
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

// replaceMessage replaces a file atomically: after a crash it has either the old or the new
// content. The new content is written over the spare file, and then reserve bytes are allocated
// for the next one, if there is room.
func (l *Log) replaceMessage(name string, m proto.Message, spare *spareFile, reserve int64) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	spare.mu.Lock()
	defer spare.mu.Unlock()
	frame := appendFrame(nil, payload, 0)
	if err := l.retryWhileFull(name, func() error { return l.writeSpare(spare, frame) }, nil); err != nil {
		return err
	}
	if err := os.Rename(spare.path, filepath.Join(l.folder, name)); err != nil {
		return trace.ConvertSystemError(err)
	}
	spare.size.Store(0)
	if err := l.syncFolder(); err != nil {
		return err
	}
	l.extend(spare, max(reserve, int64(len(frame))))
	return nil
}

func (l *Log) readMessage(name string, m proto.Message) (bool, error) {
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
	return l.syncFile(folder)
}

// open opens a file and waits while no file descriptor is available; see package files.
func (l *Log) open(path string, flag int) (*os.File, error) {
	return files.Open(path, flag, 0o600, func(err error) {
		l.options.Logger.Warn("no file descriptor available, retrying open", "path", path, "error", err)
	})
}

func (l *Log) acquireLock() error {
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
