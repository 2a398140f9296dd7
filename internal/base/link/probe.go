// This file defines probes, which check that a connection works before a call is sent on it.

package link

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
)

const (
	// freshAnswer is how long after an answer a connection needs no probe. Hellos are
	// answered after 700 ms at most, so that a call on a working connection doesn't wait for
	// a probe.
	freshAnswer = 750 * time.Millisecond
	// probeTimeout bounds a probe. Callers wait for 3 s in all, and a peer that answers
	// later than this doesn't complete a commit in time either.
	probeTimeout = 250 * time.Millisecond
	// failureMemory is how long a failed probe answers for further ones, so that callers
	// who try again at short intervals don't keep a probe in flight all the time.
	failureMemory = 200 * time.Millisecond
)

// ErrNotResponding is returned by a probe that wasn't answered.
var ErrNotResponding = errors.New("link: the peer doesn't answer a ping")

var (
	probesAnswered   = metrics.NewCounter(`sycamoredeck_link_probes_total{outcome="answered"}`)
	probesUnanswered = metrics.NewCounter(`sycamoredeck_link_probes_total{outcome="unanswered"}`)
)

type (
	// evidence is what is known about the current connection of a link. The zero value
	// knows nothing.
	evidence struct {
		mu                   sync.Mutex
		conn                 *grpc.ClientConn // that the rest is about
		answeredAt, failedAt time.Time
		inFlight             *probe
	}

	// probe is a ping that several callers may wait for. err is set before done is closed.
	probe struct {
		done chan struct{}
		err  error
	}
)

// Probe returns the current connection if it has answered within freshAnswer, or answers a
// ping now. The error is ErrNotResponding or that of the context.
func (l *Link) Probe(ctx context.Context) (*grpc.ClientConn, error) {
	conn := l.Conn()
	p, err := l.evidence.check(conn, l.options.now(), func(p *probe) { go l.runProbe(conn, p) })
	if p == nil {
		return conn, err
	}
	select {
	case <-p.done:
		return conn, p.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// check returns the probe to wait for, which it starts if necessary; nil if what is known
// about the connection is enough.
func (e *evidence) check(conn *grpc.ClientConn, now time.Time, start func(*probe)) (*probe, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startOver(conn)
	switch {
	case within(e.answeredAt, now, freshAnswer):
		return nil, nil
	case within(e.failedAt, now, failureMemory):
		return nil, ErrNotResponding
	case e.inFlight == nil:
		e.inFlight = &probe{done: make(chan struct{})}
		start(e.inFlight)
	}
	return e.inFlight, nil
}

// startOver forgets what is known if the connection was replaced. The caller holds mu.
func (e *evidence) startOver(conn *grpc.ClientConn) {
	if e.conn != conn {
		e.conn, e.answeredAt, e.failedAt, e.inFlight = conn, time.Time{}, time.Time{}, nil
	}
}

// recordAnswer records that a call on the current connection was answered.
func (e *evidence) recordAnswer(conn *grpc.ClientConn, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startOver(conn)
	e.answeredAt, e.failedAt = now, time.Time{}
}

// recordProbe records the end of a probe.
func (e *evidence) recordProbe(conn *grpc.ClientConn, p *probe, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != conn || e.inFlight != p {
		return
	}
	e.inFlight = nil
	if p.err != nil {
		e.failedAt = now
	}
}

// runProbe pings a connection. The probe outlives the caller who started it, since others
// may wait for it.
func (l *Link) runProbe(conn *grpc.ClientConn, p *probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if _, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{}); err != nil {
		p.err = ErrNotResponding
		probesUnanswered.Inc()
	} else {
		probesAnswered.Inc()
	}
	l.evidence.recordProbe(conn, p, l.options.now())
	close(p.done)
}

func within(at, now time.Time, limit time.Duration) bool {
	return !at.IsZero() && now.Sub(at) <= limit
}

// Probe returns the current connection to address once it is known to answer, as
// Link.Probe does. It dials it if necessary.
func (p *Pool) Probe(ctx context.Context, address string) (*grpc.ClientConn, error) {
	l, err := p.link(address)
	if err != nil {
		return nil, err
	}
	return l.Probe(ctx)
}
