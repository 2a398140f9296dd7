// This file defines the reservation of capacity: for ordinary tasks against new standing
// tasks, and for standing tasks that have to be restarted and tasks on their final attempt.

package drive

import (
	"math"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// reserveFactor is the reserve for ordinary tasks relative to their recent peak
	// demand.
	reserveFactor = 1.2
	// maxReserveShare limits the reserve to a share of a pool's CPU. The demand of a
	// burst can exceed the pool; reserved in full, it would keep standing tasks off idle
	// agents for a minute after the burst.
	maxReserveShare = 0.5
	// demandDecay is the factor by which the recorded peak demand decays per
	// demandDecayInterval. Its half-life is 14 s.
	demandDecay         = 0.95
	demandDecayInterval = time.Second
	// initialReserveShare is the share of a pool's CPU that is reserved for ordinary
	// tasks until some have been seen for initialReservePeriod.
	initialReserveShare  = 0.12
	initialReservePeriod = 8 * time.Second
	// demandUpdateInterval is the interval at which the demand is updated.
	demandUpdateInterval = 50 * time.Millisecond
)

// leavesReserve reports whether placing a new standing task leaves the reserve for
// ordinary tasks free. Standing tasks don't end: without a reserve they would gradually
// occupy all the capacity that is free for a moment, and urgent short tasks would starve.
func (p *pass) leavesReserve(s *graph.Stage) bool {
	pool := p.engine.poolOf(s.Job)
	summary := p.summaries[pool]
	return summary != nil && summary.freeMillis-float64(s.Step.CpuMillis) >= p.engine.ordinaryReserve(pool, summary.capacityMillis)
}

// ordinaryReserve returns the CPU to reserve for the ordinary tasks of a pool with the
// given capacity. A new deployment gets an initial reserve, as all of its standing tasks
// may be submitted before the first ordinary ones.
func (e *Engine) ordinaryReserve(pool string, capacityMillis float64) float64 {
	reserve := e.ordinaryDemand[pool] * reserveFactor
	if since, seen := e.ordinarySince[pool]; !seen || e.now-since < initialReservePeriod {
		reserve = max(reserve, capacityMillis*initialReserveShare)
	}
	return min(reserve, capacityMillis*maxReserveShare)
}

// updateOrdinaryDemand updates the recent peak demand of ordinary tasks by pool, running
// or waiting.
func (e *Engine) updateOrdinaryDemand(stages []*graph.Stage) {
	if e.now < e.nextDemandUpdate {
		return
	}
	e.nextDemandUpdate = e.now + demandUpdateInterval
	if e.ordinaryDemand == nil {
		e.ordinaryDemand, e.ordinarySince = map[string]float64{}, map[string]time.Duration{}
	}
	e.updateSizeDemand(stages)
	demand := map[string]float64{}
	for _, s := range stages {
		if !s.Step.Opportunistic && !s.Standing() {
			demand[e.poolOf(s.Job)] += float64(s.Step.CpuMillis) * float64(s.Unplaced)
		}
	}
	for k, l := range e.runningCPU {
		if k.ordinary {
			demand[e.currentPool(k.queue, k.pool)] += l
		}
	}
	for p, n := range demand {
		if _, seen := e.ordinarySince[p]; !seen && n > 0 {
			e.ordinarySince[p] = e.now
		}
		e.ordinaryDemand[p] = max(n, e.ordinaryDemand[p])
	}
	if e.now < e.nextDemandDecay {
		return
	}
	e.nextDemandDecay = e.now + demandDecayInterval
	for p := range e.ordinaryDemand {
		e.ordinaryDemand[p] = max(demand[p], e.ordinaryDemand[p]*demandDecay)
	}
}

// reserveForStanding reserves an agent for a standing task that ran before, or for a task
// on its final attempt: nothing else is placed there until the task fits. Otherwise short
// tasks would fill each gap before it is large enough, and there would always be
// unconfirmed runs next to a final attempt. The agent stays the same over all passes.
func (p *pass) reserveForStanding(t *graph.Task, candidates []*freeResources) {
	var best *freeResources
	for _, f := range candidates {
		if f.reservedFor != nil || !f.fitsExceptCPU(t.Stage) || f.cpuMillis+f.ordinaryMillis < float64(t.Stage.Step.CpuMillis) ||
			math.IsInf(p.healthCost(t, f), 1) {
			continue
		}
		if f.agent.record.Id == p.engine.reservations[t] {
			best = f
			break
		}
		if best == nil || f.cpuMillis+f.ordinaryMillis > best.cpuMillis+best.ordinaryMillis {
			best = f
		}
	}
	if best == nil {
		delete(p.engine.reservations, t)
		return
	}
	best.reservedFor = t.Stage
	p.engine.reservations[t] = best.agent.record.Id
}
