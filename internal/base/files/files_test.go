// This file tests the shares of descriptors and the opening of files.

package files

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestShare(t *testing.T) {
	cases := []struct {
		name            string
		setting         uint32
		agents, callers int
	}{
		{"a small limit", 200, leastShare, leastShare},
		{"a thousand", 1000, 360, 180},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewBudget(c.setting)
			assert.Equal(t, b.Agents, c.agents)
			assert.Equal(t, b.Callers, c.callers)
		})
	}
	t.Run("no setting", func(t *testing.T) {
		b := NewBudget(0)
		assert.Assert(t, b.Limit > 0 && b.Agents+b.Callers <= max(b.Limit, 2*leastShare))
	})
}

// Symptom: a leader ends by itself with "disk failed", and so does the next one.
// Sequence: connections take all descriptors; a snapshot is due. Cause: that no
// descriptor was left was taken for a failed disk, though one is free a moment later.
func TestOpenWaitsForADescriptor(t *testing.T) {
	lacking := &os.PathError{Op: "open", Path: "snapshot.new", Err: syscall.EMFILE}
	failing := &os.PathError{Op: "open", Path: "snapshot.new", Err: syscall.EIO}
	cases := []struct {
		name  string
		errs  []error // of the first tries
		tries int
		want  error
	}{
		{"at once", nil, 1, nil},
		{"after a while", []error{lacking, lacking}, 3, nil},
		{"a failed disk", []error{failing}, 1, syscall.EIO},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tries, told := 0, 0
			_, err := retry(func() (*os.File, error) {
				tries++
				if tries <= len(c.errs) {
					return nil, c.errs[tries-1]
				}
				return nil, nil
			}, func(time.Duration) {}, func(error) { told++ })
			assert.Equal(t, tries, c.tries)
			assert.Equal(t, told, min(len(c.errs), 1)*boolCount(c.want == nil))
			assert.Assert(t, (err == nil) == (c.want == nil), "%v", err)
		})
	}
	t.Run("never", func(t *testing.T) {
		_, err := retry(func() (*os.File, error) { return nil, lacking }, func(time.Duration) {}, nil)
		assert.Assert(t, IsDescriptorExhausted(err))
	})
}

func boolCount(b bool) int {
	if b {
		return 1
	}
	return 0
}
