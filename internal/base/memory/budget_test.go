// This file tests the budget of requests.

package memory

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testLimit = 200 << 10

// Guards against large requests that keep out heartbeats and ordinary jobs.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	b := &Budget{Limit: testLimit}
	large := b.Open(func() {})
	assert.Assert(t, large.Take(b.MaxRequest()))
	assert.Assert(t, !large.Take(1))
	assert.Assert(t, !b.Open(func() {}).Take(smallRequest+1))
	small := b.Open(func() {})
	assert.Assert(t, small.Take(smallRequest))
	large.Close()
	small.Close()
	assert.Equal(t, b.Used(), int64(0))
}

// Guards against slow callers that occupy the budget, and against the end of requests that
// are younger than Patience or have arrived whole.
func TestUnfinishedRequestsAreRevoked(t *testing.T) {
	cases := []struct {
		name     string
		age      time.Duration
		finished bool
		want     int
	}{
		{"slow", Patience, false, 1},
		{"young", Patience - 1, false, 0},
		{"whole", time.Minute, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			b := &Budget{Limit: testLimit, Clock: clock}
			revoked := 0
			holder := b.Open(func() { revoked++ })
			assert.Assert(t, holder.Take(b.MaxRequest()))
			if c.finished {
				holder.Finish()
			}
			clock.Advance(c.age)
			for range 3 {
				assert.Assert(t, !b.Open(func() {}).Take(smallRequest+1))
			}
			assert.Equal(t, revoked, c.want)
			holder.Close()
			assert.Assert(t, b.Open(func() {}).Take(smallRequest+1))
		})
	}
}

// Guards against revoking more requests than the new one needs.
func TestOldestRequestIsRevokedFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := &Budget{Limit: testLimit, Clock: clock}
	var revoked []int
	for i := range 5 {
		assert.Assert(t, b.Open(func() { revoked = append(revoked, i) }).Take(28<<10))
		clock.Advance(time.Millisecond)
	}
	clock.Advance(Patience)
	assert.Assert(t, !b.Open(func() {}).Take(40<<10))
	assert.DeepEqual(t, revoked, []int{0, 1})
}

// Guards against bytes that are lost, and against holds over the limit.
func TestBudgetAddsUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		clock := clockwork.NewFakeClock()
		b := &Budget{Limit: testLimit, Clock: clock}
		var holds []*Hold
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			action := rapid.IntRange(0, 4).Draw(r, "action")
			if action == 0 || len(holds) == 0 {
				holds = append(holds, b.Open(func() {}))
				continue
			}
			i := rapid.IntRange(0, len(holds)-1).Draw(r, "hold")
			switch action {
			case 1:
				holds[i].Take(int64(rapid.IntRange(1, testLimit).Draw(r, "bytes")))
			case 2:
				holds[i].Finish()
			case 3:
				holds[i].Close()
				holds = append(holds[:i], holds[i+1:]...)
			default:
				clock.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(r, "ms")) * time.Millisecond)
			}
			var sum int64
			for _, h := range holds {
				sum += h.bytes
			}
			if sum != b.Used() || sum > testLimit {
				r.Fatalf("used %d, held %d of %d", b.Used(), sum, testLimit)
			}
		}
	})
}

func TestLimits(t *testing.T) {
	assert.Equal(t, NewLimit(100), Limit(100<<20))
	assert.Equal(t, NewLimit(100).Requests(), int64(20<<20))
	assert.Equal(t, NewLimit(1).Connections(), minConnections)
	assert.Assert(t, NewLimit(0) > 100<<20)
}
