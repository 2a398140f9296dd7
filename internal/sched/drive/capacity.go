// This file defines how the engine reports the capacity of its agents.

package drive

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

// smallestPiece is the least size in DomainCapacity.FreePieces, in millicores. Each further
// size is twice as large.
const smallestPiece = 1000

// Capacity returns the capacity of all pools by failure domain, sorted by both. Agents that
// get no new tasks count with their requested, but with no free CPU. It returns false if
// this engine doesn't drive the agents now.
func (e *Engine) Capacity(now time.Duration) ([]*wire.DomainCapacity, bool) {
	if e.term == 0 {
		return nil, false
	}
	e.now = now
	reserved := e.reservedStages()
	domains := []*wire.DomainCapacity{}
	for _, pool := range slices.Sorted(maps.Keys(e.agents.byPool)) {
		byDomain := map[string]*wire.DomainCapacity{}
		for _, a := range e.agents.byPool[pool] {
			name := a.record.FailureDomain
			d := byDomain[name]
			if d == nil {
				d = &wire.DomainCapacity{Pool: pool, FailureDomain: name}
				byDomain[name] = d
				domains = append(domains, d)
			}
			e.addCapacity(d, a)
			if s := reserved[a.record.Id]; s != nil {
				d.Reservations = append(d.Reservations, &wire.AgentReservation{Agent: a.record.Id, Job: s.Job.ID, Occurrence: s.Occurrence, Step: s.Index})
			}
		}
	}
	slices.SortFunc(domains, func(x, y *wire.DomainCapacity) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.FailureDomain, y.FailureDomain))
	})
	return domains, true
}

// addCapacity adds the capacity of an agent to that of its failure domain.
func (e *Engine) addCapacity(d *wire.DomainCapacity, a *agent) {
	f := e.freeResourcesOf(a)
	d.Agents++
	d.CpuMillis += a.record.CpuMillis
	d.RequestedMillis += uint64(max(f.capacityMillis-f.cpuMillis, 0))
	if e.quarantined(a) {
		d.Quarantined = append(d.Quarantined, a.record.Id)
	}
	free := uint64(0)
	if e.schedulable(a) {
		free = uint64(max(f.cpuMillis, 0))
	}
	d.FreeMillis += free
	for i, size := 0, uint64(smallestPiece); size <= a.record.CpuMillis; i, size = i+1, size*2 {
		if i == len(d.FreePieces) {
			d.FreePieces = append(d.FreePieces, &wire.FreePieces{CpuMillis: size})
		}
		if free >= size {
			d.FreePieces[i].Agents++
		}
	}
}
