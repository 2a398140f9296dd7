// This file defines the terms of accepted jobs: the definitions of their queues and pools, which
// outlast the catalog that has them.

package graph

import (
	"cmp"
	"maps"
	"slices"

	"sycamoredeck.example/internal/schema/wire"
)

// removedTerms are the queues that the catalog no longer has and that jobs were submitted to, and
// the pools of these queues that it no longer has either. No request reaches them. Each is kept until
// its last job is removed, so there are never more than jobs. The zero value has none.
type removedTerms struct {
	queues map[string]*wire.Queue
	pools  map[string]*wire.WorkerPool
}

// Queue returns the terms of a queue's jobs: its definition in the catalog, or the last one if it was
// removed. It returns nil if there is neither.
func (g *Graph) Queue(name string) *wire.Queue {
	return cmp.Or(g.queues[name], g.removed.queues[name])
}

// Pool returns a pool of the catalog, or of a removed queue that has jobs; or nil.
func (g *Graph) Pool(name string) *wire.WorkerPool {
	return cmp.Or(g.pools[name], g.removed.pools[name])
}

// KeepsTerms reports whether the terms of accepted jobs are kept when a configuration removes them.
func (g *Graph) KeepsTerms() bool { return g.stateVersion > unversioned }

// keepTerms determines which removed queues and pools have to be kept, from earlier definitions.
func (g *Graph) keepTerms(queues map[string]*wire.Queue, pools map[string]*wire.WorkerPool) {
	kept := removedTerms{queues: map[string]*wire.Queue{}, pools: map[string]*wire.WorkerPool{}}
	for _, j := range g.jobs {
		q := queues[j.Queue]
		if g.queues[j.Queue] != nil || q == nil || kept.queues[j.Queue] != nil {
			continue
		}
		kept.queues[j.Queue] = q
		if p := pools[q.Pool]; g.pools[q.Pool] == nil && p != nil {
			kept.pools[q.Pool] = p
		}
	}
	g.removed = kept
}

// terms returns the definitions of the catalog, and of what it no longer has.
func (g *Graph) terms() (queues map[string]*wire.Queue, pools map[string]*wire.WorkerPool) {
	queues, pools = maps.Clone(g.queues), maps.Clone(g.pools)
	maps.Copy(queues, g.removed.queues)
	maps.Copy(pools, g.removed.pools)
	return queues, pools
}

func (r *removedTerms) save(image *wire.WorkImage) {
	for _, name := range slices.Sorted(maps.Keys(r.queues)) {
		image.RemovedQueues = append(image.RemovedQueues, r.queues[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		image.RemovedPools = append(image.RemovedPools, r.pools[name])
	}
}

func (r *removedTerms) load(image *wire.WorkImage) {
	r.queues, r.pools = map[string]*wire.Queue{}, map[string]*wire.WorkerPool{}
	for _, q := range image.RemovedQueues {
		r.queues[q.Name] = q
	}
	for _, p := range image.RemovedPools {
		r.pools[p.Name] = p
	}
}
