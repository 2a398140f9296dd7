// This file defines Divider, which divides a backend server's slots among entries.

// Package slots divides the slots of backend servers among entries without communication.
// Every slot belongs to the entry with the highest hash for it (rendezvous hashing).
// Entries with the same view of each other never use more slots than exist, and a change
// of entries moves only the slots of the added and removed ones.
package slots

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// previousView is a list of entries that other entries may still use.
	previousView struct {
		entries []string
		until   time.Time
	}

	// Divider computes an entry's share of slots. It is immutable. The zero value has no
	// share.
	Divider struct {
		self       string
		entries    []string
		previous   []previousView
		settleTime time.Duration
	}
)

// WithEntries returns the divider for a new list of entries, valid from now on. Slots that
// the new list takes away are lost immediately. Slots that it adds may be used only after
// settleTime, within which the other entries learn of the change: a slot may be used only
// by the entry that owns it in all lists of that time.
func (d Divider) WithEntries(self string, entries []string, now time.Time, settleTime time.Duration) Divider {
	next := Divider{self: self, entries: entries, settleTime: settleTime}
	for _, p := range d.previous {
		if now.Before(p.until) {
			next.previous = append(next.previous, p)
		}
	}
	next.previous = append(next.previous, previousView{d.entries, now.Add(settleTime)})
	return next
}

// Entries returns the current list of entries.
func (d Divider) Entries() []string { return d.entries }

// Settled reports whether all slots of the current list may be used.
func (d Divider) Settled(now time.Time) bool {
	for _, p := range d.previous {
		if now.Before(p.until) {
			return false
		}
	}
	return true
}

// Share returns the number of a backend server's slots that this entry may use.
func (d Divider) Share(server string, slots uint32, now time.Time) int {
	share := 0
	for s := range slots {
		if d.owns(server, s, now) {
			share++
		}
	}
	return share
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
