// This file plays the case of a task that fills, on the only runner that has its label.

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	servingJob  = "1f00c04d7b36a501"
	servingTask = servingJob + ".0.0.0"
	fillingJob  = "1f00c04d7b36a502"
	fillingTask = fillingJob + ".0.0.0"
	// finish is the finish_s of the sheet, idle how long a job may have nothing running then.
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

// playEvicted lets a task that serves and one that fills run on the one runner of kind b. The
// second disturbs the first. Then the first is cancelled, and the runner is free.
func playEvicted(p *play) ([]string, error) {
	if err := p.begin(3); err != nil {
		return nil, err
	}
	if _, err := p.addRunner("i-0000000b", p.ip(50), "b"); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if err := p.submit(servingJob, job(work{CPU: 4000, MemMB: 1000, TailMs: 50}, 1, `,"requires":"b","persistent":true,"image":"im-1","target-ms":125`)); err != nil {
		return nil, err
	}
	if err := waitFor("the serving task runs", 20*time.Second, func() bool { _, up := p.running(servingTask); return up }); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	disturb := int64(1)
	if p.trouble {
		disturb = 300
	}
	filling := job(work{Ms: 8000, CPU: 4000, MemMB: 1000, DisturbMs: disturb}, 1, `,"requires":"b","checkpointable":true,"image":"im-2","fills":true`)
	if err := p.submit(fillingJob, filling); err != nil {
		return nil, err
	}
	if err := waitFor("the filling task runs", 20*time.Second, func() bool { _, up := p.running(fillingTask); return up }); err != nil {
		return nil, err
	}
	time.Sleep(12 * time.Second)
	for range 20 {
		code, _ := p.call(http.MethodDelete, p.frontAddresses()[0], prefix+servingJob, "")
		p.record.add("client: DELETE %s%s -> %d", prefix, servingJob, code)
		if code == http.StatusOK {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	var broken []string
	nothing := time.Time{}
	for end := time.Now().Add(finish + 2*idle); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		_, serving := p.running(servingTask)
		_, running := p.running(fillingTask)
		state := p.state(fillingJob)
		if serving || running || state == "completed" {
			nothing = time.Time{}
		} else if nothing.IsZero() {
			nothing = time.Now()
		}
	}
	state := p.state(fillingJob)
	p.record.add("client: GET %s%s -> %s", prefix, fillingJob, state)
	for _, s := range p.ofTask(fillingTask) {
		p.record.add("run %d on %s: %d to %d ms, %s", s.run, s.runner, s.from.Milliseconds(), s.until.Milliseconds(), s.how)
	}
	if !nothing.IsZero() && time.Since(nothing) >= idle {
		broken = append(broken, fmt.Sprintf("the job is %s and has had nothing running for %d ms, while all runners were free", state, time.Since(nothing).Milliseconds()))
	}
	return broken, nil
}
