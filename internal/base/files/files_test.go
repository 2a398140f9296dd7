// This file defines tests of the division of descriptors and the opening of files.

package files

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNewBudget(t *testing.T) {
	cases := []struct {
		name            string
		setting         uint32
		agents, callers int
	}{
		{"a small limit", 200, minShare, minShare},
		{"a thousand", 1000, 360, 180},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewBudget(c.setting)
			assert.Equal(t, b.Agents, c.agents)
			assert.Equal(t, b.Callers, c.callers)
			assert.Assert(t, b.Peers > 0 && NewEntryBudget(c.setting).Callers >= b.Callers)
		})
	}
	t.Run("no setting", func(t *testing.T) {
		b := NewBudget(0)
		assert.Assert(t, b.Limit > 0 && b.Agents+b.Callers <= max(b.Limit, 2*minShare))
	})
}

// Guards against a leader that exits with "disk failed" because all descriptors are in use
// when a snapshot is due.
func TestOpenWaitsForADescriptor(t *testing.T) {
	exhausted := &os.PathError{Op: "open", Path: "snapshot.new", Err: syscall.EMFILE}
	failing := &os.PathError{Op: "open", Path: "snapshot.new", Err: syscall.EIO}
	cases := []struct {
		name     string
		errs     []error // of the first attempts
		attempts int
		want     error
	}{
		{"no error", nil, 1, nil},
		{"temporary", []error{exhausted, exhausted}, 3, nil},
		{"disk failure", []error{failing}, 1, syscall.EIO},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			attempts, waits := 0, 0
			_, err := openWithRetry(func() (*os.File, error) {
				attempts++
				if attempts <= len(c.errs) {
					return nil, c.errs[attempts-1]
				}
				return nil, nil
			}, func(time.Duration) {}, func(error) { waits++ })
			assert.Equal(t, attempts, c.attempts)
			assert.Equal(t, waits, min(len(c.errs), 1)*boolCount(c.want == nil))
			assert.Assert(t, (err == nil) == (c.want == nil), "%v", err)
		})
	}
	t.Run("permanent", func(t *testing.T) {
		_, err := openWithRetry(func() (*os.File, error) { return nil, exhausted }, func(time.Duration) {}, nil)
		assert.Assert(t, IsDescriptorExhausted(err))
	})
}

func boolCount(b bool) int {
	if b {
		return 1
	}
	return 0
}
