// This file plays the case of a job whose only task was ordered on a runner that has gone dark.

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	pendingJobs = 8
	// visible is the visible_ms of the sheet.
	visible = 3 * time.Second
)

// playPending submits jobs of one task each, one for each runner, just after a runner has gone
// dark, and asks an entry how many jobs have not begun.
func playPending(p *play) ([]string, error) {
	if err := p.begin(pendingJobs); err != nil {
		return nil, err
	}
	w := p.runners[len(p.runners)-1]
	if p.trouble {
		w.mu.Lock()
		w.dark = true
		w.mu.Unlock()
		p.record.add("runner %s goes dark", w.id)
	}
	ids := map[string]bool{}
	for n := range pendingJobs {
		id := fmt.Sprintf("ab%014x", n)
		ids[id] = true
		if err := p.submit(id, job(work{Ms: 30000, CPU: 9000, MemMB: 1000}, 1, "")); err != nil {
			return nil, err
		}
	}
	time.Sleep(visible + 2*time.Second + 500*time.Millisecond)
	var broken []string
	for range 5 {
		code, body := p.call(http.MethodGet, p.frontAddresses()[0], prefix, "")
		old := 0
		for id := range ids {
			if len(p.ofTask(id+".0.0.0")) == 0 {
				old++
			}
		}
		p.record.add("client: GET %s -> %d %s; %d jobs accepted over %v before have not begun", prefix, code, body, old, visible+2*time.Second)
		var answer struct {
			Pending int `json:"pending"`
		}
		if code == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil && 2*answer.Pending < old {
			broken = append(broken, fmt.Sprintf("pending is given as %d, while %d jobs have not begun", answer.Pending, old))
		}
		time.Sleep(400 * time.Millisecond)
	}
	return broken, nil
}
