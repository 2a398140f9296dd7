// This file tests the list of entries that a control replica hears.

package ctrl

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Symptom: the links of entries and replicas are half full while nothing happens.
// Sequence: more and more entries. Cause: each answer to each entry's hello, more than
// one a second from each replica, described all entries.
func TestKnownEntriesAreNotTold(t *testing.T) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	table := &entryTable{}
	hear := func(id, address string, version uint64) {
		table.record(&wire.EntryStatus{EntryId: id, Address: address, ConfigurationVersion: version}, now)
	}
	hear("a", "10.0.0.1:1", 1)
	hear("b", "10.0.0.2:1", 1)
	list, digest := table.listIfChanged(0, now)
	assert.Equal(t, len(list), 2)
	cases := []struct {
		name   string
		change func()
		told   int
	}{
		{"nothing changed", func() {}, 0},
		{"heard again, with another version", func() { hear("a", "10.0.0.1:1", 2) }, 0},
		{"a new one", func() { hear("c", "10.0.0.3:1", 2) }, 3},
		{"one moved", func() { hear("b", "10.0.0.9:1", 2) }, 3},
		{"all silent", func() { now = now.Add(2 * entryTTL) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.change()
			before := digest
			list, digest = table.listIfChanged(before, now)
			assert.Equal(t, len(list), c.told)
			assert.Assert(t, digest != 0)
		})
	}
}
