// This file defines Queue, where calls wait for a slot.

// Package admit decides in which order waiting calls are served. Client
// accounts share by weight (start-time fair queueing): an account that asks
// for more than its share waits in its own line and not in that of others, and
// what one leaves unused the others get. Within an account the earliest
// deadline is first.
package admit

import (
	"container/heap"
	"slices"
	"time"
)

var _ heap.Interface = (*accountQueue[int])(nil)

type (
	// Waiter is one call that waits. Grant is called once, when it is its turn.
	Waiter[T any] struct {
		Account  string
		Weight   float64
		Deadline time.Time
		// LatestStart is the last moment at which it makes sense to start.
		LatestStart time.Time
		Grant       func(T)

		index int // in its line, or -1
	}

	accountQueue[T any] struct {
		waiters []*Waiter[T]
		// virtualStart is the virtual time at which the account's next call begins.
		virtualStart float64
	}

	// Queue is a weighted fair queue. The zero value is empty and ready. It
	// isn't safe for concurrent use.
	Queue[T any] struct {
		accounts    map[string]*accountQueue[T]
		virtualTime float64
		length      int
	}
)

// Len is the number of waiting calls.
func (q *Queue[T]) Len() int { return q.length }

// AccountLen is the number of an account's waiting calls.
func (q *Queue[T]) AccountLen(account string) int {
	if l := q.accounts[account]; l != nil {
		return len(l.waiters)
	}
	return 0
}

// Push adds a call.
func (q *Queue[T]) Push(w *Waiter[T]) {
	if q.accounts == nil {
		q.accounts = map[string]*accountQueue[T]{}
	}
	l := q.accounts[w.Account]
	if l == nil {
		l = &accountQueue[T]{virtualStart: q.virtualTime}
		q.accounts[w.Account] = l
	}
	if len(l.waiters) == 0 {
		l.virtualStart = max(l.virtualStart, q.virtualTime) // no credit for time spent idle
	}
	heap.Push(l, w)
	q.length++
}

// Pop takes the call whose turn it is; nil when none waits.
func (q *Queue[T]) Pop() *Waiter[T] {
	var next *accountQueue[T]
	for _, l := range q.accounts {
		if len(l.waiters) == 0 {
			continue
		}
		if next == nil || l.virtualStart < next.virtualStart || (l.virtualStart == next.virtualStart && l.waiters[0].Deadline.Before(next.waiters[0].Deadline)) {
			next = l
		}
	}
	if next == nil {
		return nil
	}
	w := heap.Pop(next).(*Waiter[T])
	q.length--
	q.virtualTime = next.virtualStart
	next.virtualStart += 1 / max(w.Weight, 1e-9)
	q.prune()
	return w
}

// Remove takes a call out; false when it isn't there any more.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	l := q.accounts[w.Account]
	if l == nil || w.index < 0 || w.index >= len(l.waiters) || l.waiters[w.index] != w {
		return false
	}
	heap.Remove(l, w.index)
	q.length--
	return true
}

// RemoveIf takes out all calls for which hopeless returns true. It is given how
// many of the account's calls that stay go before each.
func (q *Queue[T]) RemoveIf(hopeless func(w *Waiter[T], ahead int) bool) []*Waiter[T] {
	var taken []*Waiter[T]
	for _, l := range q.accounts {
		inOrder := slices.Clone(l.waiters)
		slices.SortFunc(inOrder, func(a, b *Waiter[T]) int { return a.Deadline.Compare(b.Deadline) })
		ahead := 0
		for _, w := range inOrder {
			if hopeless(w, ahead) {
				q.Remove(w)
				taken = append(taken, w)
				continue
			}
			ahead++
		}
	}
	return taken
}

// Share is the part of the slots that an account is due while all that wait
// do, itself included.
func (q *Queue[T]) Share(account string, weight float64) float64 {
	total := weight
	for name, l := range q.accounts {
		if name != account && len(l.waiters) > 0 {
			total += l.waiters[0].Weight
		}
	}
	return weight / total
}

// prune forgets empty lines that have no debt left.
func (q *Queue[T]) prune() {
	for name, l := range q.accounts {
		if len(l.waiters) == 0 && l.virtualStart <= q.virtualTime {
			delete(q.accounts, name)
		}
	}
}

// Len is part of heap.Interface; a line is a heap by deadline.
func (a *accountQueue[T]) Len() int { return len(a.waiters) }

// Less is part of heap.Interface.
func (a *accountQueue[T]) Less(i, j int) bool {
	return a.waiters[i].Deadline.Before(a.waiters[j].Deadline)
}

// Swap is part of heap.Interface.
func (a *accountQueue[T]) Swap(i, j int) {
	a.waiters[i], a.waiters[j] = a.waiters[j], a.waiters[i]
	a.waiters[i].index, a.waiters[j].index = i, j
}

// Push is part of heap.Interface.
func (a *accountQueue[T]) Push(x any) {
	w := x.(*Waiter[T])
	w.index = len(a.waiters)
	a.waiters = append(a.waiters, w)
}

// Pop is part of heap.Interface.
func (a *accountQueue[T]) Pop() any {
	last := len(a.waiters) - 1
	w := a.waiters[last]
	a.waiters[last] = nil
	a.waiters = a.waiters[:last]
	w.index = -1
	return w
}
