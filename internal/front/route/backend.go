// This file defines Backend, the load and the connections of one backend server.

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
	// ejectionThreshold is the number of consecutive failed attempts after which a
	// backend server is ejected.
	ejectionThreshold = 3
	baseEjectionTime  = time.Second
	maxEjectionTime   = 30 * time.Second
	// maxIdleTime is how long a connection may have been idle to be reused. After a
	// longer time a middlebox may have dropped its state.
	maxIdleTime = 5 * time.Second
	// maxIdleTimeNonIdempotent is the same limit for non-idempotent requests, whose
	// outcome would be unknown if the connection turned out to be dead.
	maxIdleTimeNonIdempotent = time.Second
	dialTimeout              = time.Second
)

var (
	ejectedTotal = metrics.NewCounter("sycamoredeck_backend_servers_ejected_total")
	dialsTotal   = metrics.NewCounter("sycamoredeck_backend_server_dials_total")
)

type (
	// AttemptOutcome is the outcome of an attempt. The zero value doesn't change the
	// backend server's statistics.
	AttemptOutcome struct {
		// Latency is set if the backend server responded in time.
		Latency time.Duration
		// LateLatency is set if the response arrived after the deadline.
		LateLatency time.Duration
		// Failed is set if the backend server couldn't be reached, the connection broke
		// or the attempt timed out.
		Failed bool
	}

	// Backend is one incarnation of a backend server. The mutex of its Service guards the
	// fields that mu doesn't.
	Backend struct {
		announcement   *wire.Announcement
		slotLimit      int // this entry's share of the slots
		maxConnections int
		inFlight       int
		latency        time.Duration
		lastPicked     time.Time
		failures       int
		ejections      int
		ejectedUntil   time.Time
		// removed is set once the backend server is no longer one of its service. Its
		// released slots are not counted as free.
		removed bool

		mu     sync.Mutex // guards idle and closed
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

// ID returns the backend server's ID.
func (b *Backend) ID() string { return b.announcement.BackendServerId }

// Incarnation returns the backend server's incarnation.
func (b *Backend) Incarnation() uint64 { return b.announcement.Incarnation }

func (b *Backend) available(now time.Time, tried []string) bool {
	return b.inFlight < b.slotLimit && !now.Before(b.ejectedUntil) && !slices.Contains(tried, b.announcement.BackendServerId)
}

// recordOutcome updates the average latency, and ejects the backend server for longer
// each time that attempts fail repeatedly.
func (b *Backend) recordOutcome(now time.Time, o AttemptOutcome) {
	if o.Latency > 0 {
		b.latency = ewma(b.latency, o.Latency, latencySmoothing)
		b.failures, b.ejections = 0, 0
		return
	}
	if o.LateLatency > 0 {
		b.latency = ewma(b.latency, o.LateLatency, latencySmoothing)
	}
	if !o.Failed {
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

// connect returns an idle connection or dials a new one. For a non-idempotent request
// the idle connection must have returned a response recently.
func (b *Backend) connect(now, deadline time.Time, nonIdempotent bool) (*connection, error) {
	limit := maxIdleTime
	if nonIdempotent {
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

// popIdle removes and returns the most recently used connection. If that one has been
// idle for longer than the limit, popIdle closes it and returns nil: the caller dials one
// in its place, so that idle and busy connections together never exceed the slots.
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

// close closes the idle connections. Connections in use are closed when they are returned.
func (b *Backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, c := range b.idle {
		c.Close()
	}
	b.idle = nil
}
