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
type Feature string

// The mechanisms.
const (
	// GroupSimilar places standing tasks of one image on the same agents.
	GroupSimilar Feature = "AlikeTogether"
	// Halts stops all opportunistic work beside a standing run that is over its target
	// for long.
	HaltOpportunistic Feature = "Halts"
	// ReserveForStanding lets room grow for a standing task that has to come back.
	ReserveForStanding Feature = "KeepClear"
	// PersistEstimates hands what a leader learned to the next one.
	PersistEstimates Feature = "LearnedKept"
	// EstimateDurations orders work by how long it is found to take, not by what is declared.
	EstimateDurations Feature = "LearnedTimes"
	// Moves stops disturbing runs that save their progress, to resume elsewhere.
	Migrate Feature = "Moves"
	// Reserve keeps room for ordinary work against standing tasks that are new.
	ReserveForOrdinary Feature = "Reserve"
	// UsageBasedCapacity takes what is used, not what is declared, for the room of
	// opportunistic work.
	UsageBasedCapacity Feature = "RoomByUse"
	// PredictVariation looks for the peak of standing tasks' own loads over a run's time.
	PredictVariation Feature = "SwingForeseen"
)

// Mechanisms are all that can be switched off.
var Features = []Feature{
	GroupSimilar, HaltOpportunistic, ReserveForStanding, PersistEstimates, EstimateDurations, Migrate, ReserveForOrdinary, UsageBasedCapacity, PredictVariation,
}

// ParseFeatures reads names of mechanisms.
func ParseFeatures(names []string) (map[Feature]bool, error) {
	named := map[Feature]bool{}
	for _, name := range names {
		m := Feature(strings.TrimSpace(name))
		if !slices.Contains(Features, m) {
			return nil, fmt.Errorf("drive: no mechanism %q; there are %v", name, Features)
		}
		named[m] = true
	}
	return named, nil
}

// on tells whether a mechanism is in force.
func (e *Engine) enabled(m Feature) bool { return !e.options.Disabled[m] }
