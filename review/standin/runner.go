// This file implements the stand-in of a runner.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	// stopTakes is how long a stop takes: within the stop-grace-ms of 900 ms.
	stopTakes = 700 * time.Millisecond
	// checkpointInterval is the checkpoint-s of the sheet.
	checkpointInterval = time.Second
	runnerCPU          = 16000
	runnerMemory       = 64000
)

type (
	// work is what a task does. Clients write it into the spec of their jobs.
	work struct {
		Ms    int64 `json:"ms"` // run time; 0 until it is stopped
		CPU   int   `json:"cpu"`
		MemMB int   `json:"mem"`
		// TailMs is the tail of a task that serves. DisturbMs is what a task that fills
		// adds to the tails beside it.
		TailMs    int64 `json:"tail"`
		DisturbMs int64 `json:"disturb"`
	}

	// runnerRun is a run that exists on a runner.
	runnerRun struct {
		number   uint32
		work     work
		stopping bool
		paced    int64         // percent
		worked   time.Duration // at full pace, since the task's first start
		saved    time.Duration // of worked, in the latest checkpoint
		span     *span
	}

	// runner is one incarnation of a runner. All its fields but the first few are guarded
	// by mu.
	runner struct {
		id, ip   string
		kind     string // its first label
		controls []string
		record   *record
		account  *account
		server   *http.Server
		client   *http.Client
		bornAt   time.Time
		gone     chan struct{}

		mu       sync.Mutex
		up       bool
		fence    uint64
		runs     map[string]*runnerRun
		closed   map[string]uint32 // the highest run stopped or ended there, by task
		ended    [][]any
		lastEnd  uint64
		changed  chan struct{}
		lapsesAt time.Duration // when the lease expires, on the runner's clock
		draining bool
		leavesAt time.Time
		beatAt   string // heartbeat-addr
		seq      uint64
		// dark is set while the runner and its links are silent.
		dark bool
	}

	// order is the body of an order to a runner.
	order struct {
		Task       string `json:"task"`
		Run        uint32 `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMs int64  `json:"deadline-ms"`
		Fence      uint64 `json:"fence"`
		LastSeen   uint64 `json:"last-seen"`
		WaitMs     int64  `json:"wait-ms"`
		Percent    int    `json:"percent"`
		Checkpoint string `json:"last-checkpoint"`
	}
)

// startRunner starts a runner that listens at an address and sends heartbeats.
func startRunner(id, ip, kind string, controls []string, r *record, a *account) (*runner, error) {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, runnerPort))
	if err != nil {
		return nil, err
	}
	w := &runner{
		id: id, ip: ip, kind: kind, controls: controls, record: r, account: a, bornAt: time.Now(), up: true, gone: make(chan struct{}),
		runs: map[string]*runnerRun{}, closed: map[string]uint32{}, changed: make(chan struct{}),
		client: &http.Client{Timeout: time.Second},
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat()
	go w.tick()
	r.add("runner %s up at %s", id, w.address())
	return w, nil
}

func (w *runner) address() string { return fmt.Sprintf("%s:%d", w.ip, runnerPort) }

func (w *runner) clock() time.Duration { return time.Since(w.bornAt) }

// end ends the runner with all that runs on it. The caller says how.
func (w *runner) end(how string) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	close(w.gone)
	for task, r := range w.runs {
		w.record.add("runner %s: %s run %d ends with the runner", w.id, task, r.number)
		w.account.ended(r.span, how, w.record.now())
	}
	w.runs = map[string]*runnerRun{}
	w.mu.Unlock()
	w.server.Close()
	w.record.add("runner %s %s", w.id, how)
}

// beat sends heartbeats until the runner ends.
func (w *runner) beat() {
	for i := 0; ; i++ {
		w.mu.Lock()
		dark := w.dark
		w.mu.Unlock()
		if !dark {
			w.beatOnce(i)
		}
		select {
		case <-w.gone:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// beatOnce sends one heartbeat, to one node after the other until one acknowledges it.
func (w *runner) beatOnce(first int) bool {
	w.mu.Lock()
	w.seq++
	state, extra := "ready", ""
	if w.draining {
		state, extra = "draining", fmt.Sprintf(`,"remaining-ms":%d`, max(time.Until(w.leavesAt).Milliseconds(), 0))
	}
	body := fmt.Sprintf(`{"service":"huvo11a","addr":%q,"zone":"zg-dubrava","version":"v1","slots":8,"state":%q,"cold-left-ms":0,`+
		`"capacity":{"cpu":%d,"mem-mb":%d,"gpu":0},"labels":[%q,"r1-1"],"clock-ms":%d,"seq":%d%s}`,
		w.address(), state, runnerCPU, runnerMemory, w.kind, w.clock().Milliseconds(), w.seq, extra)
	nodes := append([]string(nil), w.controls[first%len(w.controls):]...)
	nodes = append(nodes, w.controls[:first%len(w.controls)]...)
	if w.beatAt != "" {
		nodes = append([]string{w.beatAt}, nodes...)
	}
	w.mu.Unlock()
	for _, n := range nodes {
		code, answer := w.report(http.MethodPut, n, body)
		if code == http.StatusOK {
			var a struct {
				Address string `json:"heartbeat-addr"`
			}
			_ = json.Unmarshal([]byte(answer), &a)
			w.mu.Lock()
			w.beatAt = a.Address
			w.mu.Unlock()
			return true
		}
	}
	w.mu.Lock()
	w.beatAt = ""
	w.mu.Unlock()
	return false
}

// report sends a heartbeat or a notice to a node. It returns 0 without a response.
func (w *runner) report(method, node, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+node+"/api/instances/"+w.id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// drain announces that the runner leaves, and returns once that is acknowledged.
func (w *runner) drain(stays time.Duration) bool {
	w.mu.Lock()
	w.draining, w.leavesAt = true, time.Now().Add(stays)
	w.mu.Unlock()
	acknowledged := w.beatOnce(0)
	w.record.add("runner %s: draining, acknowledged: %v", w.id, acknowledged)
	return acknowledged
}

// tick ends runs whose work is done or whose lease has expired.
func (w *runner) tick() {
	last := time.Now()
	for {
		select {
		case <-w.gone:
			return
		case <-time.After(10 * time.Millisecond):
		}
		w.mu.Lock()
		lapsed := w.lapsesAt > 0 && w.clock() > w.lapsesAt
		passed := time.Since(last)
		last = time.Now()
		for task, r := range w.runs {
			r.worked += passed * time.Duration(r.paced) / 100
			if r.worked-r.saved >= checkpointInterval {
				r.saved = r.worked
			}
			switch {
			case lapsed:
				w.finish(task, r, "lapsed")
			case r.work.Ms > 0 && r.worked >= time.Duration(r.work.Ms)*time.Millisecond && !r.stopping:
				w.finish(task, r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// finish lists the end of a run. It is called with mu held.
func (w *runner) finish(task string, r *runnerRun, how string) {
	delete(w.runs, task)
	w.closed[task] = max(w.closed[task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, task, r.number, how, r.checkpoint()})
	w.record.add("runner %s: %s run %d ended %s", w.id, task, r.number, how)
	w.account.ended(r.span, how, w.record.now())
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *runner) handle(response http.ResponseWriter, request *http.Request) {
	if w.silent() {
		w.hang(request)
		return
	}
	if request.Method == http.MethodGet {
		return // the health check
	}
	if request.Header.Get("X-Expect-Instance") != w.id {
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	if o.Fence < w.fence {
		w.refuse(response, "fence")
		return
	}
	w.fence = o.Fence
	w.extendLease(o.DeadlineMs)
	switch request.URL.Path {
	case "/api/hold":
		w.hold(response, request, o)
	case "/api/run-start":
		w.start(response, o)
	case "/api/run-stop":
		w.stop(response, o)
	case "/api/pace":
		w.pace(response, o)
	default:
		response.WriteHeader(http.StatusNotFound)
	}
}

func (w *runner) silent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dark
}

// hang gives no answer until the caller has left or the runner has ended.
func (w *runner) hang(request *http.Request) {
	select {
	case <-request.Context().Done():
	case <-w.gone:
	}
	panic(http.ErrAbortHandler)
}

func (w *runner) extendLease(deadlineMs int64) {
	until := time.Duration(deadlineMs) * time.Millisecond
	until = min(until, w.clock()+10*time.Second)
	w.lapsesAt = max(w.lapsesAt, until)
}

func (w *runner) accept(response http.ResponseWriter) {
	fmt.Fprintf(response, `{"clock-ms":%d}`, w.clock().Milliseconds())
}

func (w *runner) refuse(response http.ResponseWriter, reason string) {
	response.WriteHeader(http.StatusConflict)
	fmt.Fprintf(response, `{"clock-ms":%d,"reason":%q}`, w.clock().Milliseconds(), reason)
}

func (w *runner) start(response http.ResponseWriter, o order) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.accept(response)
		return
	}
	var k work
	if err := json.Unmarshal([]byte(o.Spec), &k); err != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	cpu, memory := k.admittedCPU(), k.MemMB
	for _, r := range w.runs {
		cpu, memory = cpu+r.work.admittedCPU(), memory+r.work.MemMB
	}
	reason := ""
	switch {
	case o.Run <= w.closed[o.Task] || w.runs[o.Task] != nil:
		reason = "old"
	case time.Duration(o.DeadlineMs)*time.Millisecond < w.clock():
		reason = "late"
	case cpu > runnerCPU || memory > runnerMemory:
		reason = "room"
	}
	if reason != "" {
		w.record.add("runner %s: %s run %d refused: %s", w.id, o.Task, o.Run, reason)
		w.refuse(response, reason)
		return
	}
	resumed := time.Duration(0)
	if n, err := strconv.ParseInt(o.Checkpoint, 16, 64); err == nil {
		resumed = time.Duration(n) * time.Millisecond
	}
	w.runs[o.Task] = &runnerRun{number: o.Run, work: k, paced: 100, worked: resumed, saved: resumed, span: w.account.began(o.Task, o.Run, w.id, w.record.now())}
	w.record.add("runner %s: %s run %d begins, fence %d", w.id, o.Task, o.Run, o.Fence)
	w.accept(response)
}

func (w *runner) stop(response http.ResponseWriter, o order) {
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	r := w.runs[o.Task]
	if r != nil && r.number == o.Run && !r.stopping {
		r.stopping = true
		w.record.add("runner %s: %s run %d is being stopped", w.id, o.Task, o.Run)
		time.AfterFunc(stopTakes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.up && w.runs[o.Task] == r {
				w.finish(o.Task, r, "stopped")
			}
		})
	}
	w.accept(response)
}

// hold answers with the lists of runs and ends, after waiting for an end if it is asked to.
func (w *runner) hold(response http.ResponseWriter, request *http.Request, o order) {
	for len(w.ended) > 0 && w.ended[0][0].(uint64) <= o.LastSeen {
		w.ended = w.ended[1:]
	}
	limit := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			waiting = false
		case <-request.Context().Done():
			waiting = false
		case <-w.gone:
			waiting = false
		}
		w.mu.Lock()
	}
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	if w.dark {
		w.mu.Unlock()
		defer w.mu.Lock()
		w.hang(request)
	}
	running := [][]any{}
	for task, r := range w.runs {
		percent := int64(100)
		if r.work.Ms > 0 {
			percent = min(r.worked.Milliseconds()*100/r.work.Ms, 99)
		}
		running = append(running, []any{task, r.number, r.checkpoint(), percent, w.figure(r)})
	}
	ended := w.ended
	if len(ended) > 500 {
		ended = ended[:500]
	}
	if ended == nil {
		ended = [][]any{}
	}
	_ = json.NewEncoder(response).Encode(map[string]any{"clock-ms": w.clock().Milliseconds(), "running": running, "ended": ended})
}

// admittedCPU is what a task counts against the capacity. Tasks that fill count nothing.
func (k work) admittedCPU() int {
	if k.DisturbMs > 0 {
		return 0
	}
	return k.CPU
}

func (w *runner) pace(response http.ResponseWriter, o order) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		r.paced = int64(o.Percent)
		w.record.add("runner %s: %s run %d paced at %d percent", w.id, o.Task, o.Run, o.Percent)
	}
	w.accept(response)
}

// checkpoint returns the latest checkpoint of a run; only tasks that fill take any here.
func (r *runnerRun) checkpoint() string {
	if r.work.DisturbMs == 0 || r.saved == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", r.saved.Milliseconds())
}

// figure returns the fifth entry of a row: the tail of a task that serves, with what the
// tasks beside it that fill add, or the CPU in use of any other.
func (w *runner) figure(r *runnerRun) int64 {
	if r.work.TailMs == 0 {
		return int64(r.work.CPU) * 8 / 10 * r.paced / 100
	}
	tail := r.work.TailMs
	for _, o := range w.runs {
		tail += o.work.DisturbMs * o.paced / 100
	}
	return tail
}
