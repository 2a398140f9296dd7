package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment and its bounds are those of a small site: five control processes of which
// two may be lost, entries, and bounds as in the sheet of hvildaras-hq.
const (
	controls      = 5
	entries       = 3
	heartbeat     = 1100 * time.Millisecond
	maxHold       = 10 * time.Second
	stopTakes     = 100 * time.Millisecond // at most stop-grace-ms (900)
	gangTimeout   = 3 * time.Second
	finishTime    = 14 * time.Second
	restartDelay  = 500 * time.Millisecond
	settingsFiles = "deploy/control.json deploy/entry.json"
)

// world is the deployment with its stand-ins.
type world struct {
	repository, folder string
	trouble            bool
	began              time.Time

	recordMu sync.Mutex
	record   *os.File

	mu        sync.Mutex
	closing   bool
	processes map[string]*exec.Cmd
	ownEnds   map[string]int // by process, ends without a signal of ours
	jobs      map[string]*job
	gangs     map[string]*gang
	runners   []*runner
	// violations are the broken rules that runners have seen.
	violations []string

	prefix           string // of all loopback addresses
	peerPort, port   int
	controlAddresses []string
	entryAddresses   []string
}

func newWorld(repository, record string, trouble bool) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{
		repository: repository, folder: folder, trouble: trouble, began: time.Now(), record: file,
		processes: map[string]*exec.Cmd{}, ownEnds: map[string]int{}, jobs: map[string]*job{}, gangs: map[string]*gang{},
		prefix:   fmt.Sprintf("127.%d.%d.", 10+pid/250%100, 1+pid%250),
		peerPort: 21000 + pid%4000*2, port: 29500 + pid%3000,
	}
	w.logf("TROUBLE=%v", map[bool]int{true: 1}[trouble])
	return w, nil
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = w.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.logf("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, text)
}

func (w *world) broken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.violations) > 0
}

// start starts the control and the entry processes.
func (w *world) start() {
	var seeds []string
	for i := range controls {
		w.controlAddresses = append(w.controlAddresses, fmt.Sprintf("%s%d:%d", w.prefix, 10+i, w.port))
		if i < 3 {
			seeds = append(seeds, w.controlAddresses[i])
		}
	}
	for i := range controls {
		w.startProcess(fmt.Sprintf("core-%d", i+1), "control", fmt.Sprintf("%s%d", w.prefix, 10+i), seeds)
	}
	for i := range entries {
		ip := fmt.Sprintf("%s%d", w.prefix, 30+i)
		w.entryAddresses = append(w.entryAddresses, fmt.Sprintf("%s:%d", ip, w.port))
		w.startProcess(fmt.Sprintf("edge-%d", i+1), "entry", ip, seeds)
	}
}

// startProcess writes the settings of a process from the template of its role, and starts
// it with the command of the deploy file.
func (w *world) startProcess(name, role, ip string, seeds []string) {
	zones := []string{"hall-grandi", "hall-keldur", "hall-vellir"}
	fields := map[string]string{
		"node": name, "zone": zones[int(name[len(name)-1])%3], "ip": ip, "port-range.0": fmt.Sprint(w.peerPort), "port-range.1": fmt.Sprint(w.peerPort + 1),
		"data-dir": filepath.Join(w.folder, name), "seeds": strings.Join(seeds, ","), "bootstrap": "true", "tolerate.machines": "2",
		"listen.control": fmt.Sprintf("%s:%d", ip, w.port), "listen.front": fmt.Sprintf("%s:%d", ip, w.port), "listen.ready": fmt.Sprintf("%s:%d", ip, w.port+1),
		"advice": fmt.Sprintf("%s250:%d", w.prefix, w.port), "bounds.remote-factor": "3", "bounds.max-hold-ms": "10000", "bounds.stop-grace-ms": "900",
		"bounds.status_s": "120", "limits.disk-mb": "128", "limits.memory-mb": "280", "limits.max-fds": "4096",
	}
	template, err := os.ReadFile(filepath.Join(w.repository, "deploy", role+".json"))
	must(err)
	text := regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(string(template), func(p string) string {
		value, known := fields[strings.Trim(p, "{}")]
		if !known {
			panic("the template has an unknown field: " + p)
		}
		return value
	})
	must(os.MkdirAll(fields["data-dir"], 0o700))
	settings := filepath.Join(w.folder, name+".json")
	must(os.WriteFile(settings, []byte(text), 0o600))
	w.run(name, role, settings)
}

// run starts a process, and again whenever it ends, as the platform does.
func (w *world) run(name, role, settings string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing {
		return
	}
	log, err := os.OpenFile(filepath.Join(w.folder, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	c := exec.Command("target/sycamoredeck", role)
	c.Dir = w.repository
	c.Env = []string{"SYCAMOREDECK_SETTINGS=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + w.folder}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(c.Start())
	w.processes[name] = c
	go func() {
		err := c.Wait()
		w.mu.Lock()
		if w.closing {
			w.mu.Unlock()
			return
		}
		w.ownEnds[name]++
		n := w.ownEnds[name]
		w.mu.Unlock()
		w.logf("process %s ended by itself, %v; for the %d. time; last words: %s", name, err, n, w.lastWords(name))
		time.Sleep(restartDelay)
		w.run(name, role, settings)
	}()
}

// lastWords returns the line of a process's log that tells of a panic, or its last line.
func (w *world) lastWords(name string) string {
	data, _ := os.ReadFile(filepath.Join(w.folder, name+".log"))
	if len(data) > 64<<10 {
		data = data[len(data)-64<<10:]
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.HasPrefix(lines[i], "panic:") {
			for _, l := range lines[i:] {
				if strings.Contains(l, "/internal/") && strings.Contains(l, "(") && !strings.HasPrefix(l, "\t") {
					return lines[i] + " in " + l[strings.LastIndex(l, "/")+1:]
				}
			}
			return lines[i]
		}
	}
	return lines[len(lines)-1]
}

// close ends all processes that were started.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing {
		return
	}
	w.closing = true
	for _, c := range w.processes {
		_ = c.Process.Kill()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(w.folder)
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func encode(v any) string {
	data, err := json.Marshal(v)
	must(err)
	return string(data)
}
