// This file plays the case of disks that are lost one after the other.

package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const wipedJob = "7a00c04d7b36a503"

// wipe ends a core process, empties its disk and starts it again at its address.
func (p *play) wipe(n *node) error {
	n.kill()
	if err := os.RemoveAll(filepath.Join(p.folder, "disk-"+n.name)); err != nil {
		return err
	}
	p.record.add("%s has lost its disk", n.name)
	time.Sleep(300 * time.Millisecond)
	return p.start(n, false)
}

// leading returns the core node that leads, by what the processes log.
func (p *play) leading() *node {
	var best *node
	latest := ""
	for _, n := range p.controls {
		data, _ := os.ReadFile(filepath.Join(p.folder, n.name+".log"))
		for _, line := range strings.Split(string(data), "\n") {
			_, at, found := strings.Cut(line, `"time":"`)
			if found && strings.Contains(line, `"driving begins"`) && at[:24] > latest {
				best, latest = n, at[:24]
			}
		}
	}
	return best
}

// playWiped loses one disk twice in short time, then the leader's process, and then disks one
// by one, each long after the one before is back. In the end the configuration is read back.
func playWiped(p *play) ([]string, error) {
	if err := p.begin(3); err != nil {
		return nil, err
	}
	if err := p.submit(wipedJob, job(work{Ms: 90000, CPU: 1000, MemMB: 1000}, 1, "")); err != nil {
		return nil, err
	}
	for n := range 40 {
		if err := p.submit(fmt.Sprintf("cd%014x", n), job(work{Ms: 50, CPU: 500, MemMB: 100}, 3, "")); err != nil {
			return nil, err
		}
	}
	leader := p.leading()
	var others []*node
	for _, n := range p.controls {
		if n != leader {
			others = append(others, n)
		}
	}
	first := others[len(others)-1]
	p.record.add("%s leads", leader.name)
	if err := p.wipe(first); err != nil {
		return nil, err
	}
	time.Sleep(1200 * time.Millisecond)
	if p.trouble {
		if err := p.wipe(first); err != nil {
			return nil, err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	leader.kill()
	p.record.add("%s is killed", leader.name)
	time.Sleep(500 * time.Millisecond)
	if err := p.start(leader, false); err != nil {
		return nil, err
	}
	time.Sleep(12 * time.Second)
	for _, n := range []*node{others[0], others[1], leader} {
		if err := p.wipe(n); err != nil {
			return nil, err
		}
		time.Sleep(12 * time.Second)
	}
	answered := ""
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, a := range p.controlAddresses() {
			if code, _ := p.call(http.MethodGet, a, "/api/config", ""); code == http.StatusOK {
				answered = a
			}
		}
		if answered != "" {
			break
		}
	}
	state := p.state(wipedJob)
	p.record.add("operator: GET /api/config answered by %q; client: GET %s%s -> %s", answered, prefix, wipedJob, state)
	if answered == "" {
		return []string{fmt.Sprintf("the configuration can't be read back within 10 s; the job's state is %s", state)}, nil
	}
	return nil, nil
}
