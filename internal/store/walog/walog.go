// This file defines Log and its opening.

// Package walog keeps a control replica's durable state in a folder: the
// vote, the latest snapshot, and the records after it in segment files.
//
// Every method that changes something returns only after it is synced. An
// error from a sync is final: the kernel may have dropped the dirty pages and
// report success the next time, so that a retry would promise what isn't on
// disk. The caller must stop the process; the next start reads what is there.
// A write that a full disk refuses is another thing, and waits for room.
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
	// segmentSize is the length after which a new segment is begun. Segments
	// are dropped whole once a snapshot covers them.
	segmentSize = 8 << 20
)

// ErrCorrupt says that bytes which had been synced can't be read back. The
// replica must not go on under its identity: it could have promised them.
var ErrCorrupt = errors.New("walog: synced data is damaged")

type (
	// Options has a useful zero value.
	Options struct {
		// Sync makes a file durable; (*os.File).Sync when nil.
		Sync func(*os.File) error
		// Write writes to a file; (*os.File).Write when nil.
		Write func(*os.File, []byte) (int, error)
		// SegmentSize is in bytes; 8 MiB when 0.
		SegmentSize int64
		// Logger is the default one when nil.
		Logger *slog.Logger
	}

	// Durable is what a folder holds.
	DurableState struct {
		Vote     *wire.Vote
		Snapshot *wire.Snapshot
		Entries  []*wire.LogRecord
		// TornBytes is how much of an unfinished last write was cut off.
		TornBytes int64
	}

	segment struct {
		path  string
		first uint64
		// ends[i] is the offset behind record first+i.
		ends []int64
	}

	// Log is an open folder. It isn't safe for concurrent use, but for
	// WriteSnapshot and AbortRetries, which may run beside Append and SaveVote.
	Log struct {
		folder   string
		options  Options
		lock     *os.File
		segments []*segment
		file     *os.File // the last segment, or nil
		synced   int64    // length of file known to be on disk
		buffer   []byte
		waits    waits
	}
)

// Open reads the folder, makes it when missing, and locks it against a second
// process.
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
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	l := &Log{folder: folder, options: options}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	if err := l.takeLock(); err != nil {
		return nil, nil, err
	}
	durable, err := l.load()
	if err != nil {
		l.lock.Close()
		return nil, nil, err
	}
	return l, durable, nil
}

// Close releases the folder.
func (l *Log) Close() error {
	if l.file != nil {
		l.file.Close()
	}
	return trace.Wrap(l.lock.Close())
}

func (l *Log) load() (*DurableState, error) {
	d := &DurableState{}
	vote, snapshot := &wire.Vote{}, &wire.Snapshot{}
	found, err := l.readWhole(voteName, vote)
	if err != nil {
		return nil, err
	}
	if found {
		d.Vote = vote
	}
	if found, err = l.readWhole(snapshotName, snapshot); err != nil {
		return nil, err
	}
	if found {
		d.Snapshot = snapshot
		l.waits.covered.Store(snapshot.Index)
	}
	if err := l.findSegments(); err != nil {
		return nil, err
	}
	for i, s := range l.segments {
		if err := l.loadSegment(s, i == len(l.segments)-1, d); err != nil {
			return nil, err
		}
	}
	d.Entries = afterSnapshot(d.Entries, d.Snapshot)
	if err := checkOrder(d); err != nil {
		return nil, err
	}
	return d, l.openLast()
}

func (l *Log) findSegments() error {
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
			return trace.Wrap(ErrCorrupt, "%s: not a segment's name", e.Name())
		}
		l.segments = append(l.segments, &segment{path: filepath.Join(l.folder, e.Name()), first: first})
	}
	sort.Slice(l.segments, func(i, j int) bool { return l.segments[i].first < l.segments[j].first })
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
			return l.cutTorn(s, data, offset, last, d)
		}
		r := &wire.LogRecord{}
		if err := proto.Unmarshal(f.payload, r); err != nil {
			return trace.Wrap(ErrCorrupt, "%s: offset %d: %v", s.path, offset, err)
		}
		if r.Index != s.first+uint64(len(s.ends)) {
			return trace.Wrap(ErrCorrupt, "%s: offset %d: record %d out of order", s.path, offset, r.Index)
		}
		d.Entries = append(d.Entries, r)
		offset = f.end
		s.ends = append(s.ends, offset)
	}
	return nil
}

// cutTorn cuts off a write that a crash left unfinished. Only the end of the
// last segment can be one: a segment is synced whole before the next begins.
func (l *Log) cutTorn(s *segment, data []byte, offset int64, last bool, d *DurableState) error {
	if !last || promisedBeyond(data, offset) {
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
	return l.sync(file)
}

func (l *Log) openLast() error {
	if len(l.segments) == 0 {
		return nil
	}
	s := l.segments[len(l.segments)-1]
	file, err := l.open(s.path, os.O_RDWR)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	l.file, l.synced = file, s.length()
	_, err = file.Seek(l.synced, 0)
	return trace.Wrap(err)
}

func afterSnapshot(records []*wire.LogRecord, s *wire.Snapshot) []*wire.LogRecord {
	for i, r := range records {
		if r.Index > s.GetIndex() {
			return records[i:]
		}
	}
	return nil
}

// checkOrder finds a hole between the snapshot and the records.
func checkOrder(d *DurableState) error {
	next := d.Snapshot.GetIndex() + 1
	for _, r := range d.Entries {
		if r.Index != next {
			return trace.Wrap(ErrCorrupt, "record %d where %d is due", r.Index, next)
		}
		next++
	}
	return nil
}

func (s *segment) length() int64 {
	if len(s.ends) == 0 {
		return 0
	}
	return s.ends[len(s.ends)-1]
}
