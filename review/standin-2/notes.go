package main

import "sync"

// notes is what the runners have seen of each task.
type notes struct {
	mu     sync.Mutex
	starts map[string]int // by task
	done   map[string]bool
	failed map[string]int // ends `failed` that were taken note of
	on     map[string]*run
	// onStart is called with each start and the task's ends that were taken note of before.
	onStart func(x *run, failed int)
}

var seen = &notes{starts: map[string]int{}, done: map[string]bool{}, failed: map[string]int{}, on: map[string]*run{}}

func (w *world) noteStart(x *run) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.starts[x.task]++
	seen.on[x.task] = x
	if seen.onStart != nil {
		seen.onStart(x, seen.failed[x.task])
	}
}

func (w *world) noteEnd(x *run, how string) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if how == "done" {
		seen.done[x.task] = true
	}
}

func (w *world) noteFailed(task string) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.failed[task]++
}

func (n *notes) isDone(task string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done[task]
}

func (n *notes) latest(task string) *run {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.on[task]
}

func (n *notes) startsOf(task string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts[task]
}
