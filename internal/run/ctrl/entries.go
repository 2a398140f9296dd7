// This file defines the table of entries that are connected to a control replica.

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

type (
	entryRecord struct {
		status   *wire.EntryStatus
		lastSeen time.Time
	}

	// entryTable holds the entries and their last hello as soft state. The zero value is an
	// empty table.
	entryTable struct {
		mu      sync.Mutex
		entries map[string]entryRecord
	}
)

func (t *entryTable) record(e *wire.EntryStatus, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = map[string]entryRecord{}
	}
	t.entries[e.EntryId] = entryRecord{e, now}
}

// list returns the entries whose last hello is within entryTTL, ordered by ID.
func (t *entryTable) list(now time.Time) []*wire.EntryStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*wire.EntryStatus
	for id, e := range t.entries {
		age := now.Sub(e.lastSeen)
		if age > entryTTL {
			delete(t.entries, id)
			continue
		}
		s := proto.Clone(e.status).(*wire.EntryStatus)
		s.HeardAgo = durationpb.New(age)
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].EntryId < list[j].EntryId })
	return list
}

// listIfChanged returns the entries and their digest, or only the digest if it is the known
// one. Traffic would grow with the square of the number of entries if each response listed
// all of them.
func (t *entryTable) listIfChanged(known uint64, now time.Time) ([]*wire.EntryStatus, uint64) {
	digest := t.digest(now)
	if digest == known {
		return nil, digest
	}
	return t.list(now), digest
}

// digest returns a hash of the IDs, addresses and failure domains of the listed entries. It
// is never 0.
func (t *entryTable) digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := uint64(0)
	for _, e := range t.entries {
		if now.Sub(e.lastSeen) <= entryTTL {
			// A sum doesn't depend on the order of iteration.
			sum += xxhash.Sum64String(e.status.EntryId + "\x00" + e.status.Address + "\x00" + e.status.FailureDomain)
		}
	}
	return max(sum, 1)
}
