// This file defines tests of attempts and of the assignment of slots.

package route

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// newScriptedBackend returns a backend whose server replies to every request on the n-th
// connection with the n-th raw response; %s stands for the request's ID.
func newScriptedBackend(t *testing.T, responses ...string) *Backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for _, r := range responses {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScripted(conn, r)
		}
	}()
	return newBackend(&wire.Announcement{BackendServerId: "s", Address: listener.Addr().String(), Slots: 8, Connections: 8})
}

func serveScripted(conn net.Conn, response string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		id, length := "", 0
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			line = strings.TrimSpace(line)
			if line == "" {
				break
			}
			_, _ = fmt.Sscanf(line, HeaderRequestID+": %s", &id)
			_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
		}
		if _, err := reader.Discard(length); err != nil || response == "" {
			return
		}
		if response == "hang" {
			time.Sleep(5 * time.Second)
			return
		}
		fmt.Fprint(conn, strings.ReplaceAll(strings.ReplaceAll(response, "\n", "\r\n"), "%s", id))
		if strings.Contains(response, "Content-Length: 999") {
			return
		}
	}
}

func request(id string) Request {
	return Request{ID: id, Account: "a", Service: "svc", Deadline: time.Now().Add(300 * time.Millisecond), Idempotent: true, MaxResponseBytes: 1000}
}

// Guards against truncated responses and responses to other requests being returned to a
// caller. After a malformed response the connection must not be reused.
func TestAttemptOutcomes(t *testing.T) {
	const id = HeaderRequestID + ": %s\n"
	cases := []struct {
		name, response string
		want           error
		reused         bool
	}{
		{"complete", "HTTP/1.1 200 OK\n" + id + "Content-Length: 2\n\nok", nil, true},
		{"complete, then closed", "HTTP/1.1 200 OK\nConnection: close\n" + id + "Content-Length: 2\n\nok", nil, false},
		{"rejected", "HTTP/1.1 503 No\n" + HeaderNotRun + ": 1\n" + id + "Content-Length: 0\n\n", ErrNotRun, true},
		{"rejected, other request ID", "HTTP/1.1 503 No\n" + HeaderNotRun + ": 1\n" + HeaderRequestID + ": x\nContent-Length: 0\n\n", ErrUnknown, false},
		{"truncated", "HTTP/1.1 200 OK\n" + id + "Content-Length: 999\n\nok", ErrUnknown, false},
		{"other request ID", "HTTP/1.1 200 OK\n" + HeaderRequestID + ": x%s\nContent-Length: 2\n\nok", ErrUnknown, false},
		{"no request ID", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", ErrUnknown, false},
		{"too large", "HTTP/1.1 200 OK\n" + id + "Content-Length: 1001\n\n" + strings.Repeat("x", 1001), ErrUnknown, false},
		{"one byte more than Content-Length", "HTTP/1.1 200 OK\n" + id + "Content-Length: 2\n\nok!", nil, false},
		{"not HTTP", "hello\n\n", ErrUnknown, false},
		{"closed without response", "", ErrUnknown, false},
		{"hangs", "hang", ErrUnknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newScriptedBackend(t, c.response)
			response, late, err := b.Do(context.Background(), time.Now(), request("r1"))
			if c.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, string(response.Payload), "ok")
			} else {
				assert.ErrorIs(t, err, c.want)
			}
			assert.Equal(t, len(b.idle) == 1, c.reused)
			assert.Equal(t, late != nil, c.response == "hang", "slot released while the request may still run")
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		b := newBackend(&wire.Announcement{BackendServerId: "s", Address: "127.0.0.1:1"})
		_, _, err := b.Do(context.Background(), time.Now(), request("r1"))
		assert.ErrorIs(t, err, ErrNotRun)
	})
}

// Guards against unknown outcomes of non-idempotent requests that are sent on a
// connection whose state a middlebox has dropped.
func TestNonIdempotentNeedsRecentConnection(t *testing.T) {
	ok := "HTTP/1.1 200 OK\n" + HeaderRequestID + ": %s\nContent-Length: 2\n\nok"
	b := newScriptedBackend(t, ok, ok)
	_, _, err := b.Do(context.Background(), time.Now(), request("r1"))
	assert.NilError(t, err)
	first := b.idle[0]
	first.lastUsed = time.Now().Add(-2 * maxIdleTimeNonIdempotent)
	second := request("r2")
	_, _, err = b.Do(context.Background(), time.Now(), second)
	assert.NilError(t, err)
	assert.Assert(t, b.idle[0] == first, "an idempotent request must reuse it")
	first.lastUsed = time.Now().Add(-2 * maxIdleTimeNonIdempotent)
	second.Idempotent = false
	second.Deadline = time.Now().Add(time.Second)
	_, _, err = b.Do(context.Background(), time.Now(), second)
	assert.NilError(t, err)
	assert.Assert(t, len(b.idle) == 1 && b.idle[0] != first)
}

func newTestService(servers int, queue int) (*Service, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	s := NewService(Options{
		Clock: clock, QueueLength: queue, EntryCount: func() int { return 1 },
		SlotShare: func(string, uint32) int { return 2 },
	})
	var list []*wire.Announcement
	for i := range servers {
		list = append(list, &wire.Announcement{BackendServerId: fmt.Sprint(i), Slots: 2, Connections: 64})
	}
	s.Update(list)
	return s, clock
}

func slotRequest(clock clockwork.Clock, timeout time.Duration) SlotRequest {
	return SlotRequest{Account: "a", Weight: 1, Deadline: clock.Now().Add(timeout)}
}

func assertRefused(t *testing.T, err error, want error) {
	t.Helper()
	var refusal *Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.ErrorIs(t, err, want)
	assert.Assert(t, refusal.RetryAfter > 0, "RetryAfter is missing")
}

func TestRefusals(t *testing.T) {
	ctx := context.Background()
	t.Run("no backend server", func(t *testing.T) {
		s, clock := newTestService(0, 10)
		_, err := s.Acquire(ctx, slotRequest(clock, time.Second))
		assertRefused(t, err, ErrNoServer)
	})
	t.Run("queue full", func(t *testing.T) {
		s, clock := newTestService(1, 0)
		for range 2 {
			_, err := s.Acquire(ctx, slotRequest(clock, time.Second))
			assert.NilError(t, err)
		}
		_, err := s.Acquire(ctx, slotRequest(clock, time.Second))
		assertRefused(t, err, ErrQueueFull)
	})
	t.Run("too late", func(t *testing.T) {
		s, clock := newTestService(1, 10)
		for range 2 {
			_, err := s.Acquire(ctx, slotRequest(clock, time.Second))
			assert.NilError(t, err)
		}
		_, err := s.Acquire(ctx, slotRequest(clock, time.Millisecond))
		assertRefused(t, err, ErrDeadlineExceeded)
	})
}

// Guards against rejecting a waiting call only at its deadline after all backend servers
// were removed.
func TestShedRejectsWaitingCallBeforeDeadline(t *testing.T) {
	s, clock := newTestService(1, 10)
	for range 2 {
		_, err := s.Acquire(context.Background(), slotRequest(clock, time.Minute))
		assert.NilError(t, err)
	}
	refused := make(chan error, 1)
	go func() {
		_, err := s.Acquire(context.Background(), slotRequest(clock, time.Minute))
		refused <- err
	}()
	for s.queueLen() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Update(nil)
	s.Shed()
	assertRefused(t, <-refused, ErrDeadlineExceeded)
}

func (s *Service) queueLen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

// Guards against leaking slots, or releasing them twice, when calls fail or end on
// removed backend servers.
func TestSlotAccounting(t *testing.T) {
	s, clock := newTestService(3, 10)
	var acquired []*Backend
	for range 6 {
		b, err := s.Acquire(context.Background(), slotRequest(clock, time.Second))
		assert.NilError(t, err)
		acquired = append(acquired, b)
	}
	s.mu.Lock()
	assert.Equal(t, s.freeSlots, 0)
	s.mu.Unlock()
	s.Update([]*wire.Announcement{{BackendServerId: "0", Slots: 2, Connections: 64}})
	for i, b := range acquired {
		s.Release(b, AttemptOutcome{Failed: i%2 == 0})
	}
	assert.Equal(t, s.freeSlots, 2)
	assert.Equal(t, s.backends[0].inFlight, 0)
}

// Guards against picking a backend server that fails repeatedly, and against rejecting calls
// because the only one left is ejected.
func TestEjection(t *testing.T) {
	s, clock := newTestService(2, 10)
	bad := s.backends[0]
	for range ejectionThreshold {
		s.takeSlot(clock.Now(), bad)
		s.Release(bad, AttemptOutcome{Failed: true})
	}
	for range 20 {
		b, err := s.Acquire(context.Background(), slotRequest(clock, time.Second))
		assert.NilError(t, err)
		assert.Assert(t, b != bad)
		s.Release(b, AttemptOutcome{Latency: time.Millisecond})
	}
	s.Update([]*wire.Announcement{bad.announcement})
	b, err := s.Acquire(context.Background(), slotRequest(clock, time.Second))
	assert.NilError(t, err)
	assert.Assert(t, b == bad, "the only backend server must be used though it is ejected")
}

// Guards against never picking a backend server again after it was slow for a while,
// since no new latency is measured on it.
func TestSlowServerIsProbed(t *testing.T) {
	s, clock := newTestService(2, 10)
	slow := s.backends[0]
	s.takeSlot(clock.Now(), slow)
	s.Release(slow, AttemptOutcome{Latency: time.Minute})
	timesPicked := func() int {
		n := 0
		for range 50 {
			b, err := s.Acquire(context.Background(), slotRequest(clock, time.Hour))
			assert.NilError(t, err)
			if b == slow {
				n++
			}
			s.Release(b, AttemptOutcome{})
		}
		return n
	}
	assert.Assert(t, timesPicked() == 0, "slow backend server picked before the probe interval")
	clock.Advance(2 * probeInterval)
	assert.Assert(t, timesPicked() >= 1, "slow backend server not picked after the probe interval")
}
