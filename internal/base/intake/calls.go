// This file defines CallListener, which applies limits to the gRPC port of a process.

package intake

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"sycamoredeck.example/internal/base/memory"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// maxCallHeaderBytes limits the metadata of a call.
	maxCallHeaderBytes = 32 << 10
	// handshakeTimeout limits the time to begin an HTTP/2 connection.
	handshakeTimeout = 5 * time.Second
	// callPatience is how long a connection may complete no message while others need its
	// place. The system's own processes ping each other more often.
	callPatience = 5 * time.Second
	// fewCalls is the number of calls up to which a connection may use all places. The calls
	// of others leave spareCalls of them.
	fewCalls   = 16
	spareCalls = 0.25
	// keptBytes is what a connection keeps of an unfinished message without taking it from
	// the budget, so that ordinary messages cost nothing.
	keptBytes = 32 << 10
)

var (
	callsOpen         = metrics.NewGauge("sycamoredeck_grpc_calls", nil)
	callsRefused      = metrics.NewCounter("sycamoredeck_grpc_calls_refused_total")
	callConnsRefused  = metrics.NewCounter("sycamoredeck_grpc_connections_refused_total")
	callConnsRevoked  = metrics.NewCounter("sycamoredeck_grpc_connections_revoked_total")
	callMessagesEnded = metrics.NewCounter("sycamoredeck_grpc_messages_ended_total")
)

type (
	// CallLimits are those of a gRPC port. All are required.
	CallLimits struct {
		// Budget bounds what unfinished messages hold together.
		Budget *memory.Budget
		// Connections and Calls are the numbers that may be open.
		Connections, Calls int
		// Refusal is the message of refused calls.
		Refusal string
	}

	// CallListener accepts connections within the limits. When all are in use, the one that
	// has completed no message for longest is closed, if that is callPatience or more.
	CallListener struct {
		table  *connTable
		limits CallLimits

		mu    sync.Mutex
		calls int
		each  map[string]int // by the caller's address
	}

	// callConn is a connection of a caller.
	callConn struct {
		*conn
		meter frameMeter
	}

	// callHold is what an unfinished message holds.
	callHold struct {
		bytes int
		hold  *memory.Hold // nil up to keptBytes
	}
)

var _ net.Listener = (*CallListener)(nil)

// NewCallLimits returns the limits of a process with the given settings, memory and number
// of descriptors for connections. Refusal is the message of refused calls.
func NewCallLimits(s *wire.CommonSettings, limit memory.Limit, descriptors int, refusal string) CallLimits {
	l := CallLimits{
		Budget:      &memory.Budget{Limit: limit.Messages()},
		Connections: min(limit.CallConnections(), descriptors), Calls: limit.Calls(), Refusal: refusal,
	}
	if s.GetMessageMemoryMb() > 0 {
		l.Budget.Limit = int64(memory.NewLimit(s.MessageMemoryMb))
	}
	if s.GetMaxGrpcConnections() > 0 {
		l.Connections = int(s.MaxGrpcConnections)
	}
	if s.GetMaxGrpcCalls() > 0 {
		l.Calls = int(s.MaxGrpcCalls)
	}
	return l
}

// NewCallListener applies limits to a listener.
func NewCallListener(l net.Listener, limits CallLimits) *CallListener {
	return &CallListener{
		table: &connTable{
			Listener: l, limit: limits.Connections, budget: limits.Budget, patience: callPatience,
			refused: callConnsRefused, revokes: callConnsRevoked,
		},
		limits: limits, each: map[string]int{},
	}
}

// ServerOptions returns the options of the server on the listener.
func (l *CallListener) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.InTapHandle(l.admitCall), grpc.MaxHeaderListSize(maxCallHeaderBytes), grpc.ConnectionTimeout(handshakeTimeout),
	}
}

// Accept returns the next connection within the limits.
func (l *CallListener) Accept() (net.Conn, error) {
	accepted, err := l.table.Accept()
	if err != nil {
		return nil, err
	}
	c := &callConn{conn: accepted.(*conn)}
	c.meter.onArrival, c.meter.onMessage = c.holdArrived, c.release
	return c, nil
}

// Close closes the listener.
func (l *CallListener) Close() error { return l.table.Close() }

// Addr returns the address of the listener.
func (l *CallListener) Addr() net.Addr { return l.table.Addr() }

// admitCall is called before anything is allocated for a call.
func (l *CallListener) admitCall(ctx context.Context, _ *tap.Info) (context.Context, error) {
	caller := ""
	if p, ok := peer.FromContext(ctx); ok {
		caller = p.Addr.String()
	}
	if !l.startCall(caller) {
		callsRefused.Inc()
		l.table.revokeLongest()
		return nil, status.Error(codes.Unavailable, l.limits.Refusal)
	}
	context.AfterFunc(ctx, func() { l.endCall(caller) })
	return ctx, nil
}

func (l *CallListener) startCall(caller string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits.Calls
	if l.each[caller] >= fewCalls {
		limit -= int(float64(limit) * spareCalls)
	}
	if l.calls >= limit {
		return false
	}
	l.calls++
	l.each[caller]++
	callsOpen.Inc()
	return true
}

func (l *CallListener) endCall(caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	callsOpen.Dec()
	if l.each[caller]--; l.each[caller] == 0 {
		delete(l.each, caller)
	}
}

// Read reads what the caller sends, and ends the connection if it finds no room.
func (c *callConn) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	if n > 0 && !c.meter.feed(p[:n]) {
		callMessagesEnded.Inc()
		c.meter.close()
		return 0, errNoRoom
	}
	if err != nil {
		c.meter.close()
	}
	return n, err
}

// holdArrived takes n bytes of an unfinished message from the budget.
func (c *callConn) holdArrived(p *partialMessage, n int) bool {
	h := &p.held
	h.bytes += n
	if h.hold == nil {
		if h.bytes <= keptBytes {
			return true
		}
		n = h.bytes
		h.hold = c.table.budget.Open(c.revoke)
	}
	return h.hold.Take(int64(n))
}

// release gives back what a message held, which is complete or given up.
func (c *callConn) release(p *partialMessage) {
	if p.held.hold != nil {
		p.held.hold.Close()
	}
	c.startWaitingUnlocked()
}
