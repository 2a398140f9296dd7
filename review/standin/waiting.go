// This file plays the case of a task that lasts beside one under which runners crashed.

package main

import (
	"fmt"
	"time"
)

const (
	lastingJob   = "2b00c04d7b36a504"
	lastingTask  = lastingJob + ".0.0.0"
	ordinaryJob  = "2b00c04d7b36a505"
	ordinaryTask = ordinaryJob + ".0.0.0"
	// away is how long a task that lasts may run nowhere, calm how long before no disruption
	// may have been.
	away = 6 * time.Second
	calm = 4 * time.Second
)

// playWaiting crashes the only runner with a label four times, 2 s after both tasks run there. It
// comes back each time. Afterwards nothing fails any more.
func playWaiting(p *play) ([]string, error) {
	if err := p.begin(4); err != nil {
		return nil, err
	}
	w, err := p.addRunner("i-000000b0", p.ip(50), "b")
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if err := p.submit(ordinaryJob, job(work{Ms: 30000, CPU: 2000, MemMB: 1000}, 1, `,"requires":"b"`)); err != nil {
		return nil, err
	}
	if err := p.submit(lastingJob, job(work{CPU: 2000, MemMB: 1000}, 1, `,"requires":"b","persistent":true`)); err != nil {
		return nil, err
	}
	for n := range 4 {
		if err := waitFor("both tasks run", 20*time.Second, func() bool {
			_, lasting := p.running(lastingTask)
			_, ordinary := p.running(ordinaryTask)
			return lasting && ordinary
		}); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
		if !p.trouble {
			continue
		}
		w.end("crashed")
		time.Sleep(1500 * time.Millisecond)
		if w, err = p.addRunner(fmt.Sprintf("i-000000b%d", n+1), p.ip(50), "b"); err != nil {
			return nil, err
		}
	}
	back := p.record.now()
	time.Sleep(25 * time.Second)
	var longest, from, last time.Duration
	for _, s := range p.ofTask(lastingTask) {
		p.record.add("the lasting task's run %d on %s: %d to %d ms, %s", s.run, s.runner, s.from.Milliseconds(), s.until.Milliseconds(), s.how)
		// What counts begins away after its last run, and calm after the last disruption.
		begin := max(last+away, back+calm)
		if last > 0 && s.from-begin > longest {
			longest, from = s.from-begin, last
		}
		last = s.until
	}
	if last > 0 {
		if begin := max(last+away, back+calm); p.record.now()-begin > longest {
			longest, from = p.record.now()-begin, last
		}
	}
	for _, s := range p.ofTask(ordinaryTask) {
		p.record.add("the ordinary task's run %d on %s: %d to %d ms, %s", s.run, s.runner, s.from.Milliseconds(), s.until.Milliseconds(), s.how)
	}
	p.record.add("states: %s and %s", p.state(lastingJob), p.state(ordinaryJob))
	if longest >= idle {
		return []string{fmt.Sprintf("the task that lasts runs nowhere from %d ms on, for %d ms more than 6 s after its run and 4 s after the last disruption", from.Milliseconds(), longest.Milliseconds())}, nil
	}
	return nil, nil
}
