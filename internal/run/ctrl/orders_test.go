// This file defines tests of how orders are sent to agents.

package ctrl

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/sched/drive"
)

// Guards against orders that are sent along with those of the next leader, and against starts that
// are sent long after they were decided.
func TestOrdersAreCheckedAsTheyAreSent(t *testing.T) {
	const now = time.Hour
	cases := []struct {
		name  string
		order drive.Order
		held  bool // the leader lease
		want  drive.Verdict
	}{
		{"start", drive.Order{Kind: drive.Start, SentAt: now}, true, drive.Accepted},
		{"start without the leader lease", drive.Order{Kind: drive.Start, SentAt: now}, false, drive.NotSent},
		{"start at the limit", drive.Order{Kind: drive.Start, SentAt: now - maxStartAge}, true, drive.Accepted},
		{"old start", drive.Order{Kind: drive.Start, SentAt: now - maxStartAge - 1}, true, drive.Outdated},
		{"old start without the leader lease", drive.Order{Kind: drive.Start, SentAt: 0}, false, drive.NotSent},
		{"old stop", drive.Order{Kind: drive.Stop, SentAt: 0}, true, drive.Accepted},
		{"old poll", drive.Order{Kind: drive.Poll, SentAt: 0}, true, drive.Accepted},
		{"poll without the leader lease", drive.Order{Kind: drive.Poll, SentAt: now}, false, drive.NotSent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sent := false
			s := newOrderSender(func(context.Context, drive.Order) drive.Answer {
				sent = true
				return drive.Answer{Verdict: drive.Accepted}
			}, func(uint64) bool { return c.held })
			s.now = func() time.Duration { return now }
			assert.Equal(t, s.send(c.order).Verdict, c.want)
			assert.Equal(t, sent, c.want == drive.Accepted)
		})
	}
}
