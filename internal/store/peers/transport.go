// This file defines Transport, which carries the log's messages.

// Package peers connects control replicas: it carries the messages of the
// replicated log, founds a cluster, and finds replicas that wait to be let in.
package peers

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// queueLength is how many batches wait for a slow peer. The log resends
	// what is dropped.
	queueLength = 512
	retryDelay  = 100 * time.Millisecond
)

var dropped = metrics.NewCounter("sycamoredeck_peer_batches_dropped_total")

// Transport sends messages to replicas, in order for each, and loses them
// where a replica can't be reached. The zero value isn't usable; Pool must be
// set.
type Transport struct {
	Pool *link.Pool

	mu      sync.Mutex
	queues  map[string]chan []*wire.PeerMessage
	cancel  context.CancelFunc
	ctx     context.Context
	senders sync.WaitGroup
}

// Send queues messages for a replica and never blocks.
func (t *Transport) Send(to *wire.ControlMember, messages []*wire.PeerMessage) {
	select {
	case t.queue(to.Address) <- messages:
	default:
		dropped.Inc()
	}
}

// Close ends all sending.
func (t *Transport) Close() {
	t.mu.Lock()
	if t.cancel != nil {
		t.cancel()
	}
	t.mu.Unlock()
	t.senders.Wait()
}

func (t *Transport) queue(address string) chan []*wire.PeerMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.queues == nil {
		t.queues = map[string]chan []*wire.PeerMessage{}
		t.ctx, t.cancel = context.WithCancel(context.Background())
	}
	q := t.queues[address]
	if q == nil {
		q = make(chan []*wire.PeerMessage, queueLength)
		t.queues[address] = q
		t.senders.Go(func() { t.run(address, q) })
	}
	return q
}

func (t *Transport) run(address string, q chan []*wire.PeerMessage) {
	for t.ctx.Err() == nil {
		t.stream(address, q)
		select {
		case <-t.ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// stream sends until the stream breaks. A stream on a connection that went
// silent breaks when its Link replaces the connection.
func (t *Transport) stream(address string, q chan []*wire.PeerMessage) {
	conn, err := t.Pool.Conn(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	stream, err := wire.NewPeerServiceClient(conn).Exchange(ctx)
	if err != nil {
		drop(q)
		return
	}
	for {
		select {
		case <-stream.Context().Done():
			return
		case messages := <-q:
			if stream.Send(&wire.ExchangeRequest{Messages: messages}) != nil {
				return
			}
		}
	}
}

// drop empties the queue of a replica that can't be reached: what is in it
// will be stale once it can.
func drop(q chan []*wire.PeerMessage) {
	for {
		select {
		case <-q:
			dropped.Inc()
		default:
			return
		}
	}
}
