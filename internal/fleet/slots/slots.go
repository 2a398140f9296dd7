// This file defines how entries divide a backend server's slots.

// Package slots divides the slots of backend servers among entries without a
// message between them: every slot belongs to the entry with the highest hash
// for it (rendezvous hashing), so that entries with the same view of each
// other never use more than there are, and a change of entries moves only the
// slots of those that came or went.
package slots

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// previousView is a view that may still be in force at other entries.
	previousView struct {
		entries []string
		until   time.Time
	}

	// Divider gives an entry's part of slots. The zero value owns nothing. It
	// is immutable; WithEntries gives its successor.
	Divider struct {
		self       string
		entries    []string
		previous   []previousView
		settleTime time.Duration
	}
)

// WithEntries returns the divider for a new view of the entries, from now on.
// What the new view takes away is gone at once. What it adds counts only after
// the settling time, within which the others learn of the change: a slot may
// be used only by the entry that owned it in every view of that time.
func (d Divider) WithEntries(self string, entries []string, now time.Time, settling time.Duration) Divider {
	next := Divider{self: self, entries: entries, settleTime: settling}
	for _, p := range d.previous {
		if now.Before(p.until) {
			next.previous = append(next.previous, p)
		}
	}
	next.previous = append(next.previous, previousView{d.entries, now.Add(settling)})
	return next
}

// Entries is the present view.
func (d Divider) Entries() []string { return d.entries }

// Settled tells whether all slots of the present view may be used.
func (d Divider) Settled(now time.Time) bool {
	for _, p := range d.previous {
		if now.Before(p.until) {
			return false
		}
	}
	return true
}

// Share returns how many of a backend server's slots this entry may use.
func (d Divider) Share(server string, slots uint32, now time.Time) int {
	part := 0
	for slot := range slots {
		if d.owns(server, slot, now) {
			part++
		}
	}
	return part
}

func (d Divider) owns(server string, slot uint32, now time.Time) bool {
	if owner(d.entries, server, slot) != d.self {
		return false
	}
	for _, p := range d.previous {
		if now.Before(p.until) && owner(p.entries, server, slot) != d.self {
			return false
		}
	}
	return len(d.entries) > 0
}

func owner(entries []string, server string, slot uint32) string {
	var best string
	var bestHash uint64
	for _, e := range entries {
		if h := weight(e, server, slot); best == "" || h > bestHash || (h == bestHash && e < best) {
			best, bestHash = e, h
		}
	}
	return best
}

func weight(entry, server string, slot uint32) uint64 {
	buffer := make([]byte, 0, len(entry)+len(server)+5)
	buffer = append(buffer, entry...)
	buffer = append(buffer, 0)
	buffer = append(buffer, server...)
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(buffer, slot))
}
