// This file defines the scheduling features that can be switched off.

package drive

import (
	"fmt"
	"slices"
	"strings"
)

// Feature is a scheduling feature that can be switched off for ablation measurements. No
// guarantee depends on a feature: all guarantees hold with every feature off.
type Feature string

// Features.
const (
	// GroupSimilar places standing tasks with the same image on the same agents.
	GroupSimilar Feature = "AlikeTogether"
	// HaltOpportunistic halts all opportunistic runs that are colocated with a standing
	// run which exceeds its latency target for long.
	HaltOpportunistic Feature = "Halts"
	// ReserveForStanding reserves an agent for a standing task that has to be restarted, or
	// for a task on its final attempt.
	ReserveForStanding Feature = "KeepClear"
	// PersistEstimates hands the leader's tail model on to the next leader.
	PersistEstimates Feature = "LearnedKept"
	// EstimateDurations orders stages by estimated instead of declared run times.
	EstimateDurations Feature = "LearnedTimes"
	// Migrate evicts interfering checkpointable runs, which resume on another agent.
	Migrate Feature = "Moves"
	// ReserveForOrdinary reserves capacity for ordinary tasks against new standing tasks.
	ReserveForOrdinary Feature = "Reserve"
	// UsageBasedCapacity derives the capacity for opportunistic tasks from the usage of
	// other tasks instead of their requests.
	UsageBasedCapacity Feature = "RoomByUse"
	// PredictVariation predicts the peak load of standing tasks over a task's run time.
	PredictVariation Feature = "SwingForeseen"
)

// Features lists all features.
var Features = []Feature{
	GroupSimilar, HaltOpportunistic, ReserveForStanding, PersistEstimates, EstimateDurations, Migrate, ReserveForOrdinary, UsageBasedCapacity, PredictVariation,
}

// ParseFeatures parses the names of features.
func ParseFeatures(names []string) (map[Feature]bool, error) {
	named := map[Feature]bool{}
	for _, n := range names {
		f := Feature(strings.TrimSpace(n))
		if !slices.Contains(Features, f) {
			return nil, fmt.Errorf("drive: unknown feature %q, valid features are %v", n, Features)
		}
		named[f] = true
	}
	return named, nil
}

// enabled reports whether a feature is on.
func (e *Engine) enabled(f Feature) bool { return !e.options.Disabled[f] }
