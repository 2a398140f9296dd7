// This file defines how room is kept: for ordinary work against standing tasks
// that are new, and for standing tasks that have to come back.

package drive

import (
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// reserveFactor is how much room is kept for ordinary work when standing
	// tasks come: the most of it that lately ran or waited, and some.
	reserveFactor = 1.2
	// maxReserveShare is the part of a pool's processors that is kept at most. More waits at
	// times than the whole pool could do at once; kept in full, that need would turn
	// standing tasks away for a minute after it is gone, from agents that are idle.
	maxReserveShare = 0.5
	// demandDecay is what is left of a past need after demandDecayInterval: half of it
	// after 14 s, some bursts long.
	demandDecay         = 0.95
	demandDecayInterval = time.Second
	// initialReserveShare is the part of a pool's processors that is kept for ordinary work
	// until some of it was seen for initialReservePeriod.
	initialReserveShare  = 0.12
	initialReservePeriod = 8 * time.Second
	// demandUpdateInterval is how often the need is worked out.
	demandUpdateInterval = 50 * time.Millisecond
)

// spares tells whether enough room is left for ordinary work if a new standing
// task is placed. Standing tasks stay; without a reserve they take, one by one,
// all that others leave for a moment, and short urgent work then waits for as
// long as they stay.
func (p *pass) leavesReserve(s *graph.Stage) bool {
	pool := p.engine.poolOf(s.Job)
	left := p.summaries[pool]
	return left != nil && left.freeMillis-float64(s.Step.CpuMillis) >= p.engine.ordinaryReserve(pool, left.capacityMillis)
}

// reserved is what is kept for ordinary work of a pool with so many processors. Standing tasks come first to a new deployment, all at once, and
// would take all room before any ordinary work was seen; it would then wait for as
// long as they stay. One sees it by urgent jobs that wait for seconds on a quiet day.
func (e *Engine) ordinaryReserve(pool string, processors float64) float64 {
	need := e.ordinaryDemand[pool] * reserveFactor
	if since, seen := e.ordinarySince[pool]; !seen || e.now-since < initialReservePeriod {
		need = max(need, processors*initialReserveShare)
	}
	return min(need, processors*maxReserveShare)
}

// updateOrdinaryDemand keeps in mind how many processors ordinary work lately needed at
// most, running or waiting, by pool.
func (e *Engine) updateOrdinaryDemand(stages []*graph.Stage) {
	if e.now < e.nextDemandUpdate {
		return
	}
	e.nextDemandUpdate = e.now + demandUpdateInterval
	if e.ordinaryDemand == nil {
		e.ordinaryDemand, e.ordinarySince = map[string]float64{}, map[string]time.Duration{}
	}
	need := map[string]float64{}
	for _, s := range stages {
		if !s.Step.Opportunistic && !s.Standing() {
			need[e.poolOf(s.Job)] += float64(s.Step.CpuMillis) * float64(s.Unplaced)
		}
	}
	for key, load := range e.runningCPU {
		if key.ordinary {
			need[e.currentPool(key.queue, key.pool)] += load
		}
	}
	for pool, n := range need {
		if _, seen := e.ordinarySince[pool]; !seen && n > 0 {
			e.ordinarySince[pool] = e.now
		}
		e.ordinaryDemand[pool] = max(n, e.ordinaryDemand[pool])
	}
	if e.now < e.nextDemandDecay {
		return
	}
	e.nextDemandDecay = e.now + demandDecayInterval
	for pool := range e.ordinaryDemand {
		e.ordinaryDemand[pool] = max(need[pool], e.ordinaryDemand[pool]*demandDecay)
	}
}

// reserveForStanding lets room for a standing task that ran before, or one on its last try, grow
// on one agent: nothing else is placed there until it fits. Its place is first in each
// pass, but short tasks would fill every gap before it is large enough, or fresh ones
// would always be there. The same agent is kept from pass to pass.
func (p *pass) reserveForStanding(t *graph.Task, rooms []*freeResources) {
	var best *freeResources
	for _, m := range rooms {
		if m.reservedFor != nil || !m.fitsExceptCPU(t.Stage) || m.cpuMillis+m.ordinaryMillis < float64(t.Stage.Step.CpuMillis) {
			continue
		}
		if m.agent.record.Id == p.engine.reservations[t] {
			best = m
			break
		}
		if best == nil || m.cpuMillis+m.ordinaryMillis > best.cpuMillis+best.ordinaryMillis {
			best = m
		}
	}
	if best == nil {
		delete(p.engine.reservations, t)
		return
	}
	best.reservedFor = t.Stage
	p.engine.reservations[t] = best.agent.record.Id
}
