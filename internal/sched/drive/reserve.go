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
	// maxReserve is the part of a pool's processors that is kept at most. More waits at
	// times than the whole pool could do at once; kept in full, that need would turn
	// standing tasks away for a minute after it is gone, from agents that are idle.
	maxReserve = 0.5
	// needDecay is what is left of a past need after needInterval: half of it
	// after 14 s, some bursts long.
	needDecay    = 0.95
	needInterval = time.Second
	// firstReserve is the part of a pool's processors that is kept for ordinary work
	// until some of it was seen for firstSeen.
	firstReserve = 0.12
	firstSeen    = 8 * time.Second
	// needLook is how often the need is worked out.
	needLook = 50 * time.Millisecond
)

// spares tells whether enough room is left for ordinary work if a new standing
// task is placed. Standing tasks stay; without a reserve they take, one by one,
// all that others leave for a moment, and short urgent work then waits for as
// long as they stay.
func (p *pass) spares(s *graph.Stage) bool {
	pool := p.engine.poolOf(s.Job)
	left := p.spare[pool]
	return left != nil && left.free-float64(s.Step.CpuMillis) >= p.engine.reserved(pool, left.all)
}

// reserved is what is kept for ordinary work of a pool with so many processors. Standing tasks come first to a new deployment, all at once, and
// would take all room before any ordinary work was seen; it would then wait for as
// long as they stay. One sees it by urgent jobs that wait for seconds on a quiet day.
func (e *Engine) reserved(pool string, processors float64) float64 {
	need := e.ordinaryNeed[pool] * reserveFactor
	if since, seen := e.ordinarySince[pool]; !seen || e.now-since < firstSeen {
		need = max(need, processors*firstReserve)
	}
	return min(need, processors*maxReserve)
}

// noteNeed keeps in mind how many processors ordinary work lately needed at
// most, running or waiting, by pool.
func (e *Engine) noteNeed(stages []*graph.Stage) {
	if e.now < e.nextLook {
		return
	}
	e.nextLook = e.now + needLook
	if e.ordinaryNeed == nil {
		e.ordinaryNeed, e.ordinarySince = map[string]float64{}, map[string]time.Duration{}
	}
	need := map[string]float64{}
	for _, s := range stages {
		if !s.Step.Opportunistic && !s.Standing() {
			need[e.poolOf(s.Job)] += float64(s.Step.CpuMillis) * float64(s.Unplaced)
		}
	}
	for key, load := range e.loads {
		if key.ordinary {
			need[e.poolNamed(key.queue, key.pool)] += load
		}
	}
	for pool, n := range need {
		if _, seen := e.ordinarySince[pool]; !seen && n > 0 {
			e.ordinarySince[pool] = e.now
		}
		e.ordinaryNeed[pool] = max(n, e.ordinaryNeed[pool])
	}
	if e.now < e.nextNeed {
		return
	}
	e.nextNeed = e.now + needInterval
	for pool := range e.ordinaryNeed {
		e.ordinaryNeed[pool] = max(need[pool], e.ordinaryNeed[pool]*needDecay)
	}
}

// keepClear lets room for a standing task that ran before, or one on its last try, grow
// on one agent: nothing else is placed there until it fits. Its place is first in each
// pass, but short tasks would fill every gap before it is large enough, or fresh ones
// would always be there. The same agent is kept from pass to pass.
func (p *pass) keepClear(t *graph.Task, rooms []*room) {
	var best *room
	for _, m := range rooms {
		if m.heldFor != nil || !m.suits(t.Stage) || m.cpu+m.ordinary < float64(t.Stage.Step.CpuMillis) {
			continue
		}
		if m.agent.record.Id == p.engine.clearing[t] {
			best = m
			break
		}
		if best == nil || m.cpu+m.ordinary > best.cpu+best.ordinary {
			best = m
		}
	}
	if best == nil {
		delete(p.engine.clearing, t)
		return
	}
	best.heldFor = t.Stage
	p.engine.clearing[t] = best.agent.record.Id
}
