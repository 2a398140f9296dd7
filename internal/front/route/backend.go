// This file defines Backend: one backend server, its load and its connections.

package route

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// ejectionThreshold is how many attempts in a row must fail before a
	// backend server is passed over.
	ejectionThreshold = 3
	baseEjectionTime  = time.Second
	maxEjectionTime   = 30 * time.Second
	// maxIdleTime is how long an idle connection is kept; longer, and something
	// between the ends may have forgotten it.
	maxIdleTime = 5 * time.Second
	// maxIdleTimeNonIdempotent is how lately a connection must have answered to carry a
	// non-idempotent request: on a silent one it would end as unknown.
	maxIdleTimeNonIdempotent = time.Second
	dialTimeout              = time.Second
)

var (
	ejectedTotal = metrics.NewCounter("sycamoredeck_backend_servers_ejected_total")
	dialsTotal   = metrics.NewCounter("sycamoredeck_backend_server_dials_total")
)

type (
	// Ended is how an attempt went. The zero value changes nothing.
	AttemptOutcome struct {
		// Latency is set when the backend server answered.
		Latency time.Duration
		// Late is set when the answer came after the deadline.
		LateLatency time.Duration
		// Failed says that it was not reached, broke off or ran out of time.
		Failed bool
	}

	// Backend is one incarnation of a backend server. Its load is guarded by
	// the Service it belongs to, its connections by itself.
	Backend struct {
		announcement   *wire.Announcement
		slotLimit      int
		maxConnections int
		inFlight       int
		latency        time.Duration
		lastPicked     time.Time
		failures       int
		ejections      int
		ejectedUntil   time.Time
		// gone says that it is no longer among its service's; its slots don't
		// come back.
		removed bool

		mu     sync.Mutex
		idle   []*connection
		closed bool
	}

	connection struct {
		net.Conn
		reader   *bufio.Reader
		writer   *bufio.Writer
		lastUsed time.Time
	}
)

func newBackend(a *wire.Announcement) *Backend {
	return &Backend{announcement: a, latency: initialLatency}
}

func backendKey(a *wire.Announcement) string {
	return fmt.Sprintf("%s/%d/%s/%d/%d", a.BackendServerId, a.Incarnation, a.Address, a.Slots, a.Connections)
}

func (b *Backend) key() string { return backendKey(b.announcement) }

// ID is the backend server's id.
func (b *Backend) ID() string { return b.announcement.BackendServerId }

// Incarnation is the backend server's incarnation.
func (b *Backend) Incarnation() uint64 { return b.announcement.Incarnation }

func (b *Backend) available(now time.Time, tried []string) bool {
	return b.inFlight < b.slotLimit && !now.Before(b.ejectedUntil) && !slices.Contains(tried, b.announcement.BackendServerId)
}

func (b *Backend) recordOutcome(now time.Time, e AttemptOutcome) {
	if e.Latency > 0 {
		b.latency = ewma(b.latency, e.Latency, latencySmoothing)
		b.failures, b.ejections = 0, 0
		return
	}
	if e.LateLatency > 0 {
		b.latency = ewma(b.latency, e.LateLatency, latencySmoothing)
	}
	if !e.Failed {
		return
	}
	b.failures++
	if b.failures < ejectionThreshold {
		return
	}
	b.failures = 0
	b.ejectedUntil = now.Add(min(baseEjectionTime<<min(b.ejections, 10), maxEjectionTime))
	b.ejections++
	ejectedTotal.Inc()
}

// connect returns an idle connection, or a new one. One for a non-idempotent
// request must have answered lately or be new.
func (b *Backend) connect(now, deadline time.Time, proved bool) (*connection, error) {
	limit := maxIdleTime
	if proved {
		limit = maxIdleTimeNonIdempotent
	}
	if c := b.popIdle(now, limit); c != nil {
		return c, nil
	}
	dialsTotal.Inc()
	conn, err := net.DialTimeout("tcp", b.announcement.Address, min(dialTimeout, deadline.Sub(now)))
	if err != nil {
		return nil, err
	}
	conn = &countingConn{Conn: conn}
	return &connection{Conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}, nil
}

// popIdle takes the connection used last and closes those idle for too long.
// It closes all that can't be used even now, so that idle and busy connections
// together never exceed the slots.
func (b *Backend) popIdle(now time.Time, limit time.Duration) *connection {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := len(b.idle) - 1
	if last < 0 {
		return nil
	}
	c := b.idle[last]
	b.idle = b.idle[:last]
	if now.Sub(c.lastUsed) <= limit {
		return c
	}
	// The one used last is too old, so all are; one is closed for the new one.
	c.Close()
	return nil
}

func (b *Backend) pushIdle(c *connection, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		c.Close()
		return
	}
	c.lastUsed = now
	b.idle = append(b.idle, c)
}

// close closes the idle connections, and the busy ones as they come back.
func (b *Backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, c := range b.idle {
		c.Close()
	}
	b.idle = nil
}
