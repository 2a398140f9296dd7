// This file defines entryTable, the entries that are connected to a control replica.

package ctrl

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// expiryInterval is how often entries are checked for expiry.
	expiryInterval = 100 * time.Millisecond
	// minEntryChanges is the least length of the history of changes. With more entries it is
	// as long as their list, beyond which the full list is shorter than the changes.
	minEntryChanges = 64
)

type (
	entryRecord struct {
		status   *wire.EntryStatus
		hash     uint64
		lastSeen time.Time
	}

	// entryTable holds the entries and their last hello as soft state. The zero value is an
	// empty table.
	//
	// It keeps the latest changes, so that an entry that knows an earlier state is sent only
	// the difference. With full lists the traffic of each change would grow with the square
	// of the number of entries.
	entryTable struct {
		mu         sync.Mutex
		entries    map[string]entryRecord
		nextExpiry time.Time
		sum        uint64 // of the hashes of all entries; doesn't depend on their order
		// changed are the IDs of the entries that were added, changed or removed, oldest
		// first. dropped counts the changes that are no longer in it.
		changed []string
		dropped int
		// positions maps digests to the number of changes that led to them, and digests are
		// its keys in the order of changed.
		positions map[uint64]int
		digests   []uint64
	}

	// entryChanges is an answer to an entry that knows an earlier state of the table.
	entryChanges struct {
		digest uint64
		// listed are the added and changed entries, or all of them if full is set.
		listed  []*wire.EntryStatus
		removed []string
		full    bool
	}
)

// hashOf returns the hash of what is listed of an entry for other entries.
func hashOf(e *wire.EntryStatus) uint64 {
	return xxhash.Sum64String(e.EntryId + "\x00" + e.Address + "\x00" + e.FailureDomain)
}

// record records a hello.
func (t *entryTable) record(e *wire.EntryStatus, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries, t.positions = map[string]entryRecord{}, map[uint64]int{}
	}
	known, hash := t.entries[e.EntryId], hashOf(e)
	t.entries[e.EntryId] = entryRecord{e, hash, now}
	if known.hash != hash {
		t.recordChange(e.EntryId, hash-known.hash)
	}
	t.expire(now)
}

// expire removes the entries whose last hello is older than entryTTL.
func (t *entryTable) expire(now time.Time) {
	if now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(expiryInterval)
	for id, e := range t.entries {
		if now.Sub(e.lastSeen) > entryTTL {
			delete(t.entries, id)
			t.recordChange(id, -e.hash)
		}
	}
}

// recordChange adds a change of the sum of hashes to the history.
func (t *entryTable) recordChange(id string, difference uint64) {
	t.positions[t.digest()] = t.dropped + len(t.changed)
	t.digests = append(t.digests, t.digest())
	t.changed = append(t.changed, id)
	t.sum += difference
	for len(t.changed) > max(len(t.entries), minEntryChanges) {
		if oldest := t.digests[0]; t.positions[oldest] == t.dropped {
			delete(t.positions, oldest)
		}
		t.changed, t.digests = t.changed[1:], t.digests[1:]
		t.dropped++
	}
}

// digest identifies the listed entries, their addresses and failure domains. It is never 0.
func (t *entryTable) digest() uint64 { return max(t.sum, 1) }

// list returns the entries whose last hello is within entryTTL, ordered by ID.
func (t *entryTable) list(now time.Time) []*wire.EntryStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	list := make([]*wire.EntryStatus, 0, len(t.entries))
	for _, e := range t.entries {
		s := proto.Clone(e.status).(*wire.EntryStatus)
		s.HeardAgo = durationpb.New(now.Sub(e.lastSeen))
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].EntryId < list[j].EntryId })
	return list
}

// changesSince returns the difference to the state with a digest, or all entries if it isn't
// known or changesOnly is false. The statuses must not be modified.
func (t *entryTable) changesSince(known uint64, changesOnly bool, now time.Time) entryChanges {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	c := entryChanges{digest: t.digest()}
	if c.digest == known {
		return c
	}
	position, inHistory := t.positions[known]
	if !changesOnly || !inHistory {
		c.full = true
		for _, e := range t.entries {
			c.listed = append(c.listed, e.status)
		}
		return c
	}
	seen := map[string]bool{}
	for _, id := range t.changed[position-t.dropped:] {
		if seen[id] {
			continue
		}
		seen[id] = true
		if e, listed := t.entries[id]; listed {
			c.listed = append(c.listed, e.status)
		} else {
			c.removed = append(c.removed, id)
		}
	}
	return c
}
