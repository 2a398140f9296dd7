// This file defines the tests of the log.

package walog_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/walog"
)

func testEntries(from, to, term uint64) []*wire.LogRecord {
	var entries []*wire.LogRecord
	for i := from; i <= to; i++ {
		entries = append(entries, &wire.LogRecord{Index: i, Term: term, Command: &wire.Command{
			Body: &wire.Command_FailJob{FailJob: &wire.FailJob{JobId: "some-job-id", Reason: "x"}},
		}})
	}
	return entries
}

func open(t testing.TB, folder string) (*walog.Log, *walog.DurableState) {
	t.Helper()
	l, d, err := walog.Open(folder, walog.Options{SegmentSize: 512})
	assert.NilError(t, err)
	return l, d
}

func assertEntries(t testing.TB, got []*wire.LogRecord, want []*wire.LogRecord) {
	t.Helper()
	assert.Equal(t, len(got), len(want))
	for i := range got {
		assert.Equal(t, got[i].Index, want[i].Index)
		assert.Equal(t, got[i].Term, want[i].Term)
	}
}

// Compares the log with a slice under random appends, overwrites, snapshots and reopens.
func TestLogKeepsSyncedEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "log")
		assert.NilError(rt, err)
		l, _ := open(t, folder)
		var model []*wire.LogRecord
		var snapshot, term uint64 = 0, 1
		last := func() uint64 { return snapshot + uint64(len(model)) }
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0, 1:
				from := last() + 1
				if len(model) > 0 && rapid.Bool().Draw(rt, "overwrite") {
					from = snapshot + uint64(rapid.IntRange(1, len(model)).Draw(rt, "from"))
					term++
				}
				batch := testEntries(from, from+uint64(rapid.IntRange(0, 12).Draw(rt, "count")), term)
				assert.NilError(rt, l.Append(batch))
				model = append(model[:from-snapshot-1:from-snapshot-1], batch...)
			case 2:
				at := snapshot + uint64(rapid.IntRange(0, len(model)).Draw(rt, "at"))
				assert.NilError(rt, l.WriteSnapshot(&wire.Snapshot{Index: at, Term: term}))
				assert.NilError(rt, l.Compact(at, false))
				model, snapshot = model[at-snapshot:], at
			case 3:
				at := last() + 5
				assert.NilError(rt, l.WriteSnapshot(&wire.Snapshot{Index: at, Term: term}))
				assert.NilError(rt, l.Compact(at, true))
				model, snapshot = nil, at
			case 4:
				assert.NilError(rt, l.Close())
				var d *walog.DurableState
				l, d = open(t, folder)
				assert.Equal(rt, d.Snapshot.GetIndex(), snapshot)
				assert.Equal(rt, d.TornBytes, int64(0))
				assertEntries(t, d.Entries, model)
			}
		}
		assert.NilError(rt, l.Close())
	})
}

// segmentFiles returns the paths of the segment files in order.
func segmentFiles(t *testing.T, folder string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "log-*"))
	assert.NilError(t, err)
	return paths
}

// Guards against treating a write that a crash left incomplete as corruption, so that the
// replica couldn't start.
func TestTornTailIsTruncated(t *testing.T) {
	folder := t.TempDir()
	l, _, err := walog.Open(folder, walog.Options{})
	assert.NilError(t, err)
	assert.NilError(t, l.Append(testEntries(1, 3, 1)))
	path := segmentFiles(t, folder)[0]
	before, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, l.Append(testEntries(4, 5, 1)))
	assert.NilError(t, l.Close())
	intact, err := os.ReadFile(path)
	assert.NilError(t, err)
	for at := len(before) + 1; at < len(intact); at++ {
		assert.NilError(t, os.WriteFile(path, intact[:at], 0o600))
		l, d, err := walog.Open(folder, walog.Options{})
		assert.NilError(t, err, "cut at %d", at)
		assert.Assert(t, len(d.Entries) >= 3 && len(d.Entries) < 5, "cut at %d: %d entries", at, len(d.Entries))
		assert.NilError(t, l.Append(testEntries(uint64(len(d.Entries))+1, 6, 2)))
		assert.NilError(t, l.Close())
		l, d, err = walog.Open(folder, walog.Options{})
		assert.NilError(t, err)
		assert.Equal(t, len(d.Entries), 6)
		assert.NilError(t, l.Close())
	}
}

// Guards against silently dropping synced entries after a corrupt one as if they were a
// torn tail.
func TestCorruptionIsNotTreatedAsTornTail(t *testing.T) {
	folder := t.TempDir()
	l, _, err := walog.Open(folder, walog.Options{})
	assert.NilError(t, err)
	assert.NilError(t, l.Append(testEntries(1, 1, 1)))
	assert.NilError(t, l.Append(testEntries(2, 2, 1)))
	assert.NilError(t, l.Append(testEntries(3, 3, 1)))
	assert.NilError(t, l.Close())
	path := segmentFiles(t, folder)[0]
	intact, err := os.ReadFile(path)
	assert.NilError(t, err)
	entrySize := len(intact) / 3
	for at := range 2 * entrySize {
		damaged := append([]byte(nil), intact...)
		damaged[at] ^= 0x10
		assert.NilError(t, os.WriteFile(path, damaged, 0o600))
		_, _, err := walog.Open(folder, walog.Options{})
		assert.ErrorIs(t, err, walog.ErrCorrupt, "byte %d", at)
	}
}

func TestCorruptionIsDetected(t *testing.T) {
	cases := []struct {
		name   string
		damage func(t *testing.T, folder string)
	}{
		{"missing segment in the middle", func(t *testing.T, folder string) {
			assert.NilError(t, os.Remove(segmentFiles(t, folder)[1]))
		}},
		{"truncated older segment", func(t *testing.T, folder string) {
			assert.NilError(t, os.Truncate(segmentFiles(t, folder)[0], 20))
		}},
		{"corrupt vote", func(t *testing.T, folder string) {
			assert.NilError(t, os.WriteFile(filepath.Join(folder, "vote"), []byte("nonsense"), 0o600))
		}},
		{"corrupt snapshot", func(t *testing.T, folder string) {
			assert.NilError(t, os.WriteFile(filepath.Join(folder, "snapshot"), []byte("nonsense"), 0o600))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			l, _ := open(t, folder)
			for i := uint64(1); i < 60; i++ {
				assert.NilError(t, l.Append(testEntries(i, i, 1)))
			}
			assert.Assert(t, len(segmentFiles(t, folder)) >= 3)
			assert.NilError(t, l.Close())
			c.damage(t, folder)
			_, _, err := walog.Open(folder, walog.Options{})
			assert.ErrorIs(t, err, walog.ErrCorrupt)
		})
	}
}

// Guards against retrying a failed sync. The error must be returned so that the caller
// stops.
func TestSyncErrorIsReturned(t *testing.T) {
	diskErr := errors.New("input/output error")
	fail := false
	l, _, err := walog.Open(t.TempDir(), walog.Options{Sync: func(f *os.File) error {
		if fail {
			return diskErr
		}
		return f.Sync()
	}})
	assert.NilError(t, err)
	assert.NilError(t, l.Append(testEntries(1, 1, 1)))
	fail = true
	assert.ErrorIs(t, l.Append(testEntries(2, 2, 1)), diskErr)
	assert.ErrorIs(t, l.SaveVote(&wire.Vote{Term: 3}), diskErr)
	assert.ErrorIs(t, l.WriteSnapshot(&wire.Snapshot{Index: 1}), diskErr)
}

func TestFolderIsLocked(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder)
	_, _, err := walog.Open(folder, walog.Options{})
	assert.ErrorContains(t, err, "in use")
	assert.NilError(t, l.Close())
	l, _ = open(t, folder)
	assert.NilError(t, l.Close())
}
