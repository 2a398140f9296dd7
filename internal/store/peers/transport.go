// This file defines Transport, which sends the messages of the replicated log.

// Package peers connects control replicas: it sends the messages of the replicated log,
// bootstraps a cluster, and tracks replicas that request to join.
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
	// queueLength is the number of batches queued for a slow peer. The replicated log
	// resends what is dropped.
	queueLength = 512
	retryDelay  = 100 * time.Millisecond
)

var droppedBatches = metrics.NewCounter("sycamoredeck_peer_batches_dropped_total")

// Transport sends messages to replicas, in order for each, and drops them if a replica is
// unreachable. Pool must be set.
type Transport struct {
	Pool *link.Pool

	mu      sync.Mutex
	queues  map[string]chan []*wire.PeerMessage
	cancel  context.CancelFunc
	ctx     context.Context
	senders sync.WaitGroup
}

// Send queues messages for a replica. It never blocks.
func (t *Transport) Send(to *wire.ControlMember, messages []*wire.PeerMessage) {
	select {
	case t.queue(to.Address) <- messages:
	default:
		droppedBatches.Inc()
	}
}

// Close stops all senders and waits for them.
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
		t.senders.Go(func() { t.runSender(address, q) })
	}
	return q
}

func (t *Transport) runSender(address string, q chan []*wire.PeerMessage) {
	for t.ctx.Err() == nil {
		t.streamMessages(address, q)
		select {
		case <-t.ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// streamMessages sends queued messages until the stream fails. A stream on an unresponsive
// connection fails when its Link replaces the connection.
func (t *Transport) streamMessages(address string, q chan []*wire.PeerMessage) {
	conn, err := t.Pool.Conn(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	stream, err := wire.NewPeerServiceClient(conn).Exchange(ctx)
	if err != nil {
		dropQueued(q)
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

// dropQueued empties the queue of an unreachable replica; its messages would be stale by
// the time the replica is reachable.
func dropQueued(q chan []*wire.PeerMessage) {
	for {
		select {
		case <-q:
			droppedBatches.Inc()
		default:
			return
		}
	}
}
