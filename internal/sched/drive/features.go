// This file defines the scheduling features that can be switched off.

package drive

import "sycamoredeck.example/internal/base/setup"

// Feature is a scheduling feature that can be switched off for ablation measurements, or an
// optional one that can be switched on. No guarantee depends on a feature.
type Feature string

// Features that are on unless they are switched off.
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

// Optional features, which are off unless they are switched on.
const (
	// AgentHealth quarantines agents that fail the runs of several jobs, and avoids slow
	// agents.
	AgentHealth Feature = "AgentHealth"
	// ContentionAware places ordinary tasks where CPU is unused, and evicts opportunistic
	// runs from agents whose CPU is overcommitted.
	ContentionAware Feature = "ContentionAware"
	// FragmentationAware keeps free capacity in pieces of the sizes that ordinary work
	// requests.
	FragmentationAware Feature = "FragmentationAware"
	// JobAdmission refuses jobs that can't be served in time.
	JobAdmission Feature = "JobAdmission"
)

var (
	// Features lists the features that are on unless they are switched off.
	Features = []Feature{
		GroupSimilar, HaltOpportunistic, ReserveForStanding, PersistEstimates, EstimateDurations, Migrate, ReserveForOrdinary, UsageBasedCapacity, PredictVariation,
	}
	// OptionalFeatures lists the features that are off unless they are switched on.
	OptionalFeatures = []Feature{AgentHealth, ContentionAware, FragmentationAware, JobAdmission}
)

// ParseFeatures parses names of features that can be switched off.
func ParseFeatures(names []string) (map[Feature]bool, error) {
	return setup.ParseSwitches(names, Features)
}

// ParseOptionalFeatures parses names of features that can be switched on.
func ParseOptionalFeatures(names []string) (map[Feature]bool, error) {
	return setup.ParseSwitches(names, OptionalFeatures)
}

// enabled reports whether a feature is on.
func (e *Engine) enabled(f Feature) bool {
	switch f {
	case AgentHealth, ContentionAware, FragmentationAware, JobAdmission:
		return e.options.Enabled[f]
	default:
		return !e.options.Disabled[f]
	}
}
