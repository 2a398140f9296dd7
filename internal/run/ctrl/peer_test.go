// This file defines the test of streams from other replicas.

package ctrl

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// quietStream is a stream on which no message arrives.
type quietStream struct {
	grpc.ClientStreamingServer[wire.ExchangeRequest, wire.ExchangeResponse]
	ctx     context.Context
	waiting chan struct{} // closed by the first Recv
}

func (q *quietStream) Recv() (*wire.ExchangeRequest, error) {
	close(q.waiting)
	<-q.ctx.Done()
	return nil, q.ctx.Err()
}

// Guards against a replica that waits for its whole drain timeout before it stops, because a stream
// from another replica is quiet.
func TestQuietStreamEndsWhenStopping(t *testing.T) {
	s := &peerService{Control: &Control{closing: make(chan struct{})}}
	ended := make(chan error, 1)
	stream := &quietStream{ctx: t.Context(), waiting: make(chan struct{})}
	go func() { ended <- s.Exchange(stream) }()
	<-stream.waiting
	close(s.closing)
	select {
	case err := <-ended:
		assert.Equal(t, status.Code(err), codes.Unavailable)
	case <-time.After(20 * time.Second):
		t.Fatal("the stream doesn't end")
	}
}
