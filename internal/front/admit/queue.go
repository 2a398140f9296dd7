// This file defines Queue, which holds calls that wait for a slot.

// Package admit orders waiting calls. Client accounts share the slots by weight
// (start-time fair queueing): the backlog of one account doesn't delay others, and unused
// shares are redistributed. Within an account the earliest deadline comes first.
package admit

import (
	"container/heap"
	"slices"
	"time"
)

var _ heap.Interface = (*accountQueue[int])(nil)

type (
	// Waiter is a waiting call.
	Waiter[T any] struct {
		Account  string
		Weight   float64
		Deadline time.Time
		// LatestStart is the latest useful start time.
		LatestStart time.Time
		// Grant is called at most once, by whoever removes the call from the queue.
		Grant func(T)

		index int // in its account's heap, or -1
	}

	// accountQueue holds an account's waiting calls as a heap ordered by deadline.
	accountQueue[T any] struct {
		waiters []*Waiter[T]
		// virtualStart is the virtual start time of the account's next call.
		virtualStart float64
	}

	// Queue is a weighted fair queue. The zero value is an empty queue. It isn't safe for
	// concurrent use.
	Queue[T any] struct {
		accounts    map[string]*accountQueue[T]
		virtualTime float64
		length      int
	}
)

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return q.length }

// AccountLen returns the number of an account's waiting calls.
func (q *Queue[T]) AccountLen(account string) int {
	if a := q.accounts[account]; a != nil {
		return len(a.waiters)
	}
	return 0
}

// Push adds a call.
func (q *Queue[T]) Push(w *Waiter[T]) {
	if q.accounts == nil {
		q.accounts = map[string]*accountQueue[T]{}
	}
	a := q.accounts[w.Account]
	if a == nil {
		a = &accountQueue[T]{virtualStart: q.virtualTime}
		q.accounts[w.Account] = a
	}
	if len(a.waiters) == 0 {
		a.virtualStart = max(a.virtualStart, q.virtualTime) // idle time earns no credit
	}
	heap.Push(a, w)
	q.length++
}

// Pop removes and returns the next call, or nil if the queue is empty.
func (q *Queue[T]) Pop() *Waiter[T] {
	var next *accountQueue[T]
	for _, a := range q.accounts {
		if len(a.waiters) == 0 {
			continue
		}
		if next == nil || a.virtualStart < next.virtualStart || (a.virtualStart == next.virtualStart && a.waiters[0].Deadline.Before(next.waiters[0].Deadline)) {
			next = a
		}
	}
	if next == nil {
		return nil
	}
	w := heap.Pop(next).(*Waiter[T])
	q.length--
	q.virtualTime = next.virtualStart
	next.virtualStart += 1 / max(w.Weight, 1e-9)
	q.pruneIdle()
	return w
}

// Remove removes a call and reports whether it was in the queue.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	a := q.accounts[w.Account]
	if a == nil || w.index < 0 || w.index >= len(a.waiters) || a.waiters[w.index] != w {
		return false
	}
	heap.Remove(a, w.index)
	q.length--
	return true
}

// RemoveIf removes and returns the calls for which drop returns true. ahead is the number
// of the account's remaining calls that precede w.
func (q *Queue[T]) RemoveIf(drop func(w *Waiter[T], ahead int) bool) []*Waiter[T] {
	var removed []*Waiter[T]
	for _, aq := range q.accounts {
		inOrder := slices.Clone(aq.waiters)
		slices.SortFunc(inOrder, func(a, b *Waiter[T]) int { return a.Deadline.Compare(b.Deadline) })
		ahead := 0
		for _, w := range inOrder {
			if drop(w, ahead) {
				q.Remove(w)
				removed = append(removed, w)
				continue
			}
			ahead++
		}
	}
	return removed
}

// Share returns the fraction of the slots that an account with a weight is entitled to,
// given the other accounts with waiting calls.
func (q *Queue[T]) Share(account string, weight float64) float64 {
	total := weight
	for n, a := range q.accounts {
		if n != account && len(a.waiters) > 0 {
			total += a.waiters[0].Weight
		}
	}
	return weight / total
}

// pruneIdle removes accounts without waiting calls. One whose virtual start is still ahead
// has been served beyond its share and is kept: its next call must not start without that
// debt.
func (q *Queue[T]) pruneIdle() {
	for n, a := range q.accounts {
		if len(a.waiters) == 0 && a.virtualStart <= q.virtualTime {
			delete(q.accounts, n)
		}
	}
}

// Len implements heap.Interface.
func (a *accountQueue[T]) Len() int { return len(a.waiters) }

// Less implements heap.Interface.
func (a *accountQueue[T]) Less(i, j int) bool {
	return a.waiters[i].Deadline.Before(a.waiters[j].Deadline)
}

// Swap implements heap.Interface.
func (a *accountQueue[T]) Swap(i, j int) {
	a.waiters[i], a.waiters[j] = a.waiters[j], a.waiters[i]
	a.waiters[i].index, a.waiters[j].index = i, j
}

// Push implements heap.Interface.
func (a *accountQueue[T]) Push(x any) {
	w := x.(*Waiter[T])
	w.index = len(a.waiters)
	a.waiters = append(a.waiters, w)
}

// Pop implements heap.Interface.
func (a *accountQueue[T]) Pop() any {
	last := len(a.waiters) - 1
	w := a.waiters[last]
	a.waiters[last] = nil
	a.waiters = a.waiters[:last]
	w.index = -1
	return w
}
