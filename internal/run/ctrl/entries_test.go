// This file defines tests of the entry table.

package ctrl

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Guards against listing all entries in each response, whose traffic grows with the square
// of the number of entries.
func TestUnchangedEntriesAreNotListed(t *testing.T) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	table := &entryTable{}
	hello := func(id, address string, version uint64) {
		table.record(&wire.EntryStatus{EntryId: id, Address: address, ConfigurationVersion: version}, now)
	}
	hello("a", "10.0.0.1:1", 1)
	hello("b", "10.0.0.2:1", 1)
	list, digest := table.listIfChanged(0, now)
	assert.Equal(t, len(list), 2)
	cases := []struct {
		name   string
		change func()
		listed int
	}{
		{"nothing changed", func() {}, 0},
		{"hello with another version", func() { hello("a", "10.0.0.1:1", 2) }, 0},
		{"new entry", func() { hello("c", "10.0.0.3:1", 2) }, 3},
		{"entry with another address", func() { hello("b", "10.0.0.9:1", 2) }, 3},
		{"all expired", func() { now = now.Add(2 * entryTTL) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.change()
			before := digest
			list, digest = table.listIfChanged(before, now)
			assert.Equal(t, len(list), c.listed)
			assert.Assert(t, digest != 0)
		})
	}
}
