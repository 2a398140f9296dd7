// This file defines the list of entries that a control replica hears.

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

	// entryTable is the soft list of entries. The zero value is empty.
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

// list returns the entries heard lately, in the order of their ids.
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

// listIfChanged returns the entries and their digest, or the digest alone where it is the
// known one. With all entries in each answer, what entries and replicas tell each
// other grows with the square of the entries.
func (t *entryTable) listIfChanged(known uint64, now time.Time) ([]*wire.EntryStatus, uint64) {
	digest := t.digest(now)
	if digest == known {
		return nil, digest
	}
	return t.list(now), digest
}

// digest tells apart which entries were heard lately and where they are; it isn't 0.
func (t *entryTable) digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := uint64(0)
	for _, e := range t.entries {
		if now.Sub(e.lastSeen) <= entryTTL {
			// Added up, since a map has no order.
			sum += xxhash.Sum64String(e.status.EntryId + "\x00" + e.status.Address + "\x00" + e.status.FailureDomain)
		}
	}
	return max(sum, 1)
}
