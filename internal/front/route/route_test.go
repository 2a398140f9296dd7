// This file defines the tests of attempts and of how slots are given.

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

// scripted serves one connection after the other with raw answers; %s stands
// for the request's id.
func newScriptedBackend(t *testing.T, answers ...string) *Backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for _, a := range answers {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScripted(conn, a)
		}
	}()
	return newBackend(&wire.Announcement{BackendServerId: "s", Address: listener.Addr().String(), Slots: 8, Connections: 8})
}

func serveScripted(conn net.Conn, answer string) {
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
		if _, err := reader.Discard(length); err != nil || answer == "" {
			return
		}
		if answer == "hang" {
			time.Sleep(5 * time.Second)
			return
		}
		fmt.Fprint(conn, strings.ReplaceAll(strings.ReplaceAll(answer, "\n", "\r\n"), "%s", id))
		if strings.Contains(answer, "Content-Length: 999") {
			return
		}
	}
}

func request(id string) Request {
	return Request{ID: id, Account: "a", Service: "svc", Deadline: time.Now().Add(300 * time.Millisecond), Idempotent: true, MaxResponseBytes: 1000}
}

// Symptom: a caller gets half an answer, or the answer to another's request.
// Each row is a way for an answer to go wrong, and what may be said of the
// request after it. In all of them the connection must not be used again.
func TestAttemptOutcomes(t *testing.T) {
	const id = HeaderRequestID + ": %s\n"
	cases := []struct {
		name, answer string
		want         error
		reused       bool
	}{
		{"whole", "HTTP/1.1 200 OK\n" + id + "Content-Length: 2\n\nok", nil, true},
		{"whole, then closed", "HTTP/1.1 200 OK\nConnection: close\n" + id + "Content-Length: 2\n\nok", nil, false},
		{"refused", "HTTP/1.1 503 No\n" + HeaderNotRun + ": 1\n" + id + "Content-Length: 0\n\n", ErrNotRun, true},
		{"refused another's", "HTTP/1.1 503 No\n" + HeaderNotRun + ": 1\n" + HeaderRequestID + ": x\nContent-Length: 0\n\n", ErrUnknown, false},
		{"short", "HTTP/1.1 200 OK\n" + id + "Content-Length: 999\n\nok", ErrUnknown, false},
		{"another's", "HTTP/1.1 200 OK\n" + HeaderRequestID + ": x%s\nContent-Length: 2\n\nok", ErrUnknown, false},
		{"no id", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", ErrUnknown, false},
		{"too large", "HTTP/1.1 200 OK\n" + id + "Content-Length: 1001\n\n" + strings.Repeat("x", 1001), ErrUnknown, false},
		{"one byte more than announced", "HTTP/1.1 200 OK\n" + id + "Content-Length: 2\n\nok!", nil, false},
		{"not HTTP", "hello\n\n", ErrUnknown, false},
		{"closed without a word", "", ErrUnknown, false},
		{"hangs", "hang", ErrUnknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newScriptedBackend(t, c.answer)
			answer, late, err := b.Do(context.Background(), time.Now(), request("r1"))
			if c.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, string(answer.Payload), "ok")
			} else {
				assert.ErrorIs(t, err, c.want)
			}
			assert.Equal(t, len(b.idle) == 1, c.reused)
			assert.Equal(t, late != nil, c.answer == "hang", "the slot of a request that may still run is given back")
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		b := newBackend(&wire.Announcement{BackendServerId: "s", Address: "127.0.0.1:1"})
		_, _, err := b.Do(context.Background(), time.Now(), request("r1"))
		assert.ErrorIs(t, err, ErrNotRun)
	})
}

// Symptom: a request that must not be repeated ends as unknown though nothing
// was wrong with its backend server. Cause: it was sent on a connection that
// something in between had forgotten. It may only use one proved lately.
func TestNonIdempotentNeedsAProvedConnection(t *testing.T) {
	ok := "HTTP/1.1 200 OK\n" + HeaderRequestID + ": %s\nContent-Length: 2\n\nok"
	b := newScriptedBackend(t, ok, ok)
	_, _, err := b.Do(context.Background(), time.Now(), request("r1"))
	assert.NilError(t, err)
	first := b.idle[0]
	first.lastUsed = time.Now().Add(-2 * maxIdleTimeNonIdempotent)
	again := request("r2")
	_, _, err = b.Do(context.Background(), time.Now(), again)
	assert.NilError(t, err)
	assert.Assert(t, b.idle[0] == first, "an idempotent request may use it")
	first.lastUsed = time.Now().Add(-2 * maxIdleTimeNonIdempotent)
	again.Idempotent = false
	again.Deadline = time.Now().Add(time.Second)
	_, _, err = b.Do(context.Background(), time.Now(), again)
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
	assert.Assert(t, refusal.RetryAfter > 0, "no word of when to come back")
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

// Symptom: a call that was given up on hears of it only near its deadline.
// Sequence: it waits for a slot; then all backend servers go. It must be
// answered at once. The context's end here is far away.
func TestHopelessCallIsAnsweredAtOnce(t *testing.T) {
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

// Symptom: slots leak or are given twice, over many calls that come, fail, and
// end on backend servers that are gone.
func TestSlotsAreNeitherLostNorDoubled(t *testing.T) {
	s, clock := newTestService(3, 10)
	var held []*Backend
	for range 6 {
		b, err := s.Acquire(context.Background(), slotRequest(clock, time.Second))
		assert.NilError(t, err)
		held = append(held, b)
	}
	s.mu.Lock()
	assert.Equal(t, s.freeSlots, 0)
	s.mu.Unlock()
	s.Update([]*wire.Announcement{{BackendServerId: "0", Slots: 2, Connections: 64}})
	for i, b := range held {
		s.Release(b, AttemptOutcome{Failed: i%2 == 0})
	}
	assert.Equal(t, s.freeSlots, 2)
	assert.Equal(t, s.backends[0].inFlight, 0)
}

// A backend server that fails again and again is passed over, for longer each
// time, but never so that none is left.
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
	assert.Assert(t, b == bad, "the last one left is used all the same")
}

// Symptom: a backend server that was slow for a while never gets work again.
// Cause: its old latency keeps it from being chosen, so none is measured.
func TestSlowServerIsTriedAgain(t *testing.T) {
	s, clock := newTestService(2, 10)
	slow := s.backends[0]
	s.takeSlot(clock.Now(), slow)
	s.Release(slow, AttemptOutcome{Latency: time.Minute})
	chosen := func() int {
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
	assert.Assert(t, chosen() == 0, "it is chosen though it is slow")
	clock.Advance(2 * probeInterval)
	assert.Assert(t, chosen() >= 1, "it is never tried again")
}
