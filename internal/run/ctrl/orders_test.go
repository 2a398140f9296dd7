// This file defines tests of how orders are sent to agents.

package ctrl

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
)

// Guards against starts that all reach their time limit, since a busy leader sends more than it can
// read the answers of, and against polls that wait behind starts.
func TestStartsInFlightAreLimited(t *testing.T) {
	var mu sync.Mutex
	var inFlight, peak int
	count := func(change int) int {
		mu.Lock()
		defer mu.Unlock()
		inFlight += change
		peak = max(peak, inFlight)
		return inFlight
	}
	var once sync.Once // starts may reach the limit again after the release
	reached, release := make(chan struct{}), make(chan struct{})
	s := newOrderSender(func(_ context.Context, o drive.Order) drive.Answer {
		if o.Kind != drive.Start {
			return drive.Answer{Verdict: drive.Accepted}
		}
		if count(1) == maxStartsInFlight {
			once.Do(func() { close(reached) })
		}
		<-release
		count(-1)
		return drive.Answer{Verdict: drive.Accepted}
	}, func(uint64) bool { return true })
	var all sync.WaitGroup
	for range 3 * maxStartsInFlight {
		all.Go(func() { assert.Check(t, s.send(drive.Order{Kind: drive.Start}).Verdict == drive.Accepted) })
	}
	<-reached
	assert.Equal(t, s.send(drive.Order{Kind: drive.Poll}).Verdict, drive.Accepted)
	close(release)
	all.Wait()
	assert.Assert(t, peak <= maxStartsInFlight, "%d starts in flight", peak)
}

// Guards against a start that was kept back and is sent along with those of the next leader.
func TestWaitingStartNeedsTheLeaderLease(t *testing.T) {
	var held atomic.Bool
	s := newOrderSender(func(context.Context, drive.Order) drive.Answer {
		t.Error("the start was sent")
		return drive.Answer{}
	}, func(uint64) bool { return held.Load() })
	held.Store(true)
	assert.NilError(t, s.starts.Acquire(t.Context(), maxStartsInFlight))
	answer := make(chan drive.Answer, 1)
	go func() { answer <- s.send(drive.Order{Kind: drive.Start}) }()
	held.Store(false)
	s.starts.Release(maxStartsInFlight)
	assert.Equal(t, (<-answer).Verdict, drive.NotSent)
}
