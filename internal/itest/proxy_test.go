// This file defines the fault-injecting proxy.

package itest

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const holdPoll = 5 * time.Millisecond

type (
	// mesh stands between all processes. Each opens its connections from an IP
	// number of its own, by which the mesh knows who opened one, so that faults
	// can be set for pairs though all reach a process by one address.
	mesh struct {
		mu    sync.Mutex
		names map[string]string  // by IP number
		cuts  map[[2]string]bool // from opener to target; holds both ways
		delay time.Duration
		conns map[*pipe]bool
	}

	// pipe is one connection through the mesh.
	pipe struct {
		opener, target string
		// silent holds everything for good: something between the ends has
		// forgotten the connection.
		silent bool
	}
)

func newMesh() *mesh {
	return &mesh{names: map[string]string{}, cuts: map[[2]string]bool{}, conns: map[*pipe]bool{}}
}

// listen puts a proxy before a target and returns the proxy's address.
func (m *mesh) listen(t *testing.T, name, target string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go m.serve(conn, name, target)
		}
	}()
	return listener.Addr().String()
}

func (m *mesh) serve(from net.Conn, name, target string) {
	defer from.Close()
	p := &pipe{opener: m.openerOf(from), target: name}
	m.mu.Lock()
	m.conns[p] = true
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.conns, p)
		m.mu.Unlock()
	}()
	m.hold(p) // a cut swallows the opening too
	to, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	go func() { m.pump(p, from, to); done <- struct{}{} }()
	go func() { m.pump(p, to, from); done <- struct{}{} }()
	<-done
}

func (m *mesh) pump(p *pipe, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			m.hold(p)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			m.hold(p) // an end behind a cut isn't heard of
			return
		}
	}
}

// hold delays as the faults say; bytes held by a cut go on when it heals, as
// retransmission would have it.
func (m *mesh) hold(p *pipe) {
	m.mu.Lock()
	delay := m.delay
	m.mu.Unlock()
	time.Sleep(delay)
	for {
		m.mu.Lock()
		held := p.silent || m.cuts[[2]string{p.opener, p.target}]
		m.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(holdPoll)
	}
}

// isolate cuts a process off from all others, both ways and silently.
func (m *mesh) isolate(name string, others ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range others {
		if other != name {
			m.cuts[[2]string{name, other}], m.cuts[[2]string{other, name}] = true, true
		}
	}
}

// heal ends all cuts.
func (m *mesh) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.cuts)
}

// forget makes every present connection silent for good; new ones work.
func (m *mesh) forget() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.conns {
		p.silent = true
	}
	return len(m.conns)
}

// source gives a process the IP number that it opens connections from.
func (m *mesh) source(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ip, known := range m.names {
		if known == name {
			return ip
		}
	}
	ip := fmt.Sprintf("127.0.1.%d", len(m.names)+1)
	m.names[ip] = name
	return ip
}

// openerOf tells which process opened a connection; empty for those that the
// mesh gave no IP number.
func (m *mesh) openerOf(conn net.Conn) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.names[conn.RemoteAddr().(*net.TCPAddr).IP.String()]
}
