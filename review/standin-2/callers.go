package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const host = "nony24.example"

type (
	// step is a step of a job as a client submits it, with what its tasks do.
	step struct {
		Count        int   `json:"count"`
		CPU          int   `json:"cpu"`
		MemMB        int   `json:"mem-mb"`
		EstimateMs   int   `json:"estimate-ms"`
		After        []int `json:"after,omitempty"`
		Gang         bool  `json:"gang,omitempty"`
		AntiAffinity int   `json:"anti-affinity,omitempty"`
		Persistent   bool  `json:"persistent,omitempty"`

		work time.Duration // of a task; 0 if it lasts
		// failsAfter returns after which time a run fails by its own fault; 0 if it doesn't. It
		// may be nil.
		failsAfter func(index int, run uint32) time.Duration
	}

	job struct {
		id, queue string
		Spec      string `json:"spec"`
		Steps     []step `json:"steps"`
		accepted  bool
		cancelled bool
	}

	route struct {
		Name            string  `json:"name"`
		Host            string  `json:"host"`
		PathPrefix      string  `json:"path-prefix"`
		Kind            string  `json:"kind"`
		TimeoutMs       int     `json:"timeout-ms"`
		TargetRuntimeMs int     `json:"target-runtime-ms"`
		Priority        int     `json:"priority"`
		Service         string  `json:"service"`
		MaxAttempts     int     `json:"max-attempts"`
		Stretch         float64 `json:"stretch"`
	}
)

var clientOfAll = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// request sends a request and returns the status, 0 without an answer, and the body.
func (w *world) request(method, address, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	must(err)
	if !strings.HasPrefix(path, "/api/") {
		r.Host = host
		r.Header.Set("X-Deadline-Ms", "3000")
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := clientOfAll.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// queue returns a route of the only service.
func queue(name string, attempts int) route {
	return route{
		Name: "r-" + name, Host: host, PathPrefix: "/" + name + "/", Kind: "non_idempotent", TimeoutMs: 3000, TargetRuntimeMs: 1000,
		Priority: 1, Service: "huvo11a", MaxAttempts: attempts, Stretch: 2,
	}
}

// configure sends a configuration until it is acknowledged.
func (w *world) configure(version int, routes ...route) {
	body := encode(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "huvo11a", "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": true, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	for i := 0; ; i++ {
		address := w.controlAddresses[i%controls]
		code, text := w.request("PUT", address, "/api/config", body)
		if code == 200 {
			w.logf("operator: configuration %d is acknowledged by %s: %s", version, address, body)
			return
		}
		if i > 300 {
			panic(fmt.Sprintf("configuration %d isn't acknowledged: %d %s", version, code, text))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (j *job) path() string { return "/" + j.queue + "/" + j.id }

// submit submits a job until it is accepted.
func (w *world) submit(j *job) {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	body := encode(j)
	for i := 0; ; i++ {
		address := w.entryAddresses[i%entries]
		code, text := w.request("POST", address, j.path(), body)
		w.logf("client: POST %s at %s -> %d %s", j.path(), address, code, text)
		if code == 200 {
			j.accepted = true
			w.logf("client: job %s is accepted: %s", j.id, body)
			return
		}
		if i > 100 {
			panic("the job isn't accepted")
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// cancel cancels a job until that is acknowledged.
func (w *world) cancel(j *job) {
	for i := 0; ; i++ {
		address := w.entryAddresses[i%entries]
		code, text := w.request("DELETE", address, j.path(), "")
		w.logf("client: DELETE %s at %s -> %d %s", j.path(), address, code, text)
		if code == 200 || code == 410 {
			j.cancelled = true
			return
		}
		if i > 100 {
			panic("the cancelling isn't acknowledged")
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// state returns the state of a job as an entry shows it; "" without a clear answer.
func (w *world) state(j *job, i int) (state string, code int) {
	address := w.entryAddresses[i%entries]
	code, text := w.request("GET", address, j.path(), "")
	if code == 200 {
		state = strings.TrimSuffix(strings.TrimPrefix(text, `{"state":"`), `"}`)
	}
	return state, code
}

// await waits until a job is shown in a state.
func (w *world) await(j *job, state string, limit time.Duration) bool {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		got, code := w.state(j, 0)
		if text := fmt.Sprintf("%d %s", code, got); text != last {
			w.logf("client: GET %s -> %s", j.path(), text)
			last = text
		}
		if got == state {
			return true
		}
	}
	return false
}
