// This file defines tests of the entry table.

package ctrl

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
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
	first := table.changesSince(0, false, now)
	assert.Equal(t, len(first.listed), 2)
	digest := first.digest
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
			changes := table.changesSince(digest, false, now)
			digest = changes.digest
			assert.Equal(t, len(changes.listed), c.listed)
			assert.Assert(t, digest != 0)
		})
	}
}

// knownEntries is what an entry knows of the others.
type knownEntries struct {
	digest    uint64
	addresses map[string]string
}

// update applies what has changed since the last update and returns its size in bytes.
func (k *knownEntries) update(t *entryTable, now time.Time) int {
	changes := t.changesSince(k.digest, true, now)
	if changes.full {
		k.addresses = map[string]string{}
	}
	for _, e := range changes.listed {
		k.addresses[e.EntryId] = e.Address
	}
	for _, id := range changes.removed {
		delete(k.addresses, id)
	}
	k.digest = changes.digest
	return proto.Size(&wire.HelloResponse{Entries: changes.listed, RemovedEntries: changes.removed})
}

// Guards against an entry that misses a change of the others, or keeps one that has gone.
func TestChangesLeadToTheListedEntries(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	table := &entryTable{}
	readers := make([]knownEntries, 5)
	for range 3000 {
		now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		id := strconv.Itoa(random.IntN(100))
		table.record(&wire.EntryStatus{EntryId: id, Address: strconv.Itoa(random.IntN(3))}, now)
		reader := &readers[random.IntN(len(readers))]
		if random.IntN(20) == 0 {
			*reader = knownEntries{} // restarted
		}
		reader.update(table, now)
		want := map[string]string{}
		for _, e := range table.list(now) {
			want[e.EntryId] = e.Address
		}
		assert.DeepEqual(t, reader.addresses, want)
	}
}

// restartCost returns the bytes sent to n entries after one of them has restarted.
func restartCost(n int) int {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	table := &entryTable{}
	for i := range n {
		table.record(&wire.EntryStatus{EntryId: fmt.Sprintf("entry-%05d", i), Address: fmt.Sprintf("10.0.0.1:%05d", i)}, now)
	}
	readers := make([]knownEntries, n)
	for i := range readers {
		readers[i].update(table, now)
	}
	table.record(&wire.EntryStatus{EntryId: "entry-00000", Address: "10.0.0.2:00000"}, now)
	sent := 0
	for i := range readers {
		sent += readers[i].update(table, now)
	}
	return sent
}

// Guards against traffic that grows with the square of the number of entries when one of them
// changes.
func TestCostOfAChangeIsLinear(t *testing.T) {
	small, large := restartCost(100), restartCost(400)
	assert.Assert(t, large <= 4*small, "%d bytes for 100 entries, %d for 400", small, large)
}
