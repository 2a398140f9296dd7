// This file defines orderSender, which sends the leader's orders to agents.

package ctrl

import (
	"context"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/sched/drive"
)

// maxStartsInFlight limits the starts that are sent at a time; the others wait for their
// turn. A start takes some ten milliseconds, so the limit allows for tens of thousands a
// second. But a leader without processor time that sends all starts at once has them reach
// their time limit, and sends each again on a new connection.
const maxStartsInFlight = 400

// startsWaiting is the number of starts that wait for their turn.
var startsWaiting atomic.Int64

func init() {
	metrics.NewGauge("sycamoredeck_starts_waiting", func() float64 { return float64(startsWaiting.Load()) })
}

// orderSender sends orders and returns their answers. newOrderSender creates one.
type orderSender struct {
	call             func(context.Context, drive.Order) drive.Answer
	holdsLeaderLease func(term uint64) bool
	starts           *semaphore.Weighted
}

func newOrderSender(call func(context.Context, drive.Order) drive.Answer, holdsLeaderLease func(term uint64) bool) *orderSender {
	return &orderSender{call: call, holdsLeaderLease: holdsLeaderLease, starts: semaphore.NewWeighted(maxStartsInFlight)}
}

// send sends an order. The leader lease is checked immediately before, so that a leader
// that was paused or partitioned doesn't send orders along with the next one.
func (s *orderSender) send(o drive.Order) drive.Answer {
	ctx := context.Background()
	if o.Kind == drive.Start {
		startsWaiting.Add(1)
		_ = s.starts.Acquire(ctx, 1) // fails only if the context ends
		startsWaiting.Add(-1)
		defer s.starts.Release(1)
	}
	if !s.holdsLeaderLease(o.Fence) {
		return drive.Answer{Order: o, Verdict: drive.NotSent, Detail: "no leader lease"}
	}
	calledAt := boot.Now()
	answer := s.call(ctx, o)
	answer.Order, answer.CalledAt, answer.ReturnedAt = o, calledAt, boot.Now()
	return answer
}
