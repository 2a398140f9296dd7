package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// plainJob returns a job of two steps without a gang.
func plainJob(id, queue string) *job {
	return &job{id: id, queue: queue, Spec: "plain", Steps: []step{
		{Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 500, work: 500 * time.Millisecond},
		{Count: 1, CPU: 1000, MemMB: 512, EstimateMs: 500, After: []int{0}, work: 500 * time.Millisecond},
	}}
}

// cutGangCancelled: a runner with a member of a gang is cut off and runs on; the member
// fails by its own fault; the client cancels the job; the cut ends. Afterwards all accepted
// jobs are asked for.
func cutGangCancelled(w *world) bool {
	w.start()
	w.configure(7, queue("pule252", 3))
	w.startRunners(8)
	var others []*job
	for i := range 4 {
		j := plainJob(fmt.Sprintf("5c0e7a21d94b3%03x", i), "pule252")
		w.submit(j)
		others = append(others, j)
	}
	keeper := &job{id: "6c0e7a21d94b3000", queue: "pule252", Spec: "lasts", Steps: []step{{Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 500, Persistent: true}}}
	w.submit(keeper)
	for _, j := range others {
		if !w.await(j, "completed", 15*time.Second) {
			panic("a plain job isn't completed before the disruption")
		}
	}
	later := &job{id: "6c0e7a21d94b3001", queue: "pule252", Spec: "long", Steps: []step{{Count: 1, CPU: 1000, MemMB: 512, EstimateMs: 9000, work: 9 * time.Second}}}
	w.submit(later)
	others = append(others, keeper, later)

	g := &job{id: "7c0e7a21d94b3000", queue: "pule252", Spec: "gang", Steps: []step{{
		Count: 2, CPU: 2000, MemMB: 1024, EstimateMs: 8000, Gang: true, AntiAffinity: 1, work: 8 * time.Second,
		failsAfter: func(index int, run uint32) time.Duration {
			if index == 0 && run == 1 {
				return 2 * time.Second
			}
			return 0
		},
	}}}
	w.submit(g)
	first, second := g.id+".0.0.0", g.id+".0.0.1"
	for end := time.Now().Add(10 * time.Second); seen.startsOf(first) == 0 || seen.startsOf(second) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			panic("the gang doesn't start")
		}
	}
	time.Sleep(time.Second)
	cut := seen.latest(first).runner
	if w.trouble {
		cut.setCut(true)
	}
	time.Sleep(2 * time.Second) // the member fails meanwhile
	w.cancel(g)
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		cut.setCut(false)
	}
	w.logf("jobs are asked for after %v", finishTime)
	time.Sleep(finishTime)
	var asked sync.WaitGroup
	for _, j := range others {
		asked.Go(func() { w.ask(j) })
	}
	asked.Wait()
	w.reportOwnEnds()
	return w.broken()
}

// ask asks for an accepted job at all entries in turn, four times at least, and records that
// a rule is broken if none knows it.
func (w *world) ask(j *job) {
	answers := map[string]int{}
	for i, end := 0, time.Now().Add(12*time.Second); time.Now().Before(end); i++ {
		state, code := w.state(j, i)
		answers[fmt.Sprintf("%d %s", code, state)]++
		if code == 200 {
			w.logf("client: GET %s -> %d %s", j.path(), code, state)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.violate("LOST: accepted job %s gets no answer %v after the traffic: %v", j.id, finishTime, answers)
}

func (w *world) reportOwnEnds() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for n := range w.ownEnds {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		defer w.logf("process %s ended by itself %d times", n, w.ownEnds[n])
	}
}

// gangBesideStep: jobs of two steps that run beside each other, a gang and a step of one task
// that ends first. The runner of that task turns slow, so that the gang ends first.
func gangBesideStep(w *world) bool {
	// Two tasks of 9 cores don't fit on one runner, so that the slow one has no member of the gang.
	const slowness, lasts = 6.5, 7 * time.Second
	w.start()
	w.configure(7, queue("pule252", 3))
	w.startRunners(8)
	time.Sleep(2 * time.Second) // until the leader has heard of all of them
	for i := range 3 {
		j := &job{id: fmt.Sprintf("7c0e7a21d94b3%03x", i), queue: "pule252", Spec: "gang", Steps: []step{
			{Count: 2, CPU: 9000, MemMB: 1024, EstimateMs: 2000, Gang: true, work: 2 * time.Second},
			{Count: 1, CPU: 9000, MemMB: 1024, EstimateMs: 1200, work: 1200 * time.Millisecond},
		}}
		w.submit(j)
		single := j.id + ".0.1.0"
		for end := time.Now().Add(10 * time.Second); seen.startsOf(single) == 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				panic("the step beside the gang doesn't start")
			}
		}
		if w.trouble {
			seen.latest(single).runner.turnSlow(slowness, lasts)
		}
		if !w.await(j, "completed", 15*time.Second) {
			w.violate("LOST: job %s isn't completed in 15 s", j.id)
		} else if !seen.isDone(single) {
			w.violate("MIXED: job %s is shown as completed, and its task %s hasn't ended done", j.id, single)
		}
		time.Sleep(8 * time.Second) // the runner isn't slow any more
		w.logf("8 s later task %s was started %d times, ended done: %v", single, seen.startsOf(single), seen.isDone(single))
	}
	return w.broken()
}

// gangBeforeStep: jobs whose first step is a gang, with one step after it, and in the last job
// two after one another.
func gangBeforeStep(w *world) bool {
	w.start()
	w.configure(7, queue("pule252", 3))
	w.startRunners(8)
	var jobs []*job
	for i := range 3 {
		j := &job{id: fmt.Sprintf("7c0e7a21d94b3%03x", i), queue: "pule252", Spec: "gang", Steps: []step{
			{Count: 2, CPU: 2000, MemMB: 1024, EstimateMs: 1000, Gang: w.trouble, work: time.Second},
			{Count: 1, CPU: 2000, MemMB: 1024, EstimateMs: 1500, After: []int{0}, work: 1500 * time.Millisecond},
		}}
		if i == 2 {
			j.Steps = append(j.Steps, step{Count: 1, CPU: 2000, MemMB: 1024, EstimateMs: 500, After: []int{1}, work: 500 * time.Millisecond})
		}
		w.submit(j)
		jobs = append(jobs, j)
	}
	for _, j := range jobs {
		if !w.await(j, "completed", 15*time.Second) {
			w.violate("LOST: job %s isn't completed in 15 s", j.id)
			continue
		}
		if last := j.lastTask(); !seen.isDone(last) {
			w.violate("MIXED: job %s is shown as completed, and its task %s hasn't ended done; it was started %d times", j.id, last, seen.startsOf(last))
		}
	}
	time.Sleep(8 * time.Second)
	for _, j := range jobs {
		last := j.lastTask()
		w.logf("8 s later task %s was started %d times, done: %v", last, seen.startsOf(last), seen.isDone(last))
	}
	return w.broken()
}

// attemptsOfRoute: two routes are removed from the configuration and put back some seconds
// later, while tasks of jobs that were accepted there fail by their own fault.
func attemptsOfRoute(w *world) bool {
	const many, few = 4, 2
	w.start()
	kept, first, second := queue("lohu930", 3), queue("pule252", many), queue("pufi791", few)
	w.configure(7, kept, first, second)
	w.startRunners(8)
	task := step{Count: 1, CPU: 1000, MemMB: 512, EstimateMs: 1500, work: 1500 * time.Millisecond}
	// The first job's task fails one time less than it may, the second job's always.
	task.failsAfter = func(_ int, run uint32) time.Duration {
		if run < many {
			return 1200 * time.Millisecond
		}
		return 0
	}
	ends := &job{id: "8c0e7a21d94b3000", queue: "pule252", Spec: "fails three times", Steps: []step{task}}
	task.failsAfter = func(int, uint32) time.Duration { return 1200 * time.Millisecond }
	fails := &job{id: "8c0e7a21d94b3001", queue: "pufi791", Spec: "fails", Steps: []step{task}}
	seen.mu.Lock()
	seen.onStart = func(x *run, failed int) {
		if x.job == fails && failed >= few {
			go w.violate("BUDGET: run %d of task %s starts on %s after %d runs that ended failed were taken note of; max-attempts is %d", x.number, x.task, x.runner.id, failed, few)
		}
	}
	seen.mu.Unlock()
	w.submit(ends)
	w.submit(fails)
	if w.trouble {
		time.Sleep(500 * time.Millisecond)
		w.configure(12, kept)
		time.Sleep(6 * time.Second)
		w.configure(19, kept, first, second)
	}
	time.Sleep(8 * time.Second)
	for _, j := range []*job{ends, fails} {
		name := j.id + ".0.0.0"
		seen.mu.Lock()
		starts, failed := seen.starts[name], seen.failed[name]
		seen.mu.Unlock()
		state, code := w.state(j, 0)
		w.logf("client: GET %s -> %d %s; its task was started %d times, %d ends failed were taken note of", j.path(), code, state, starts, failed)
		if j == ends && state == "failed" && failed < many {
			w.violate("LOST: job %s is shown as failed after %d runs that ended failed; max-attempts is %d", j.id, failed, many)
		}
	}
	return w.broken()
}

// routeRenamed: a configuration replaces a route by one at the same host and prefix with
// another name, while a job that was accepted there runs.
func routeRenamed(w *world) bool {
	w.start()
	first := queue("pule252", 3)
	w.configure(7, first)
	w.startRunners(8)
	j := &job{id: "9c0e7a21d94b3000", queue: "pule252", Spec: "lasts", Steps: []step{{Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 500, Persistent: true}}}
	w.submit(j)
	w.await(j, "running", 5*time.Second)
	second := first
	if w.trouble {
		second.Name = "r-renamed"
	}
	w.configure(12, second)
	time.Sleep(4 * time.Second)
	for i := range entries {
		state, code := w.state(j, i)
		w.logf("client: GET %s -> %d %s", j.path(), code, state)
		if code == 410 {
			w.violate("LOST: accepted job %s, which nobody has cancelled, is answered 410", j.id)
		}
	}
	w.cancel(j)
	time.Sleep(6 * time.Second)
	for i := range 2 {
		x := seen.latest(fmt.Sprintf("%s.0.0.%d", j.id, i))
		x.runner.mu.Lock()
		runs := x.runner.running[x.task] == x
		x.runner.mu.Unlock()
		if runs {
			w.violate("UNASKED: task %s runs on 6 s after the cancelling of its job was acknowledged", x.task)
		}
	}
	return w.broken()
}

// lastTask returns the name of the only task of the job's last step.
func (j *job) lastTask() string { return fmt.Sprintf("%s.0.%d.0", j.id, len(j.Steps)-1) }
