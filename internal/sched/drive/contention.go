// This file defines how CPU contention on agents is avoided and relieved.

package drive

const (
	// contentionCost is the cost, in run times, of placing an ordinary task where the
	// expected usage would exceed the agent's CPU by all of its capacity. A task that
	// would use a tenth more than there is prefers any agent without contention.
	contentionCost = 4.0
	// contendedUtilization is the expected CPU usage of an agent, as a share of its
	// capacity, above which opportunistic runs are evicted. From about 1.2 on the tail
	// latencies of all standing tasks on the agent rise, whatever runs there.
	contendedUtilization = 1.1
)

// contention returns by how much the expected CPU usage of an agent would exceed its
// capacity with one more task, as a share of the capacity. Ordinary tasks are admitted by
// requests, which don't count opportunistic runs, so a burst of ordinary work can take an
// agent full of opportunistic runs far beyond its capacity.
func (f *freeResources) contention(cpuMillis float64) float64 {
	return max(cpuMillis-f.reclaimable, 0) / max(f.capacityMillis, 1)
}

// relieveContention takes opportunistic runs off the CPU of an agent whose expected CPU usage
// exceeds contendedUtilization, until it is within the capacity: the runs of the latest jobs,
// and only those that can resume from a checkpoint. It evicts those that can continue
// elsewhere, and halts the others. It returns whether it did anything.
func (e *Engine) relieveContention(a *agent) (relieved bool) {
	if !e.enabled(ContentionAware) {
		return false
	}
	expected := e.expectedUtilization(a)
	if expected <= contendedUtilization {
		return false
	}
	excess := expected - maxUtilization
	runs := throttleableRuns(a)
	evicted, halted := 0, 0
	for i := len(runs) - 1; i >= 0 && excess > 0; i-- {
		r := runs[i]
		if step := r.task.Stage.Step; !step.Checkpointable || step.Gang {
			continue
		}
		excess -= r.currentShare()
		if e.mayEvict(r) {
			e.evict(r, "agent's CPU is overcommitted")
			contentionEvictions.Inc()
			evicted++
		} else {
			halted++
		}
		e.setThrottle(r, 0, nil)
	}
	if evicted+halted == 0 {
		return false
	}
	a.throttleChangedAt = e.now
	e.options.Logger.Info("contention relieved", "agent", a.record.Id, "expected_utilization", expected, "evicted", evicted, "halted", halted)
	return true
}
