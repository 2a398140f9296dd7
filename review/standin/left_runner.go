// This file plays the case of a runner that leaves as planned, and whose notice is carried
// out while its answer is lost.

package main

import (
	"net/http"
	"time"
)

const (
	leftRunnerJob  = "5c0e7a21d94b36f8"
	leftRunnerTask = leftRunnerJob + ".0.0.0"
	// drainTime is the drain-ms of the sheet, and a little longer is how much longer the
	// runner serves.
	drainTime     = 2 * time.Second
	aLittleMore   = 500 * time.Millisecond
	noticeBackoff = 300 * time.Millisecond
)

// playLeftRunner lets a runner drain and leave while a task runs on it. The answer to its
// notice is lost on the way, so it sends the same again to the next node after a second, and
// ends once that is acknowledged. Until then it is up, with all that runs on it.
func playLeftRunner(p *play) ([]string, error) {
	if err := p.begin(4); err != nil {
		return nil, err
	}
	if err := p.submit(leftRunnerJob, job(work{Ms: 12000, CPU: 2000, MemMB: 1000}, 1, "")); err != nil {
		return nil, err
	}
	if err := waitFor("the task runs", 10*time.Second, func() bool { _, up := p.running(leftRunnerTask); return up }); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	first, _ := p.running(leftRunnerTask)
	w := p.runnerOf(first.runner)
	p.record.add("the task runs on %s, which leaves now", w.id)
	if !w.drain(drainTime + aLittleMore) {
		return nil, errNotAcknowledged
	}
	time.Sleep(drainTime + aLittleMore)
	node, err := newProxy(p.ip(100), p.controlAddresses()[1])
	if err != nil {
		return nil, err
	}
	node.dropping.Store(p.trouble)
	nodes := []string{node.address(), p.controlAddresses()[2], p.controlAddresses()[3], p.controlAddresses()[4]}
	for i := 0; ; i++ {
		p.record.add("runner %s: DELETE to %s", w.id, nodes[i%len(nodes)])
		code, _ := w.report(http.MethodDelete, nodes[i%len(nodes)], "")
		p.record.add("runner %s: DELETE answered %d", w.id, code)
		if code == http.StatusOK {
			break
		}
		time.Sleep(noticeBackoff)
	}
	w.end("left")
	if err := waitFor("the job is completed", 40*time.Second, func() bool { return p.state(leftRunnerJob) == "completed" }); err != nil {
		return nil, err
	}
	for _, s := range p.ofTask(leftRunnerTask) {
		p.record.add("run %d on %s: %d to %d ms, %s", s.run, s.runner, s.from.Milliseconds(), s.until.Milliseconds(), s.how)
	}
	return p.overlaps(leftRunnerTask, p.record.now()), nil
}
