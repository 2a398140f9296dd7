// This file defines Log and how it is opened.

// Package walog stores the durable state of a control replica in a folder: the vote, the latest
// snapshot, and the log entries after it in segment files.
//
// Every method that modifies something returns only after syncing it to disk. A failed sync must
// not be retried: the kernel may have dropped the dirty pages and report success the next time
// although the data isn't on disk. The caller must stop the process; the next start reads what
// is on disk. A write that fails because the disk is full is retried until there is free space.
package walog

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	voteName      = "vote"
	snapshotName  = "snapshot"
	lockName      = "lock"
	segmentPrefix = "log-"
	// segmentSize is the size in bytes after which a new segment is started. A segment is
	// removed once a snapshot covers all of it.
	segmentSize = 8 << 20
)

// ErrCorrupt is returned when synced data can't be read back. The replica must not continue
// under its identity, because it may have acknowledged that data.
var ErrCorrupt = errors.New("walog: synced data is damaged")

type (
	// Options configures a Log. The zero value is ready to use.
	Options struct {
		// Sync syncs a file to disk; (*os.File).Sync when nil.
		Sync func(*os.File) error
		// Write writes to a file; (*os.File).Write when nil.
		Write func(*os.File, []byte) (int, error)
		// SegmentSize is the size in bytes after which a new segment is started; 8 MiB when
		// 0.
		SegmentSize int64
		// Limit is the size in bytes that the folder may have, with other files in it; 0 if only
		// the disk limits it.
		Limit int64
		// FreeBytes returns the free space of the disk that holds a folder; that of the file
		// system when nil.
		FreeBytes func(folder string) (int64, error)
		// Logger is slog.Default() when nil.
		Logger *slog.Logger
	}

	// DurableState is the content of a folder.
	DurableState struct {
		Vote     *wire.Vote
		Snapshot *wire.Snapshot
		Entries  []*wire.LogRecord
		// TornBytes is the size of an incomplete last write that was truncated.
		TornBytes int64
	}

	segment struct {
		path       string
		firstIndex uint64
		// endOffsets[i] is the offset of the end of entry firstIndex+i.
		endOffsets []int64
	}

	// Log is an open folder. It isn't safe for concurrent use, except that WriteSnapshot
	// and the methods that say so may be called concurrently with Append and SaveVote.
	Log struct {
		folder     string
		options    Options
		lock       *os.File
		segments   []*segment
		file       *os.File // the last segment, or nil
		syncedSize int64    // size of file that is synced
		buffer     []byte
		diskFull   diskFullState
		room       room
	}
)

// Open reads the folder, creates it if it doesn't exist, and locks it against other
// processes.
func Open(folder string, options Options) (*Log, *DurableState, error) {
	if options.Sync == nil {
		options.Sync = (*os.File).Sync
	}
	if options.Write == nil {
		options.Write = (*os.File).Write
	}
	if options.SegmentSize == 0 {
		options.SegmentSize = segmentSize
	}
	if options.FreeBytes == nil {
		options.FreeBytes = freeBytes
	}
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	l := &Log{folder: folder, options: options}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	if err := l.acquireLock(); err != nil {
		return nil, nil, err
	}
	durable, err := l.load()
	if err != nil {
		l.lock.Close()
		return nil, nil, err
	}
	return l, durable, nil
}

// Close closes the log and unlocks the folder.
func (l *Log) Close() error {
	if l.file != nil {
		l.file.Close()
	}
	return trace.Wrap(l.lock.Close())
}

func (l *Log) load() (*DurableState, error) {
	d := &DurableState{}
	vote, snapshot := &wire.Vote{}, &wire.Snapshot{}
	found, err := l.readMessage(voteName, vote)
	if err != nil {
		return nil, err
	}
	if found {
		d.Vote = vote
	}
	if found, err = l.readMessage(snapshotName, snapshot); err != nil {
		return nil, err
	}
	if found {
		d.Snapshot = snapshot
		l.diskFull.snapshotIndex.Store(snapshot.Index)
	}
	if err := l.listSegments(); err != nil {
		return nil, err
	}
	for i, s := range l.segments {
		if err := l.loadSegment(s, i == len(l.segments)-1, d); err != nil {
			return nil, err
		}
	}
	d.Entries = entriesAfterSnapshot(d.Entries, d.Snapshot)
	if err := checkContiguous(d); err != nil {
		return nil, err
	}
	l.loadRoom()
	return d, l.openLastSegment()
}

func (l *Log) listSegments() error {
	entries, err := os.ReadDir(l.folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, e := range entries {
		number, ok := strings.CutPrefix(e.Name(), segmentPrefix)
		if !ok {
			continue
		}
		var first uint64
		if _, err := fmt.Sscanf(number, "%020d", &first); err != nil {
			return trace.Wrap(ErrCorrupt, "%s: invalid segment file name", e.Name())
		}
		l.segments = append(l.segments, &segment{path: filepath.Join(l.folder, e.Name()), firstIndex: first})
	}
	sort.Slice(l.segments, func(i, j int) bool { return l.segments[i].firstIndex < l.segments[j].firstIndex })
	return nil
}

func (l *Log) loadSegment(s *segment, last bool, d *DurableState) error {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var offset int64
	for offset < int64(len(data)) {
		f, ok := readFrame(data, offset)
		if !ok {
			return l.truncateTorn(s, data, offset, last, d)
		}
		r := &wire.LogRecord{}
		if err := proto.Unmarshal(f.payload, r); err != nil {
			return trace.Wrap(ErrCorrupt, "%s: offset %d: %v", s.path, offset, err)
		}
		if r.Index != s.firstIndex+uint64(len(s.endOffsets)) {
			return trace.Wrap(ErrCorrupt, "%s: offset %d: log entry %d out of order", s.path, offset, r.Index)
		}
		d.Entries = append(d.Entries, r)
		offset = f.endOffset
		s.endOffsets = append(s.endOffsets, offset)
	}
	return nil
}

// truncateTorn truncates a write that a crash left incomplete. It can only be at the end of
// the last segment: a segment is fully synced before the next one is started.
func (l *Log) truncateTorn(s *segment, data []byte, offset int64, last bool, d *DurableState) error {
	if !last || syncedBeyond(data, offset) {
		return trace.Wrap(ErrCorrupt, "%s: offset %d", s.path, offset)
	}
	d.TornBytes = int64(len(data)) - offset
	file, err := os.OpenFile(s.path, os.O_RDWR, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	if err := file.Truncate(offset); err != nil {
		return trace.ConvertSystemError(err)
	}
	return l.syncFile(file)
}

func (l *Log) openLastSegment() error {
	if len(l.segments) == 0 {
		return nil
	}
	s := l.segments[len(l.segments)-1]
	file, err := l.open(s.path, os.O_RDWR)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	l.file, l.syncedSize = file, s.size()
	_, err = file.Seek(l.syncedSize, 0)
	return trace.Wrap(err)
}

func entriesAfterSnapshot(entries []*wire.LogRecord, s *wire.Snapshot) []*wire.LogRecord {
	for i, r := range entries {
		if r.Index > s.GetIndex() {
			return entries[i:]
		}
	}
	return nil
}

// checkContiguous checks that there are no gaps between the snapshot and the entries.
func checkContiguous(d *DurableState) error {
	next := d.Snapshot.GetIndex() + 1
	for _, r := range d.Entries {
		if r.Index != next {
			return trace.Wrap(ErrCorrupt, "log entry %d, expected %d", r.Index, next)
		}
		next++
	}
	return nil
}

func (s *segment) size() int64 {
	if len(s.endOffsets) == 0 {
		return 0
	}
	return s.endOffsets[len(s.endOffsets)-1]
}

// lastIndex returns the index of the last entry.
func (s *segment) lastIndex() uint64 { return s.firstIndex + uint64(len(s.endOffsets)) - 1 }
