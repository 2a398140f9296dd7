// This file defines Budget, which bounds what all requests of a process hold together.

package memory

import (
	"container/list"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
)

const (
	// Patience is how long a caller may keep a request unfinished, or a connection unused,
	// while others need the room. Callers that aren't hindered send a request in much less.
	Patience = time.Second
	// smallRequest is the size up to which requests may use the whole budget. Larger ones
	// leave smallShare of it, so that they don't keep out heartbeats and ordinary jobs.
	smallRequest = 32 << 10
	smallShare   = 0.25
	// pressureShare is the share in use from which unfinished requests are revoked.
	pressureShare = 0.7
)

var requestBytes = metrics.NewGauge("sycamoredeck_web_request_bytes", nil)

type (
	// Budget bounds the bytes that requests hold. The zero value has no room.
	Budget struct {
		// Limit is the number of bytes for all requests.
		Limit int64
		// Clock is the real one if nil.
		Clock clockwork.Clock

		mu      sync.Mutex
		used    int64
		waiting list.List // of *Hold; requests whose callers haven't sent them whole, oldest first
	}

	// Hold is what one request holds of a budget. It is used by one goroutine at a time.
	Hold struct {
		budget  *Budget
		bytes   int64
		since   time.Time
		revoke  func()
		element *list.Element // nil once the request is whole or revoked
	}
)

func (b *Budget) now() time.Time {
	if b.Clock == nil {
		return time.Now()
	}
	return b.Clock.Now()
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// MaxRequest returns the largest number of bytes that one request can hold.
func (b *Budget) MaxRequest() int64 { return int64(float64(b.Limit) * (1 - smallShare)) }

// Open returns a hold of no bytes for a request that is being received. Revoke ends the
// reception; it is called at most once, when others need the room and the request has been
// unfinished for Patience.
func (b *Budget) Open(revoke func()) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Hold{budget: b, since: b.now(), revoke: revoke}
	h.element = b.waiting.PushBack(h)
	return h
}

// Take adds n bytes to the hold, and reports whether there was room for them.
func (h *Hold) Take(n int64) bool {
	taken, revoked := h.budget.take(h, n)
	for _, r := range revoked {
		r.revoke()
	}
	return taken
}

func (b *Budget) take(h *Hold, n int64) (taken bool, revoked []*Hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.Limit
	if h.bytes+n > smallRequest {
		limit = b.MaxRequest()
	}
	if float64(b.used+n) > float64(limit)*pressureShare {
		revoked = b.revokeWaiting(h, n)
	}
	if b.used+n > limit {
		return false, revoked
	}
	b.used += n
	h.bytes += n
	requestBytes.Add(float64(n))
	return true, revoked
}

// revokeWaiting picks requests that have been unfinished for Patience and hold n bytes
// together, the oldest ones first. Their bytes become free when they are closed.
func (b *Budget) revokeWaiting(except *Hold, n int64) (revoked []*Hold) {
	latest := b.now().Add(-Patience)
	for e := b.waiting.Front(); e != nil && n > 0; {
		h := e.Value.(*Hold)
		if h.since.After(latest) {
			break
		}
		e = e.Next()
		if h == except || h.bytes == 0 {
			continue
		}
		b.waiting.Remove(h.element)
		h.element = nil
		n -= h.bytes
		revoked = append(revoked, h)
	}
	return revoked
}

// Return gives n bytes back.
func (h *Hold) Return(n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	h.bytes -= n
	requestBytes.Add(float64(-n))
}

// Finish marks the request as received, after which it isn't revoked.
func (h *Hold) Finish() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.element != nil {
		b.waiting.Remove(h.element)
		h.element = nil
	}
}

// Close gives all bytes back.
func (h *Hold) Close() {
	h.Finish()
	h.Return(h.bytes)
}
