// This file defines the limits that keep tasks from being placed.

package drive

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// limit is what keeps tasks of a stage from being placed on an agent.
type limit uint8

// Limits of the placement on an agent.
const (
	noLimit limit = iota
	// cpuLimit is too little free CPU. Explanations split it into capacityLimit and
	// fragmentationLimit, which depends on the other agents.
	cpuLimit
	capacityLimit
	fragmentationLimit
	memoryLimit
	reservationLimit
	interferenceLimit
	// evictedLimit is an agent that the task was evicted from a moment ago.
	evictedLimit
	labelLimit
	spreadLimit
	adviceLimit
	finalAttemptLimit
	quarantineLimit
	dueLimit
	// gangLimit is a member of the previous run of a gang that hasn't ended.
	gangLimit
	unreachableLimit
	leavingLimit
	drainedLimit
	// notReadyLimit is an agent that hasn't answered this leader or reported its capacity
	// yet, or has just refused a start.
	notReadyLimit
	// startsLimit is too many starts that wait to be sent.
	startsLimit
	limitCount
)

var (
	limitNames = [limitCount]string{
		noLimit: "none", cpuLimit: "cpu", capacityLimit: "capacity", fragmentationLimit: "fragmentation", memoryLimit: "memory",
		reservationLimit: "reservation", interferenceLimit: "interference", evictedLimit: "evicted", labelLimit: "label", spreadLimit: "spread", adviceLimit: "advice",
		finalAttemptLimit: "final-attempt", quarantineLimit: "quarantine", dueLimit: "due", gangLimit: "gang",
		unreachableLimit: "unreachable", leavingLimit: "leaving", drainedLimit: "drained", notReadyLimit: "not-ready",
		startsLimit: "starts",
	}
	// stagesLate counts the stages reported by reportLateStages, by limit.
	stagesLate = [limitCount]*metrics.Counter{
		noLimit: metrics.NewCounter(`sycamoredeck_stages_late_total{limit="none"}`),
	}
)

func init() {
	for l := capacityLimit; l < limitCount; l++ {
		stagesLate[l] = metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredeck_stages_late_total{limit=%q}", limitNames[l]))
	}
}

// String returns the name used in answers, counters and logs.
func (l limit) String() string { return limitNames[l] }
