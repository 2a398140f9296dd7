// This file defines the tests of probes and of what is known about unanswered calls.

package link

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Guards against a probe for each of many callers, and against one that uses up the time of callers
// who try again at short intervals.
func TestProbesAreSharedAndRemembered(t *testing.T) {
	start := time.Unix(0, 0)
	conn, next := &grpc.ClientConn{}, &grpc.ClientConn{}
	e := &evidence{}
	probes := 0
	var last *probe
	check := func(conn *grpc.ClientConn, at time.Duration, wantProbes int, wantWait bool, wantErr error) {
		t.Helper()
		p, err := e.check(conn, start.Add(at), func(p *probe) { probes++; last = p })
		assert.Equal(t, probes, wantProbes)
		assert.Equal(t, p != nil, wantWait)
		assert.Equal(t, err, wantErr)
	}
	check(conn, 0, 1, true, nil)
	check(conn, 50*time.Millisecond, 1, true, nil) // shared
	last.err = ErrNotResponding
	e.recordProbe(conn, last, start.Add(probeTimeout))
	check(conn, probeTimeout, 1, false, ErrNotResponding)
	check(conn, probeTimeout+failureMemory, 1, false, ErrNotResponding)
	check(conn, probeTimeout+failureMemory+1, 2, true, nil)
	e.recordAnswer(conn, start.Add(time.Second))
	check(conn, time.Second+freshAnswer, 2, false, nil)
	check(next, time.Second+freshAnswer, 3, true, nil) // replaced
}

// Guards against reporting a call as not run that was written, and against an unknown outcome where
// there was no connection.
func TestDeliveryOfUnansweredCalls(t *testing.T) {
	_, answering := connectToCounting(t)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	refusing := &Link{address: "127.0.0.1:1"}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	cases := []struct {
		name string
		ctx  context.Context
		link *Link
		want bool
	}{
		{"connection refused", t.Context(), refusing, true},
		{"no connection in time", nil, &Link{address: silent.Addr().String()}, true},
		{"context over before the call", cancelled, answering, true},
		{"written", t.Context(), answering, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.ctx == nil {
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				c.ctx = ctx
			}
			if c.link.conn == nil {
				c.link.conn, err = c.link.connect()
				assert.NilError(t, err)
				defer c.link.conn.Close()
			}
			ctx, delivery := WithDelivery(c.ctx)
			_, err := wire.NewControlServiceClient(c.link.conn).FetchConfiguration(ctx, &wire.FetchConfigurationRequest{})
			assert.Assert(t, err != nil)
			assert.Equal(t, delivery.NotWritten(), c.want, "%v", err)
		})
	}
}
