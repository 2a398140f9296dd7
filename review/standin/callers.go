// This file implements the stand-ins of clients and of the operator, and a proxy.

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host   = "nony24.example"
	prefix = "/lohu930/"
)

// callers sends what clients and the operator send.
type callers struct {
	system *system
	record *record
	client *http.Client
}

func newCallers(s *system, r *record) *callers {
	return &callers{system: s, record: r, client: &http.Client{Timeout: 3 * time.Second}}
}

// call sends one request. It returns 0 if there was no response.
func (c *callers) call(method, address, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	if !strings.HasPrefix(path, "/api/") {
		request.Host = host
		request.Header.Set("X-Deadline-Ms", "3000")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// configure sends a configuration until it is acknowledged, each time to the next node.
func (c *callers) configure(body string, limit time.Duration) error {
	nodes := c.system.controlAddresses()
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		code, answer := c.call(http.MethodPut, nodes[i%len(nodes)], "/api/config", body)
		c.record.add("operator: PUT /api/config at %s, %d bytes -> %d %s", nodes[i%len(nodes)], len(body), code, answer)
		if code == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the configuration wasn't acknowledged")
}

// submit sends a job until it is accepted, each time to the next node.
func (c *callers) submit(id, body string) error {
	nodes := c.system.frontAddresses()
	for i, end := 0, time.Now().Add(20*time.Second); time.Now().Before(end); i++ {
		code, answer := c.call(http.MethodPost, nodes[i%len(nodes)], prefix+id, body)
		c.record.add("client: POST %s%s %s -> %d %s", prefix, id, body, code, answer)
		if code == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s wasn't accepted", id)
}

// state returns the state of a job, or the status code if there is none.
func (c *callers) state(id string) string {
	code, body := c.call(http.MethodGet, c.system.frontAddresses()[0], prefix+id, "")
	_, state, found := strings.Cut(body, `"state":"`)
	if code != http.StatusOK || !found {
		return fmt.Sprintf("%d %s", code, body)
	}
	return strings.TrimSuffix(strings.TrimSpace(state), `"}`)
}

// configuration returns a configuration with one route and one service whose runners check
// what they admit.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-3hwrr6x","host":%q,"path-prefix":%q,"kind":"non_idempotent","timeout-ms":3000,`+
		`"target-runtime-ms":250,"priority":0,"service":"huvo11a","max-attempts":3,"stretch":1.5}],"services":[{"name":"huvo11a",`+
		`"health-path":"/healthz","max-conns":64,"protocol":"h1","tls":false,"admission-check":true,"standby":false}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, version, host, prefix)
}

// proxy passes connections on to a node. While dropping is set, it passes requests on and
// drops the responses.
type proxy struct {
	listener net.Listener
	target   string
	dropping atomic.Bool
	dropped  atomic.Int64 // bytes
}

func newProxy(ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(from)
	}
}

func (p *proxy) pass(from net.Conn) {
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		from.Close()
		return
	}
	go func() {
		_, _ = io.Copy(to, from)
		to.Close()
	}()
	defer from.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := to.Read(buffer)
		if p.dropping.Load() {
			p.dropped.Add(int64(n))
		} else if _, writeErr := from.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err != nil {
			return
		}
	}
}
