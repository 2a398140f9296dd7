// Package front simulates the platform's load balancer, through which callers, backend
// servers and workers reach the entries.
package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"

	"sycamoredeck.example/internal/base/link"
)

const (
	checkInterval = 200 * time.Millisecond
	checkTimeout  = 500 * time.Millisecond
)

// ErrNoReadyEntry is returned when no entry is ready.
var ErrNoReadyEntry = errors.New("no entry is ready")

type entry struct {
	address string
	conn    *grpc.ClientConn
	ready   bool
}

// Balancer provides connections to ready entries.
type Balancer struct {
	mu      sync.Mutex
	entries []*entry
	cancel  context.CancelFunc
}

// New returns a balancer and starts health checks of the addresses.
func New(addresses []string) (*Balancer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{cancel: cancel}
	for _, a := range addresses {
		conn, err := dial(a)
		if err != nil {
			cancel()
			return nil, err
		}
		e := &entry{address: a, conn: conn}
		b.entries = append(b.entries, e)
		go b.checkHealth(ctx, e)
	}
	return b, nil
}

func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.5, MaxDelay: 300 * time.Millisecond},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(link.MaxMessageBytes)))
}

// checkHealth checks one entry periodically, and replaces its connection after a check
// that timed out.
func (b *Balancer) checkHealth(ctx context.Context, e *entry) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, checkTimeout)
		r, err := healthpb.NewHealthClient(b.connTo(e)).Check(limited, &healthpb.HealthCheckRequest{Service: link.ReadyService})
		timedOut := limited.Err() != nil
		cancel()
		b.mu.Lock()
		e.ready = err == nil && r.Status == healthpb.HealthCheckResponse_SERVING
		b.mu.Unlock()
		if timedOut && ctx.Err() == nil {
			b.redial(e)
		}
		select {
		case <-ctx.Done():
		case <-time.After(checkInterval):
		}
	}
}

func (b *Balancer) connTo(e *entry) *grpc.ClientConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	return e.conn
}

func (b *Balancer) redial(e *entry) {
	conn, err := dial(e.address)
	if err != nil {
		return
	}
	b.mu.Lock()
	old := e.conn
	e.conn = conn
	b.mu.Unlock()
	old.Close()
}

// Pick returns a connection to a random ready entry, or ErrNoReadyEntry.
func (b *Balancer) Pick() (*grpc.ClientConn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*entry
	for _, e := range b.entries {
		if e.ready {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		return nil, ErrNoReadyEntry
	}
	return ready[rand.IntN(len(ready))].conn, nil
}

// Wait returns a connection to a ready entry as soon as there is one.
func (b *Balancer) Wait(ctx context.Context) (*grpc.ClientConn, error) {
	for {
		conn, err := b.Pick()
		if err == nil {
			return conn, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(checkInterval / 4):
		}
	}
}

// Close stops the health checks and closes all connections.
func (b *Balancer) Close() {
	b.cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		e.conn.Close()
	}
}
