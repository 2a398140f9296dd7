// This file implements the fault-injecting proxy.

package itest

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const blockPollInterval = 5 * time.Millisecond

type (
	// proxyMesh forwards all connections between processes. Each process connects from
	// an IP address of its own, by which the mesh identifies it, so that faults can be
	// injected for pairs of processes.
	proxyMesh struct {
		mu      sync.Mutex
		names   map[string]string  // by IP address
		blocked map[[2]string]bool // source and target; blocks both directions
		delay   time.Duration
		conns   map[*proxyConn]bool
	}

	// proxyConn is one connection through the mesh.
	proxyConn struct {
		source, target string
		// blackholed blocks the connection forever, as after the loss of connection
		// tracking state.
		blackholed bool
	}
)

func newProxyMesh() *proxyMesh {
	return &proxyMesh{names: map[string]string{}, blocked: map[[2]string]bool{}, conns: map[*proxyConn]bool{}}
}

// listen starts a proxy to target and returns its address.
func (m *proxyMesh) listen(t *testing.T, name, target string) string {
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

func (m *proxyMesh) serve(from net.Conn, name, target string) {
	defer from.Close()
	p := &proxyConn{source: m.sourceOf(from), target: name}
	m.mu.Lock()
	m.conns[p] = true
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.conns, p)
		m.mu.Unlock()
	}()
	m.waitUnblocked(p) // connecting is blocked as well
	to, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	go func() { m.forward(p, from, to); done <- struct{}{} }()
	go func() { m.forward(p, to, from); done <- struct{}{} }()
	<-done
}

func (m *proxyMesh) forward(p *proxyConn, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			m.waitUnblocked(p)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			m.waitUnblocked(p) // closing is blocked as well
			return
		}
	}
}

// waitUnblocked delays the caller and blocks it as long as the connection is blocked.
// Blocked data is delivered afterwards, as after retransmission.
func (m *proxyMesh) waitUnblocked(p *proxyConn) {
	m.mu.Lock()
	delay := m.delay
	m.mu.Unlock()
	time.Sleep(delay)
	for {
		m.mu.Lock()
		blocked := p.blackholed || m.blocked[[2]string{p.source, p.target}]
		m.mu.Unlock()
		if !blocked {
			return
		}
		time.Sleep(blockPollInterval)
	}
}

// isolate blocks all connections between a process and others, in both directions.
func (m *proxyMesh) isolate(name string, others ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range others {
		if o != name {
			m.blocked[[2]string{name, o}], m.blocked[[2]string{o, name}] = true, true
		}
	}
}

// heal unblocks all connections that isolate has blocked.
func (m *proxyMesh) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.blocked)
}

// blackholeAll blocks all open connections forever. New connections work.
func (m *proxyMesh) blackholeAll() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.conns {
		p.blackholed = true
	}
	return len(m.conns)
}

// sourceIP returns the IP address from which a process opens connections.
func (m *proxyMesh) sourceIP(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ip, n := range m.names {
		if n == name {
			return ip
		}
	}
	ip := fmt.Sprintf("127.0.1.%d", len(m.names)+1)
	m.names[ip] = name
	return ip
}

// sourceOf returns the process that opened a connection, or "" if it is unknown.
func (m *proxyMesh) sourceOf(conn net.Conn) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.names[conn.RemoteAddr().(*net.TCPAddr).IP.String()]
}
