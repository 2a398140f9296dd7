// This file plays the case of runners that crash while a task that lasts runs on them.

package main

import (
	"fmt"
	"time"
)

const (
	crashedJob  = "9e21c04d7b36a5f1"
	crashedTask = crashedJob + ".0.0.0"
	// crashes is how many runners crash, each crashAfter the task has begun there; downTime
	// is how long a runner is away.
	crashes    = 5
	crashAfter = 3 * time.Second
	downTime   = 2 * time.Second
)

// playCrashedRunners submits a job whose one task lasts until the job is cancelled. The runner
// that runs it crashes again and again, and comes back with a new id and with nothing on it.
// No run ever ends as failed, and all other runners are free.
func playCrashedRunners(p *play) ([]string, error) {
	if err := p.begin(8); err != nil {
		return nil, err
	}
	if err := p.submit(crashedJob, job(work{CPU: 2000, MemMB: 1000}, 1, `,"persistent":true`)); err != nil {
		return nil, err
	}
	for n := range crashes {
		if waitFor("the task runs", 15*time.Second, func() bool { _, up := p.running(crashedTask); return up }) != nil {
			break
		}
		time.Sleep(crashAfter)
		now, _ := p.running(crashedTask)
		if !p.trouble {
			continue
		}
		w := p.runnerOf(now.runner)
		w.end("crashed")
		time.Sleep(downTime)
		if _, err := p.addRunner(fmt.Sprintf("i-%08x", 0x100+n), w.ip, "a"); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	state := p.state(crashedJob)
	p.record.add("client: GET %s%s -> %s", prefix, crashedJob, state)
	failed := 0
	for _, s := range p.ofTask(crashedTask) {
		p.record.add("run %d on %s: %d to %d ms, %s", s.run, s.runner, s.from.Milliseconds(), s.until.Milliseconds(), s.how)
		if s.how == "failed" {
			failed++
		}
	}
	if state == "failed" {
		return []string{fmt.Sprintf("the job is shown as failed; %d of its runs ended failed, and nobody cancelled it", failed)}, nil
	}
	return nil, nil
}
