// This file defines Delivery, which tells whether a call may have reached its peer.

package link

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"
)

type (
	// Delivery tells whether calls under a context may have reached their peer. The zero
	// value has seen no call.
	Delivery struct{ written, unwritten atomic.Bool }

	deliveryKey struct{}
)

// WithDelivery returns a context whose calls on the connections of links are recorded.
func WithDelivery(ctx context.Context) (context.Context, *Delivery) {
	d := &Delivery{}
	return context.WithValue(ctx, deliveryKey{}, d), d
}

// NotWritten reports whether at least one call was made and none was written.
func (d *Delivery) NotWritten() bool { return d.unwritten.Load() && !d.written.Load() }

// invokeRecorded makes a call and records whether it may have reached the peer. gRPC tells
// the peer of a call once it has a stream, and writes nothing before that: no connection,
// a refused one, or a context that ends while the call waits for a connection. It repeats
// a call by itself only if the peer surely didn't process it.
func invokeRecorded(ctx context.Context, method string, request, response any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options []grpc.CallOption) error {
	d, _ := ctx.Value(deliveryKey{}).(*Delivery)
	if d == nil {
		return invoke(ctx, method, request, response, conn, options...)
	}
	var p peer.Peer
	all := append(append([]grpc.CallOption(nil), options...), grpc.Peer(&p))
	err := invoke(ctx, method, request, response, conn, all...)
	if err == nil || p.Addr != nil {
		d.written.Store(true)
	} else {
		d.unwritten.Store(true)
	}
	return err
}
