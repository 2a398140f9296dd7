// This file defines orderSender, which sends the leader's orders to agents.

package ctrl

import (
	"context"
	"time"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/sched/drive"
)

// maxStartAge is how long after its decision a start may be sent. Later the agent may be
// leaving, or the task may have been cancelled.
const maxStartAge = 500 * time.Millisecond

// orderSender sends orders and returns their answers.
type orderSender struct {
	call             func(context.Context, drive.Order) drive.Answer
	holdsLeaderLease func(term uint64) bool
	// now returns the time on the boot clock, like drive.Order.SentAt.
	now func() time.Duration
}

func newOrderSender(call func(context.Context, drive.Order) drive.Answer, holdsLeaderLease func(term uint64) bool) *orderSender {
	return &orderSender{call: call, holdsLeaderLease: holdsLeaderLease, now: boot.Now}
}

// send sends an order at once. The leader lease, and the age of a start, are checked immediately
// before: a leader that was paused or partitioned must not send orders along with the next one, and
// one without processor time may come to send an order long after it was decided.
func (s *orderSender) send(o drive.Order) drive.Answer {
	if !s.holdsLeaderLease(o.Fence) {
		return drive.Answer{Order: o, Verdict: drive.NotSent, Detail: "no leader lease"}
	}
	calledAt := s.now()
	if age := calledAt - o.SentAt; o.Kind == drive.Start && age > maxStartAge {
		return drive.Answer{Order: o, Verdict: drive.Outdated, Detail: "decided " + age.String() + " before"}
	}
	answer := s.call(context.Background(), o)
	answer.Order, answer.CalledAt, answer.ReturnedAt = o, calledAt, s.now()
	return answer
}
