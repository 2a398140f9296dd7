// This file tests the limits of gRPC ports.

package intake

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sycamoredeck.example/internal/base/memory"
)

const testRefusal = "not executed: too many calls"

// startCalls serves the health service within limits.
func startCalls(t *testing.T, limits CallLimits) (*CallListener, string) {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	limits.Refusal = testRefusal
	if limits.Budget == nil {
		limits.Budget = &memory.Budget{Limit: 1 << 20}
	}
	l := NewCallListener(inner, limits)
	s := grpc.NewServer(append(l.ServerOptions(), grpc.MaxRecvMsgSize(8<<20))...)
	healthpb.RegisterHealthServer(s, health.NewServer())
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l, inner.Addr().String()
}

func dialCalls(t *testing.T, address string) healthpb.HealthClient {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return healthpb.NewHealthClient(conn)
}

func check(t *testing.T, c healthpb.HealthClient, service string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := c.Check(ctx, &healthpb.HealthCheckRequest{Service: service}, grpc.WaitForReady(true))
	return err
}

// Guards against one caller that takes all calls, and against refusals that look like calls
// which may have been executed.
func TestCallsAreBounded(t *testing.T) {
	l, address := startCalls(t, CallLimits{Connections: 10, Calls: 100})
	greedy, other := dialCalls(t, address), dialCalls(t, address)
	ctx, cancel := context.WithCancel(t.Context())
	for range 75 {
		w, err := greedy.Watch(ctx, &healthpb.HealthCheckRequest{}, grpc.WaitForReady(true))
		assert.NilError(t, err)
		_, err = w.Recv()
		assert.NilError(t, err)
	}
	err := check(t, greedy, "")
	assert.Equal(t, status.Code(err), codes.Unavailable)
	assert.Assert(t, strings.HasPrefix(status.Convert(err).Message(), testRefusal))
	assert.NilError(t, check(t, other, ""))
	cancel()
	for end := time.Now().Add(testTimeout); !l.isIdle(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "calls that were ended are still counted")
	}
	assert.NilError(t, check(t, greedy, ""))
}

// isIdle reports whether no calls are counted.
func (l *CallListener) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls == 0 && len(l.each) == 0
}

// Guards against unused connections that keep out the system's own processes.
func TestUnusedCallConnectionsGiveWay(t *testing.T) {
	l, address := startCalls(t, CallLimits{Connections: 5, Calls: 100})
	l.table.mu.Lock()
	l.table.patience = 100 * time.Millisecond
	l.table.mu.Unlock()
	used := dialCalls(t, address)
	assert.NilError(t, check(t, used, ""))
	for range 10 {
		c, err := net.Dial("tcp4", address)
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		assert.NilError(t, check(t, used, ""))
		time.Sleep(20 * time.Millisecond)
	}
	assert.NilError(t, check(t, dialCalls(t, address), ""))
	assert.NilError(t, check(t, used, ""))
}

// Guards against messages inside the limits that are cut off, and memory that stays held.
func TestLargeMessagesPass(t *testing.T) {
	l, address := startCalls(t, CallLimits{Connections: 5, Calls: 100})
	c := dialCalls(t, address)
	for _, size := range []int{1, keptBytes - 10, keptBytes + 10, 500 << 10} {
		err := check(t, c, strings.Repeat("x", size))
		assert.Equal(t, status.Code(err), codes.NotFound, "%d bytes: %v", size, err)
	}
	assert.Equal(t, l.limits.Budget.Used(), int64(0))
	err := check(t, c, strings.Repeat("x", 2<<20))
	assert.Equal(t, status.Code(err), codes.Unavailable, "%v", err)
	assert.NilError(t, check(t, c, ""))
	assert.Equal(t, l.limits.Budget.Used(), int64(0))
}

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	f := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags, 0, 0, 0, 0}
	binary.BigEndian.PutUint32(f[5:], stream)
	return append(f, payload...)
}

// Guards against a meter that loses its place in what callers send, however it is split, and
// against unfinished messages that aren't counted or are counted for good.
func TestFrameMeter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rest, arrived := map[uint32][]byte{}, map[uint32]int{} // of each stream's message
		sent := make([]byte, prefaceBytes)
		for range rapid.IntRange(0, 40).Draw(r, "frames") {
			stream := uint32(rapid.IntRange(1, 4).Draw(r, "stream"))
			switch rapid.IntRange(0, 5).Draw(r, "kind") {
			case 0:
				sent = append(sent, frame(1, 4, stream, make([]byte, rapid.IntRange(0, 50).Draw(r, "header")))...)
			case 1:
				sent = append(sent, frame(resetFrame, 0, stream, make([]byte, 4))...)
				delete(rest, stream)
				arrived[stream] = 0
			default:
				if len(rest[stream]) == 0 {
					length := rapid.IntRange(0, 300).Draw(r, "length")
					rest[stream], arrived[stream] = make([]byte, prefixBytes+length), 0
					binary.BigEndian.PutUint32(rest[stream][1:], uint32(length))
				}
				n := rapid.IntRange(0, len(rest[stream])).Draw(r, "part")
				sent = append(sent, frame(dataFrame, 0, stream, rest[stream][:n])...)
				rest[stream] = rest[stream][n:]
				arrived[stream] += n
			}
		}
		want := 0
		for s, missing := range rest {
			if len(missing) > 0 {
				want += max(arrived[s]-prefixBytes, 0)
			}
		}
		held := map[*partialMessage]int{}
		m := frameMeter{
			onArrival: func(p *partialMessage, n int) bool { held[p] += n; return true },
			onMessage: func(p *partialMessage) { delete(held, p) },
		}
		for len(sent) > 0 {
			n := rapid.IntRange(1, len(sent)).Draw(r, "read")
			if !m.feed(sent[:n]) {
				r.Fatal("the connection was ended")
			}
			sent = sent[n:]
		}
		got := 0
		for _, n := range held {
			got += n
		}
		if got != want {
			r.Fatalf("%d bytes of unfinished messages are held, not %d", got, want)
		}
		m.close()
		if len(held) > 0 || len(m.streams) > 0 {
			r.Fatalf("still held: %v", held)
		}
	})
}
