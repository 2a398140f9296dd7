// This file defines dueAgents, which tells when each agent has to be reconciled.

package drive

import (
	"container/heap"
	"slices"
	"time"
)

type (
	// dueAgents orders agents by when they are due, so that a reconciliation costs as much
	// as is due then and not as there are agents. The zero value is empty.
	dueAgents struct{ queue dueQueue }

	// dueQueue is a heap of agents by reconcileAt. Each agent knows its index.
	dueQueue []*agent
)

var _ heap.Interface = (*dueQueue)(nil)

// Len implements heap.Interface.
func (q dueQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q dueQueue) Less(i, j int) bool { return q[i].reconcileAt < q[j].reconcileAt }

// Swap implements heap.Interface.
func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].dueIndex, q[j].dueIndex = i, j
}

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) {
	a := x.(*agent)
	a.dueIndex = len(*q)
	*q = append(*q, a)
}

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	a.dueIndex = notQueued
	return a
}

// notQueued is the dueIndex of an agent that isn't in the queue.
const notQueued = -1

// schedule makes an agent due at a time, whenever it was due before.
func (d *dueAgents) schedule(a *agent, at time.Duration) {
	switch {
	case a.dueIndex == notQueued:
		a.reconcileAt = at
		heap.Push(&d.queue, a)
	case a.reconcileAt != at:
		a.reconcileAt = at
		heap.Fix(&d.queue, a.dueIndex)
	}
}

// remove removes an agent.
func (d *dueAgents) remove(a *agent) {
	if a.dueIndex != notQueued {
		heap.Remove(&d.queue, a.dueIndex)
	}
}

// take removes and returns the agents that are due, sorted by id.
func (d *dueAgents) take(now time.Duration) []*agent {
	var due []*agent
	for len(d.queue) > 0 && d.queue[0].reconcileAt <= now {
		due = append(due, heap.Pop(&d.queue).(*agent))
	}
	slices.SortFunc(due, compareAgents)
	return due
}
