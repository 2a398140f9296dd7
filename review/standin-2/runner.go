package main

import (
	"bytes"
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
	capacityCPU, capacityMemMB = 16000, 65536
	maxListed                  = 500
)

type (
	// runner is one runner, with a proxy in front that can cut it off.
	runner struct {
		world                   *world
		id, address, zone, rack string
		inner, outer            net.Listener
		began                   time.Time

		mu       sync.Mutex
		cut      bool
		slow     float64           // how many times as long its work takes
		conns    map[net.Conn]bool // through the proxy
		fence    uint64
		lapseAt  time.Duration // on its clock; 0 before the first lease
		running  map[string]*run
		closed   map[string]uint32 // the highest run stopped or ended, by task
		ended    [][]any
		number   uint64
		lastSeen uint64
		changed  chan struct{}
		seenFail map[string]int // ends `failed` that were taken note of, by task
	}

	run struct {
		runner    *runner
		task      string
		number    uint32
		job       *job
		step      *step
		index     int
		gang      *gang
		startedAt time.Time
		worked    time.Duration
		stopping  bool
		timer     *time.Timer
	}

	// gang is one run of a gang: its members that are present.
	gang struct {
		members map[int]*run
		over    bool
	}

	orderBody struct {
		Task       string `json:"task"`
		Run        uint32 `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMs int64  `json:"deadline-ms"`
		Fence      uint64 `json:"fence"`
		LastSeen   uint64 `json:"last-seen"`
		WaitMs     int64  `json:"wait-ms"`
		Checkpoint string `json:"last-checkpoint"`
	}
)

// startRunners starts runners in racks of eight and waits until each was acknowledged.
func (w *world) startRunners(n int) {
	zones := []string{"hall-grandi", "hall-keldur", "hall-vellir"}
	var registered sync.WaitGroup
	for i := range n {
		r := &runner{
			world: w, id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), address: fmt.Sprintf("%s%d:%d", w.prefix, 60+i, w.port), zone: zones[i%3], rack: fmt.Sprintf("r1-%d", i/8),
			began: time.Now().Add(-time.Hour), conns: map[net.Conn]bool{}, running: map[string]*run{}, closed: map[string]uint32{}, changed: make(chan struct{}), seenFail: map[string]int{},
		}
		var err error
		r.outer, err = net.Listen("tcp4", r.address)
		must(err)
		r.inner, err = net.Listen("tcp4", fmt.Sprintf("%s%d:%d", w.prefix, 150+i, w.port))
		must(err)
		go r.proxy()
		server := &http.Server{Handler: http.HandlerFunc(r.handle)}
		go server.Serve(r.inner)
		w.runners = append(w.runners, r)
		registered.Add(1)
		go r.sendHeartbeats(i, &registered)
		go r.lapse()
	}
	registered.Wait()
	w.logf("%d runners are registered", n)
}

// proxy forwards connections to the runner. While the runner is cut off, nothing passes in
// either direction, and the bytes that were held up are lost.
func (r *runner) proxy() {
	for {
		near, err := r.outer.Accept()
		if err != nil {
			return
		}
		go func() {
			defer near.Close()
			far, err := net.Dial("tcp4", r.inner.Addr().String())
			if err != nil {
				return
			}
			defer far.Close()
			r.mu.Lock()
			r.conns[near] = true
			r.mu.Unlock()
			defer func() {
				r.mu.Lock()
				delete(r.conns, near)
				r.mu.Unlock()
			}()
			done := make(chan struct{}, 2)
			go func() { r.forward(near, far); done <- struct{}{} }()
			go func() { r.forward(far, near); done <- struct{}{} }()
			<-done
		}()
	}
}

func (r *runner) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		lost = lost || r.cut
		r.mu.Unlock()
		if err != nil {
			return
		}
		if lost {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// setCut cuts the runner off from all machines of the system, or ends that. It runs on
// meanwhile. The connections that were open during a cut are closed at its end.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		for c := range r.conns {
			c.Close()
		}
	}
	r.world.logf("runner %s is cut off from the system: %v", r.id, cut)
}

func (r *runner) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *runner) sendHeartbeats(i int, registered *sync.WaitGroup) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var once sync.Once
	for seq := 1; ; seq++ {
		body := encode(map[string]any{
			"service": "huvo11a", "addr": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]any{"cpu": capacityCPU, "mem-mb": capacityMemMB, "gpu": 0}, "labels": []string{"a", r.rack}, "clock-ms": r.clock().Milliseconds(), "seq": seq,
		})
		for k := range controls {
			if r.isCut() {
				break
			}
			request, err := http.NewRequest("PUT", "http://"+r.world.controlAddresses[(i+k)%controls]+"/api/instances/"+r.id, strings.NewReader(body))
			must(err)
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode/100 == 2 {
				once.Do(registered.Done)
				break
			}
		}
		time.Sleep(heartbeat)
	}
}

func (r *runner) clock() time.Duration { return time.Since(r.began) }

// lapse ends everything that runs once the lease has expired.
func (r *runner) lapse() {
	for range time.Tick(20 * time.Millisecond) {
		r.mu.Lock()
		var lapsed []*run
		if r.lapseAt != 0 && r.clock() >= r.lapseAt {
			for _, x := range r.running {
				lapsed = append(lapsed, x)
			}
		}
		r.mu.Unlock()
		for _, x := range lapsed {
			x.end("lapsed")
		}
	}
}

func (r *runner) handle(w http.ResponseWriter, request *http.Request) {
	var o orderBody
	data, err := io.ReadAll(request.Body)
	if err != nil || json.NewDecoder(bytes.NewReader(data)).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if o.Fence < r.fence {
		r.mu.Unlock()
		r.answer(w, "fence", nil)
		return
	}
	r.fence = o.Fence
	if o.DeadlineMs > 0 && time.Duration(o.DeadlineMs)*time.Millisecond < r.clock() && request.URL.Path == "/api/run-start" {
		r.mu.Unlock()
		r.answer(w, "late", nil)
		return
	}
	r.lapseAt = max(r.lapseAt, min(time.Duration(o.DeadlineMs)*time.Millisecond, r.clock()+maxHold))
	r.mu.Unlock()
	switch request.URL.Path {
	case "/api/run-start":
		r.answer(w, r.startRun(o), nil)
	case "/api/run-stop":
		r.stopRun(o)
		r.answer(w, "", nil)
	case "/api/hold":
		r.hold(w, o)
	case "/api/pace":
		r.answer(w, "", nil)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) answer(w http.ResponseWriter, reason string, lists map[string]any) {
	body := map[string]any{"clock-ms": r.clock().Milliseconds()}
	for k, v := range lists {
		body[k] = v
	}
	if reason != "" {
		body["reason"] = reason
		w.WriteHeader(http.StatusConflict)
	}
	_, _ = io.WriteString(w, encode(body))
}

func (r *runner) hold(w http.ResponseWriter, o orderBody) {
	r.mu.Lock()
	if o.LastSeen > r.lastSeen {
		for _, e := range r.ended {
			if n := e[0].(uint64); n > r.lastSeen && n <= o.LastSeen {
				r.world.logf("runner %s: the end %v is taken note of", r.id, e)
				if e[3] == "failed" {
					r.seenFail[e[1].(string)]++
					r.world.noteFailed(e[1].(string))
				}
			}
		}
		r.lastSeen = o.LastSeen
	}
	for len(r.ended) > 0 && r.ended[0][0].(uint64) <= r.lastSeen {
		r.ended = r.ended[1:]
	}
	deadline := time.After(min(time.Duration(o.WaitMs)*time.Millisecond, 2*time.Second))
	for expired := o.WaitMs == 0; len(r.ended) == 0 && !expired; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			expired = true
		}
		r.mu.Lock()
	}
	running := [][]any{}
	for _, x := range r.running {
		percent := 100
		if x.step.work > 0 {
			percent = int(min(x.worked*100/x.step.work, 99))
		}
		running = append(running, []any{x.task, x.number, "", percent, x.step.CPU})
	}
	ended := append([][]any{}, r.ended[:min(len(r.ended), maxListed)]...)
	r.mu.Unlock()
	r.answer(w, "", map[string]any{"running": running, "ended": ended})
}

// startRun executes a start and returns the reason of a refusal.
func (r *runner) startRun(o orderBody) string {
	parts := strings.Split(o.Task, ".")
	r.world.mu.Lock()
	j := r.world.jobs[parts[0]]
	r.world.mu.Unlock()
	stepNumber, _ := strconv.Atoi(parts[2])
	index, _ := strconv.Atoi(parts[3])
	r.mu.Lock()
	if x := r.running[o.Task]; x != nil && x.number == o.Run {
		r.mu.Unlock()
		return ""
	}
	if o.Run <= r.closed[o.Task] {
		r.mu.Unlock()
		return "old"
	}
	s := &j.Steps[stepNumber]
	cpu, memory := s.CPU, s.MemMB
	for _, x := range r.running {
		cpu, memory = cpu+x.step.CPU, memory+x.step.MemMB
	}
	if cpu > capacityCPU || memory > capacityMemMB {
		r.mu.Unlock()
		return "room"
	}
	x := &run{runner: r, task: o.Task, number: o.Run, job: j, step: s, index: index, startedAt: time.Now()}
	r.running[o.Task] = x
	r.mu.Unlock()
	r.world.logf("runner %s: starts %s run %d, fence %d", r.id, o.Task, o.Run, o.Fence)
	r.world.noteStart(x)
	if s.Gang {
		x.joinGang()
	} else {
		x.work()
	}
	return ""
}

// work lets a run end by itself after its time.
func (x *run) work() {
	if x.step.failsAfter != nil {
		if after := x.step.failsAfter(x.index, x.number); after > 0 {
			x.timer = time.AfterFunc(after, func() { x.end("failed") })
			return
		}
	}
	if x.step.work > 0 {
		go x.workOff()
	}
}

// workOff lets a run end once its work is done, at the pace of its runner.
func (x *run) workOff() {
	r := x.runner
	for last := time.Now(); ; {
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		r.mu.Lock()
		x.worked += time.Duration(float64(now.Sub(last)) / max(r.slow, 1))
		over, done := r.running[x.task] != x || x.stopping, x.worked >= x.step.work
		r.mu.Unlock()
		last = now
		if over {
			return
		}
		if done {
			x.end("done")
			return
		}
	}
}

// turnSlow makes all work on the runner take x times as long for a time.
func (r *runner) turnSlow(x float64, lasts time.Duration) {
	set := func(x float64) {
		r.mu.Lock()
		r.slow = x
		r.mu.Unlock()
		r.world.logf("runner %s: work takes %v times as long", r.id, max(x, 1))
	}
	set(x)
	time.AfterFunc(lasts, func() { set(0) })
}

// joinGang adds a run to its gang. The members work from when all are present, and end
// together.
func (x *run) joinGang() {
	w := x.runner.world
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprintf("%s#%d", x.task[:strings.LastIndex(x.task, ".")], x.number)
	g := w.gangs[key]
	if g == nil {
		g = &gang{members: map[int]*run{}}
		w.gangs[key] = g
	}
	x.gang = g
	if g.over {
		x.timer = time.AfterFunc(gangTimeout, func() { x.end("alone") })
		return
	}
	g.members[x.index] = x
	if len(g.members) < x.step.Count {
		x.timer = time.AfterFunc(gangTimeout, func() { x.end("alone") })
		return
	}
	w.logf("gang %s: all members are present", key)
	for _, m := range g.members {
		if m.timer != nil {
			m.timer.Stop()
		}
		m.startedAt = time.Now()
	}
	for _, m := range g.members {
		if m.step.failsAfter == nil {
			continue
		}
		if after := m.step.failsAfter(m.index, m.number); after > 0 {
			m.timer = time.AfterFunc(after, func() { m.end("failed") })
			return
		}
	}
	if x.step.work > 0 {
		go x.workOff()
	}
}

// end ends a run, and the other members of its gang with it.
func (x *run) end(how string) {
	if !x.list(how) || x.gang == nil {
		return
	}
	w := x.runner.world
	w.mu.Lock()
	others := x.gang.members
	first := !x.gang.over
	x.gang.over = true
	w.mu.Unlock()
	if !first {
		return
	}
	with := "broken"
	if how == "done" {
		with = "done"
	}
	for _, m := range others {
		if m != x {
			m.list(with)
		}
	}
}

// list lists the end of a run, and returns whether it was running.
func (x *run) list(how string) bool {
	r := x.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[x.task] != x {
		return false
	}
	delete(r.running, x.task)
	r.closed[x.task] = max(r.closed[x.task], x.number)
	r.number++
	r.ended = append(r.ended, []any{r.number, x.task, x.number, how, ""})
	close(r.changed)
	r.changed = make(chan struct{})
	r.world.logf("runner %s: %s run %d ends %s", r.id, x.task, x.number, how)
	r.world.noteEnd(x, how)
	return true
}

func (r *runner) stopRun(o orderBody) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed[o.Task] = max(r.closed[o.Task], o.Run)
	x := r.running[o.Task]
	r.world.logf("runner %s: is told to stop %s run %d", r.id, o.Task, o.Run)
	if x == nil || x.number > o.Run || x.stopping {
		return
	}
	x.stopping = true
	time.AfterFunc(stopTakes, func() { x.end("stopped") })
}
