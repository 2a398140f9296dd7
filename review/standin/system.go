// This file implements the start of the project's processes, with the commands and the
// settings templates of the deploy file.

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// tolerated is how many machines with a disk may be lost at once.
const tolerated = 2

// The ports, the same on all machines. chooseNetwork moves them until they are free.
var (
	peerPort    = 7720 // the first of the ports between nodes
	adminPort   = 7721
	frontPort   = 8161
	controlPort = 8166
	readyPort   = 8167
	runnerPort  = 8080
)

// bounds are those of the sheet of etk-zagreb that the settings templates use.
var bounds = map[string]string{
	"bounds.remote-factor": "1.5", "bounds.max-hold-ms": "10000", "bounds.stop-grace-ms": "900", "bounds.status_s": "120",
	"limits.memory-mb": "280", "limits.max-fds": "4096", "tolerate.machines": fmt.Sprint(tolerated),
}

type (
	// node is one machine of the system with its one process.
	node struct {
		name, role, ip, settings string
		mu                       sync.Mutex
		command                  *exec.Cmd
	}

	// system is a small deployment on loopback addresses.
	system struct {
		root, folder string
		record       *record
		network      string // the first two numbers of all addresses
		controls     []*node
		entries      []*node
		roles        map[string]role
	}

	// role is what the deploy file says of a role.
	role struct{ run, template string }
)

// newSystem lays out a deployment with its temporary folder.
func newSystem(root string, r *record, controls, entries int) (*system, error) {
	folder, err := os.MkdirTemp("", "sycamoredeck-review-")
	if err != nil {
		return nil, err
	}
	s := &system{root: root, folder: folder, record: r}
	if s.roles, err = readRoles(filepath.Join(root, "deploy/system.toml")); err != nil {
		return nil, err
	}
	if err := s.chooseNetwork(controls + entries); err != nil {
		return nil, err
	}
	for i := range controls {
		s.controls = append(s.controls, &node{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: s.ip(i + 1)})
	}
	for i := range entries {
		s.entries = append(s.entries, &node{name: fmt.Sprintf("edge-%d", i+1), role: "entry", ip: s.ip(controls + i + 1)})
	}
	return s, nil
}

func (s *system) ip(n int) string { return fmt.Sprintf("%s.%d.1", s.network, n) }

// chooseNetwork chooses loopback addresses and ports that are free.
func (s *system) chooseNetwork(machines int) error {
	ports := []*int{&peerPort, &adminPort, &frontPort, &controlPort, &readyPort, &runnerPort}
	for try := range 40 {
		s.network = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		if try > 0 {
			for _, p := range ports {
				*p += 431
			}
		}
		free := true
		for n := 1; n <= machines && free; n++ {
			for _, port := range ports {
				listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", s.ip(n), *port))
				if err != nil {
					free = false
					break
				}
				listener.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

var roleLine = regexp.MustCompile(`^\s*(run|template)\s*=\s*"([^"]*)"`)

// readRoles reads the commands and templates of the roles from the deploy file.
func readRoles(path string) (map[string]role, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	roles, name := map[string]role{}, ""
	for _, line := range strings.Split(string(data), "\n") {
		if after, found := strings.CutPrefix(strings.TrimSpace(line), "[roles."); found {
			name = strings.TrimSuffix(after, "]")
		}
		if m := roleLine.FindStringSubmatch(line); m != nil && name != "" {
			r := roles[name]
			if m[1] == "run" {
				r.run = m[2]
			} else {
				r.template = m[2]
			}
			roles[name] = r
		}
	}
	return roles, nil
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// writeSettings fills in the settings template of a node.
func (s *system) writeSettings(n *node, bootstrap bool) error {
	template, err := os.ReadFile(filepath.Join(s.root, s.roles[n.role].template))
	if err != nil {
		return err
	}
	var seeds []string
	for _, c := range s.controls[:min(3, len(s.controls))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	values := map[string]string{
		"node": n.name, "zone": "zg-dubrava", "ip": n.ip, "port-range.0": fmt.Sprint(peerPort), "port-range.1": fmt.Sprint(adminPort),
		"data-dir": filepath.Join(s.folder, "disk-"+n.name), "seeds": strings.Join(seeds, ","), "bootstrap": fmt.Sprint(bootstrap),
		"listen.control": fmt.Sprintf("%s:%d", n.ip, controlPort), "listen.front": fmt.Sprintf("%s:%d", n.ip, frontPort),
		"listen.ready": fmt.Sprintf("%s:%d", n.ip, readyPort), "advice": "",
	}
	for k, v := range bounds {
		values[k] = v
	}
	filled := placeholder.ReplaceAllStringFunc(string(template), func(p string) string { return values[strings.Trim(p, "{}")] })
	n.settings = filepath.Join(s.folder, n.name+".json")
	return os.WriteFile(n.settings, []byte(filled), 0o600)
}

// start starts the process of a node with the command of the deploy file.
func (s *system) start(n *node, bootstrap bool) error {
	if err := s.writeSettings(n, bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := strings.Fields(s.roles[n.role].run)
	c := exec.Command(filepath.Join(s.root, words[0]), words[1:]...)
	c.Dir = s.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SYCAMOREDECK_SETTINGS=" + n.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.command = c
	n.mu.Unlock()
	s.record.add("process %s started at %s", n.name, n.ip)
	return nil
}

func (s *system) startAll() error {
	for _, n := range append(append([]*node(nil), s.controls...), s.entries...) {
		if err := s.start(n, true); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) signal(signal os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(signal)
	}
}

// kill ends the process of a node.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Kill()
		_ = n.command.Wait()
		n.command = nil
	}
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (s *system) stop() {
	for _, n := range append(append([]*node(nil), s.controls...), s.entries...) {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.folder)
	}
}

func (s *system) controlAddresses() []string {
	var list []string
	for _, n := range s.controls {
		list = append(list, fmt.Sprintf("%s:%d", n.ip, controlPort))
	}
	return list
}

func (s *system) frontAddresses() []string {
	var list []string
	for _, n := range s.entries {
		list = append(list, fmt.Sprintf("%s:%d", n.ip, frontPort))
	}
	return list
}

// waitFor waits until a condition holds.
func waitFor(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}
