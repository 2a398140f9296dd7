// This file defines connTable, which bounds the connections of a server, and conn.

package intake

import (
	"container/list"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"sycamoredeck.example/internal/base/files"
	"sycamoredeck.example/internal/base/memory"
)

const (
	// acceptRetryDelay is the pause after a connection couldn't be accepted.
	acceptRetryDelay = 20 * time.Millisecond
	// maxClosing is the number of connections above the limit while revoked ones close.
	maxClosing = 32
	// A refused connection whose request wasn't read is drained for at most lingerTimeout
	// and lingerBytes before it is closed: closing it at once resets it, and the caller may
	// lose the answer. maxLingering bounds the number of such connections.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	maxLingering  = 32
	// refusalLogInterval is the least time between log lines about refused connections.
	refusalLogInterval = time.Minute
)

// refusal is the answer to a connection above the limit.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

type (
	// connTable is a listener that accepts a limited number of connections. When all are
	// in use, the connection whose caller has had the turn for longest is closed, if that
	// is patience or more; otherwise the new one is refused.
	connTable struct {
		net.Listener
		limit    int
		budget   *memory.Budget
		patience time.Duration
		// answer is sent to refused callers; they are only disconnected if it is empty.
		answer string
		logger *slog.Logger // may be nil
		// gauge, refused and revokes count connections; gauge may be nil.
		gauge            *metrics.Gauge
		refused, revokes *metrics.Counter

		mu        sync.Mutex
		open      int
		revoked   int
		lingering int
		waiting   list.List // of *conn; those whose callers have the turn, longest first
		loggedAt  time.Time
	}

	// conn is a connection of a caller. The table's mutex guards all fields but hold.
	conn struct {
		net.Conn
		table   *connTable
		since   time.Time
		element *list.Element // in table.waiting, or nil
		revoked bool
		closed  bool
		// unread is set if the caller was answered before its request was read whole.
		unread bool

		// hold is what the current request holds, or nil. Only the goroutine that serves
		// the connection uses it.
		hold *memory.Hold
	}
)

// Accept returns the next connection within the limit. It returns an error only when the
// listener is closed.
func (t *connTable) Accept() (net.Conn, error) {
	for {
		raw, err := t.Listener.Accept()
		switch {
		case files.IsDescriptorExhausted(err):
			t.logRefusal("no descriptor is free")
			t.revokeLongest()
			time.Sleep(acceptRetryDelay)
			continue
		case isTemporary(err):
			continue
		case err != nil:
			return nil, err
		}
		if c := t.admit(raw); c != nil {
			return c, nil
		}
		t.refused.Inc()
		t.logRefusal("all connections are in use")
		t.refuse(raw)
	}
}

// admit returns the connection with a place in the table, or nil if there is none.
func (t *connTable) admit(raw net.Conn) *conn {
	t.mu.Lock()
	full := t.open-t.revoked >= t.limit
	t.mu.Unlock()
	if full && !t.revokeLongest() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open >= t.limit+maxClosing {
		return nil
	}
	t.addOpen(1)
	c := &conn{Conn: raw, table: t}
	c.startWaiting()
	return c
}

func (t *connTable) addOpen(n int) {
	t.open += n
	if t.gauge != nil {
		t.gauge.Add(float64(n))
	}
}

// revokeLongest ends the wait for the caller that has had the turn for longest, and reports
// whether there is one that has had it for the table's patience.
func (t *connTable) revokeLongest() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	front := t.waiting.Front()
	if front == nil || time.Since(front.Value.(*conn).since) < t.patience {
		return false
	}
	t.revokes.Inc()
	front.Value.(*conn).revokeLocked()
	return true
}

// refuse answers a connection that has no place, without blocking.
func (t *connTable) refuse(raw net.Conn) {
	if t.answer == "" || !t.startLingering() {
		raw.Close()
		return
	}
	go func() {
		defer t.stopLingering()
		_ = raw.SetWriteDeadline(time.Now().Add(lingerTimeout))
		if _, err := io.WriteString(raw, t.answer); err == nil {
			drain(raw)
		}
		raw.Close()
	}()
}

func (t *connTable) startLingering() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lingering >= maxLingering {
		return false
	}
	t.lingering++
	return true
}

func (t *connTable) stopLingering() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lingering--
}

// drain reads what is on its way from a caller that has been answered.
func drain(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only if the caller has closed the connection
	}
	_ = raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	var buffer [4 << 10]byte
	for read := 0; read < lingerBytes; {
		n, err := raw.Read(buffer[:])
		if err != nil {
			return
		}
		read += n
	}
}

// logRefusal logs at most one line per refusalLogInterval.
func (t *connTable) logRefusal(reason string) {
	t.mu.Lock()
	due := time.Since(t.loggedAt) >= refusalLogInterval
	if due {
		t.loggedAt = time.Now()
	}
	open := t.open
	t.mu.Unlock()
	if due && t.logger != nil {
		t.logger.Warn("refusing connections", "address", t.Addr().String(), "reason", reason, "open", open, "limit", t.limit)
	}
}

// isTemporary reports whether the next connection may be accepted, as the caller of this one
// has reset it.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.ECONNRESET)
}

// changeState is called by the HTTP server.
func changeState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.startWaitingUnlocked()
		c.hold = c.table.budget.Open(c.revoke)
	case fasthttp.StateIdle:
		c.closeHold()
		c.startWaitingUnlocked()
	case fasthttp.StateClosed:
		c.closeHold()
	}
}

// startWaiting records that it is the caller's turn from now on.
func (c *conn) startWaiting() {
	if c.revoked || c.closed {
		return
	}
	c.stopWaiting()
	c.since = time.Now()
	c.element = c.table.waiting.PushBack(c)
}

func (c *conn) startWaitingUnlocked() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.startWaiting()
}

func (c *conn) stopWaiting() {
	if c.element != nil {
		c.table.waiting.Remove(c.element)
		c.element = nil
	}
}

// finishRequest records that the request was received, and reports whether the connection
// hasn't been revoked before. It isn't revoked from then on until the response is written.
func (c *conn) finishRequest() bool {
	c.hold.Finish()
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.stopWaiting()
	return !c.revoked
}

// isRevoked reports whether the wait for the caller was ended for the sake of others.
func (c *conn) isRevoked() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.revoked
}

// revoke ends the wait for the caller unless its request has been received.
func (c *conn) revoke() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.element != nil {
		requestsRevoked.Inc()
		c.revokeLocked()
	}
}

func (c *conn) revokeLocked() {
	c.stopWaiting()
	c.revoked = true
	c.table.revoked++
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// SetReadDeadline sets the deadline unless the connection was revoked.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.revoked {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// leaveUnread records that the caller is answered without reading the rest of its request.
func (c *conn) leaveUnread() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.unread = true
}

// SetDeadline does the same, and sets the deadline for writes.
func (c *conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

func (c *conn) closeHold() {
	if c.hold != nil {
		c.hold.Close()
		c.hold = nil
	}
}

// Close closes the connection. If its last request was refused unread, it waits for the
// caller to take the answer.
func (c *conn) Close() error {
	t := c.table
	t.mu.Lock()
	if c.closed {
		t.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	c.stopWaiting()
	unread := c.unread
	t.mu.Unlock()
	if unread && t.startLingering() {
		drain(c.Conn)
		t.stopLingering()
	}
	err := c.Conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addOpen(-1)
	if c.revoked {
		t.revoked--
	}
	return err
}
