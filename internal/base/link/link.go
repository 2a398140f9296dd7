// This file defines Link, a supervised connection, and Pool, a set of links.

// Package link manages gRPC connections between the system's own processes.
//
// A connection can stop delivering data while new ones work, for example after the loss
// of connection tracking state in between. TCP detects this after many minutes, and
// gRPC's keepalive pings at most every ten seconds. Each Link therefore pings its
// connection twice a second, unless another call was answered meanwhile, and replaces it
// when several pings in a row fail. Calls in progress fail and are retried by their
// callers on the new connection.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
)

const (
	pingInterval = 500 * time.Millisecond
	pingTimeout  = 700 * time.Millisecond
	// maxMissedPings is the number of consecutive missed pings after which a connection
	// is replaced. A busy peer may miss a single one.
	maxMissedPings = 3
	// MaxMessageBytes limits messages between the system's processes, of which
	// snapshots are the largest.
	MaxMessageBytes = 256 << 20
)

// ErrClosed is returned by a closed Pool.
var ErrClosed = errors.New("link: the pool is closed")

var linksReplaced = metrics.NewCounter("sycamoredeck_link_replaced_total")

// Options apply to all links of a process. The zero value is usable.
type Options struct {
	// Traced adds trace spans to calls.
	Traced bool
	// SourceIP is the local IP address of connections. The system chooses it if empty.
	SourceIP string
	// Now is the clock by which probes judge the age of answers; time.Now if nil.
	Now func() time.Time
}

func (o Options) now() time.Time {
	if o.Now == nil {
		return time.Now()
	}
	return o.Now()
}

// Link is a connection to one address that is replaced when it stops responding.
type Link struct {
	address string
	options Options
	cancel  context.CancelFunc
	done    chan struct{}
	// answered is set when a call on the connection is answered.
	answered atomic.Bool
	evidence evidence

	mu   sync.Mutex
	conn *grpc.ClientConn
}

// Dial returns a link to address without waiting for the connection.
func Dial(address string, options Options) (*Link, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{address: address, options: options, cancel: cancel, done: make(chan struct{})}
	conn, err := l.connect()
	if err != nil {
		cancel()
		return nil, err
	}
	l.conn = conn
	go l.watch(ctx)
	return l, nil
}

// Conn returns the current connection. Callers must not keep it across calls.
func (l *Link) Conn() *grpc.ClientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Close closes the connection and cancels all calls on it.
func (l *Link) Close() {
	l.cancel()
	<-l.done
	l.Conn().Close()
}

func (l *Link) watch(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	missed := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if l.alive(ctx) {
			missed = 0
			continue
		}
		missed++
		if missed >= maxMissedPings && ctx.Err() == nil {
			l.replace()
			missed = 0
		}
	}
}

// alive reports whether a call was answered since the last check. If none was, it pings
// the connection. A process with hundreds of peers would otherwise spend most of its time
// on pings.
func (l *Link) alive(ctx context.Context) bool { return l.answered.Swap(false) || l.ping(ctx) }

// recordAnswer records each answered call. Pings don't count as answers for watch.
func (l *Link) recordAnswer(ctx context.Context, method string, request, response any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	err := invokeRecorded(ctx, method, request, response, conn, invoke, options)
	if err == nil && conn == l.Conn() {
		l.evidence.recordAnswer(conn, l.options.now())
	}
	if err == nil && method != healthpb.Health_Check_FullMethodName {
		l.answered.Store(true)
	}
	return err
}

func (l *Link) ping(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := healthpb.NewHealthClient(l.Conn()).Check(ctx, &healthpb.HealthCheckRequest{})
	return err == nil
}

func (l *Link) replace() {
	conn, err := l.connect()
	if err != nil {
		return
	}
	l.mu.Lock()
	old := l.conn
	l.conn = conn
	l.mu.Unlock()
	old.Close()
	linksReplaced.Inc()
}

func (l *Link) connect() (*grpc.ClientConn, error) {
	dial := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithContextDialer(l.options.dial),
		grpc.WithUnaryInterceptor(l.recordAnswer),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	}
	if l.options.Traced {
		dial = append(dial, grpc.WithStatsHandler(otelgrpc.NewClientHandler(otelgrpc.WithFilter(isTraced))))
	}
	conn, err := grpc.NewClient("passthrough:///"+l.address, dial...)
	if err != nil {
		return nil, err
	}
	conn.Connect()
	return conn, nil
}

// dial opens a TCP connection, from SourceIP if it is set.
func (o Options) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{}
	if ip := net.ParseIP(o.SourceIP); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d.DialContext(ctx, "tcp", address)
}

// Pool holds one Link per address. The zero value is an empty pool.
type Pool struct {
	// Options apply to new links.
	Options Options

	mu     sync.Mutex
	links  map[string]*Link
	closed bool
}

// Conn returns the current connection to address, and dials it if necessary.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	l, err := p.link(address)
	if err != nil {
		return nil, err
	}
	return l.Conn(), nil
}

// link returns the link to address, and dials it if necessary.
func (p *Pool) link(address string) (*Link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if l := p.links[address]; l != nil {
		return l, nil
	}
	l, err := Dial(address, p.Options)
	if err != nil {
		return nil, err
	}
	if p.links == nil {
		p.links = map[string]*Link{}
	}
	p.links[address] = l
	return l, nil
}

// Retain closes the links to all other addresses.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, l := range p.links {
		if !addresses[a] {
			delete(p.links, a)
			go l.Close()
		}
	}
}

// Close closes all links.
func (p *Pool) Close() {
	p.mu.Lock()
	links := p.links
	p.links, p.closed = nil, true
	p.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}
