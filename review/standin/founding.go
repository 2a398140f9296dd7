// This file plays the case of a first start during which all core processes are killed once.

package main

import (
	"fmt"
	"time"
)

// foundingTime is how long the system has to accept its first configuration.
const foundingTime = 60 * time.Second

// playFounding kills all core processes shortly after the first start of the system. They are back
// within a second, with their disks, and no longer start for the first time.
func playFounding(p *play) ([]string, error) {
	if err := p.startAll(); err != nil {
		return nil, err
	}
	if p.trouble {
		time.Sleep(4 * time.Millisecond)
		for _, n := range p.controls {
			n.kill()
		}
		p.record.add("all core processes are killed")
		time.Sleep(300 * time.Millisecond)
		for _, n := range p.controls {
			if err := p.start(n, false); err != nil {
				return nil, err
			}
		}
	}
	if err := p.configure(configuration(1), foundingTime); err != nil {
		return []string{fmt.Sprintf("no configuration is acknowledged within %v", foundingTime)}, nil
	}
	return nil, nil
}
