// This file defines the mechanisms of placement that can be switched off.

package drive

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of how work is placed that can be switched off, to find out
// what it is worth. None of them keeps a promise on its own: what must hold does so
// with all of them off.
type Mechanism string

// The mechanisms.
const (
	// AlikeTogether places standing tasks of one image on the same agents.
	AlikeTogether Mechanism = "AlikeTogether"
	// Halts stops all opportunistic work beside a standing run that is over its target
	// for long.
	Halts Mechanism = "Halts"
	// KeepClear lets room grow for a standing task that has to come back.
	KeepClear Mechanism = "KeepClear"
	// LearnedKept hands what a leader learned to the next one.
	LearnedKept Mechanism = "LearnedKept"
	// LearnedTimes orders work by how long it is found to take, not by what is declared.
	LearnedTimes Mechanism = "LearnedTimes"
	// Moves stops disturbing runs that save their progress, to resume elsewhere.
	Moves Mechanism = "Moves"
	// Reserve keeps room for ordinary work against standing tasks that are new.
	Reserve Mechanism = "Reserve"
	// RoomByUse takes what is used, not what is declared, for the room of
	// opportunistic work.
	RoomByUse Mechanism = "RoomByUse"
	// SwingForeseen looks for the peak of standing tasks' own loads over a run's time.
	SwingForeseen Mechanism = "SwingForeseen"
)

// Mechanisms are all that can be switched off.
var Mechanisms = []Mechanism{
	AlikeTogether, Halts, KeepClear, LearnedKept, LearnedTimes, Moves, Reserve, RoomByUse, SwingForeseen,
}

// ParseMechanisms reads names of mechanisms.
func ParseMechanisms(names []string) (map[Mechanism]bool, error) {
	named := map[Mechanism]bool{}
	for _, name := range names {
		m := Mechanism(strings.TrimSpace(name))
		if !slices.Contains(Mechanisms, m) {
			return nil, fmt.Errorf("drive: no mechanism %q; there are %v", name, Mechanisms)
		}
		named[m] = true
	}
	return named, nil
}

// on tells whether a mechanism is in force.
func (e *Engine) on(m Mechanism) bool { return !e.options.Off[m] }
