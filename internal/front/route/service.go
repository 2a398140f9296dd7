// This file defines Service, which gives calls a slot at a backend server.

// Package route chooses backend servers for calls and holds the connections
// to them. Slots and connections are hard limits: a call has a slot of its own
// from before its first byte until its answer is whole.
package route

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sycamoredeck.example/internal/front/admit"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// latencySmoothing is the part of a new latency in the moving average.
	latencySmoothing = 0.1
	// serviceSmoothing is the same for the service, over all backend servers.
	serviceSmoothing = 0.02
	// initialLatency is assumed of a backend server that has answered nothing.
	initialLatency = 5 * time.Millisecond
	// choices is how many backend servers are compared. Of two, one in a
	// hundred calls meets two slow ones where a tenth is slow, which is the
	// 99th percentile. Slots aren't shared between entries, so that comparing
	// more makes no herd.
	sampleSize = 8
	// probeInterval is how long a slow backend server is left alone before it is
	// tried again.
	probeInterval = 2 * time.Second
	// crossDomainFactor makes a backend server in another failure domain look this
	// much slower, for the way there and back.
	crossDomainFactor = 1.3
	// minRetryAfter and maxRetryAfter bound when callers are told to return.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// noServerRetryAfter is told while no backend server is known; one that
	// starts announces itself within a second.
	noServerRetryAfter = time.Second
)

// Why a call gets no slot. It has not been run.
var (
	ErrNoServer         = errors.New("no usable backend server")
	ErrQueueFull        = errors.New("the queue is full")
	ErrDeadlineExceeded = errors.New("no slot becomes free before the deadline")
	ErrCallerGone       = errors.New("the caller has gone away")
)

type (
	// Refusal says why and when to come back.
	Refusal struct {
		Err        error
		RetryAfter time.Duration
	}

	// Ask is a call that needs a slot.
	SlotRequest struct {
		Account  string
		Weight   float64
		Deadline time.Time
		// Tried are the backend servers that were tried already; others go
		// first.
		Tried []string
	}

	// Options are the same for all services of an entry.
	Options struct {
		Clock         clockwork.Clock
		FailureDomain string
		QueueLength   int
		// Part gives this entry's part of a backend server's slots.
		SlotShare func(server string, slots uint32) int
		// Entries is the number of entries seen.
		EntryCount func() int
	}

	// Service is the backend servers of one service as seen by one entry.
	Service struct {
		options Options

		mu         sync.Mutex
		backends   []*Backend
		queue      admit.Queue[*Backend]
		freeSlots  int // slots not in use, over all backends
		totalSlots int
		latency    latencyStats
	}
)

// Error gives the reason.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap gives one of this package's errors.
func (r *Refusal) Unwrap() error { return r.Err }

var _ error = (*Refusal)(nil)

// NewService returns a service without backend servers.
func NewService(options Options) *Service {
	return &Service{options: options, latency: latencyStats{mean: initialLatency}}
}

// Update replaces the backend servers. Those that go on keep their
// connections; those that are gone get no new calls, and calls in flight end.
func (s *Service) Update(usable []*wire.Announcement) {
	s.mu.Lock()
	known := map[string]*Backend{}
	for _, b := range s.backends {
		known[b.key()] = b
	}
	s.backends = s.backends[:0:0]
	for _, a := range usable {
		b := known[backendKey(a)]
		if b == nil {
			b = newBackend(a)
		}
		delete(known, b.key())
		s.backends = append(s.backends, b)
	}
	for _, b := range known {
		b.removed = true
	}
	s.resize()
	granted := s.grantQueued()
	s.mu.Unlock()
	for _, b := range known {
		b.close()
	}
	granted.deliver()
}

// Resize works out this entry's slots anew, after the entries have changed.
func (s *Service) Resize() {
	s.mu.Lock()
	s.resize()
	granted := s.grantQueued()
	s.mu.Unlock()
	granted.deliver()
}

func (s *Service) resize() {
	s.totalSlots, s.freeSlots = 0, 0
	for _, b := range s.backends {
		b.slotLimit = s.options.SlotShare(b.announcement.BackendServerId, b.announcement.Slots)
		b.maxConnections = max(1, int(b.announcement.Connections)/(s.options.EntryCount()+1))
		b.slotLimit = min(b.slotLimit, b.maxConnections)
		s.totalSlots += b.slotLimit
		s.freeSlots += max(0, b.slotLimit-b.inFlight)
	}
}

// Check returns the *Refusal that Acquire would give at once, or nil.
func (s *Service) Check(ask SlotRequest) error {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.totalSlots == 0:
		return &Refusal{ErrNoServer, noServerRetryAfter}
	case s.freeSlots > 0:
		return nil
	default:
		return s.checkWait(now, ask)
	}
}

// Acquire returns a backend server with a slot taken, or a *Refusal.
func (s *Service) Acquire(ctx context.Context, ask SlotRequest) (*Backend, error) {
	now := s.options.Clock.Now()
	s.mu.Lock()
	if len(s.backends) == 0 || s.totalSlots == 0 {
		s.mu.Unlock()
		return nil, &Refusal{ErrNoServer, noServerRetryAfter}
	}
	if s.queue.Len() == 0 {
		if b := s.pick(now, ask.Tried); b != nil {
			s.takeSlot(now, b)
			s.mu.Unlock()
			return b, nil
		}
	}
	if err := s.checkWait(now, ask); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	granted := make(chan *Backend, 1)
	w := &admit.Waiter[*Backend]{
		Account: ask.Account, Weight: ask.Weight, Deadline: ask.Deadline,
		LatestStart: s.latestStart(now, ask.Deadline),
		Grant:       func(b *Backend) { granted <- b },
	}
	s.queue.Push(w)
	s.mu.Unlock()
	return s.wait(ctx, w, granted)
}

// wait waits for a grant. A nil grant says that the call was given up on,
// which is told at once rather than at the deadline.
func (s *Service) wait(ctx context.Context, w *admit.Waiter[*Backend], granted chan *Backend) (*Backend, error) {
	select {
	case b := <-granted:
		if b == nil {
			return nil, &Refusal{ErrDeadlineExceeded, s.retryAfter(w.Account, w.Weight)}
		}
		return b, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	waiting := s.queue.Remove(w)
	s.mu.Unlock()
	if !waiting {
		if b := <-granted; b != nil {
			s.Release(b, AttemptOutcome{})
		}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, &Refusal{ErrCallerGone, minRetryAfter}
	}
	return nil, &Refusal{ErrDeadlineExceeded, s.retryAfter(w.Account, w.Weight)}
}

// hopeless refuses a call that would wait in vain.
func (s *Service) checkWait(now time.Time, ask SlotRequest) error {
	wait := s.expectedWait(ask.Account, ask.Weight, s.queue.AccountLen(ask.Account)+1)
	if s.queue.Len() >= s.options.QueueLength {
		return &Refusal{ErrQueueFull, clampAndJitter(wait)}
	}
	if now.Add(wait).After(s.latestStart(now, ask.Deadline)) {
		return &Refusal{ErrDeadlineExceeded, clampAndJitter(wait)}
	}
	return nil
}

// Likely is the time within which nearly all of the service's requests end.
func (s *Service) TailLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.tail()
}

// latest is the last moment at which a call may be given a slot. One that
// starts later would likely run past its deadline: a slot spent on an answer
// that nobody takes. Under overload such calls, served first since theirs is
// the earliest deadline, would take up all slots. Half of the time is left to
// a call in any case, where the service is slow for its callers' timeouts.
func (s *Service) latestStart(now, deadline time.Time) time.Time {
	return deadline.Add(-min(s.latency.tail(), deadline.Sub(now)/2))
}

// expectedWait is how long the call at a position of its account's line waits,
// by the present latency and the account's share of the slots.
func (s *Service) expectedWait(account string, weight float64, position int) time.Duration {
	rate := float64(max(s.totalSlots, 1)) * s.queue.Share(account, max(weight, 1e-9))
	return time.Duration(float64(s.latency.mean) * float64(position) / rate)
}

func (s *Service) retryAfter(account string, weight float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clampAndJitter(s.expectedWait(account, weight, s.queue.AccountLen(account)+1))
}

func clampAndJitter(d time.Duration) time.Duration {
	// Spread by up to half, lest all that were refused return together.
	d = max(minRetryAfter, min(d, maxRetryAfter))
	return d + time.Duration(rand.Int64N(int64(d/2)+1))
}

// Shed answers waiting calls that have become hopeless, because slots were
// lost or latency has risen since they came.
func (s *Service) Shed() {
	now := s.options.Clock.Now()
	s.mu.Lock()
	taken := s.queue.RemoveIf(func(w *admit.Waiter[*Backend], ahead int) bool {
		wait := s.expectedWait(w.Account, w.Weight, ahead)
		return s.totalSlots == 0 || now.Add(wait).After(w.LatestStart)
	})
	s.mu.Unlock()
	for _, w := range taken {
		w.Grant(nil)
	}
}

// pick chooses the best of a few random backend servers with a free slot, by
// expected latency.
func (s *Service) pick(now time.Time, tried []string) *Backend {
	if s.freeSlots <= 0 {
		return nil
	}
	var best *Backend
	n := len(s.backends)
	for i := range min(sampleSize, n) {
		b := s.backends[i]
		if n > sampleSize {
			b = s.backends[rand.IntN(n)]
		}
		if b.available(now, tried) && (best == nil || s.cost(now, b) < s.cost(now, best)) {
			best = b
		}
	}
	if best != nil {
		return best
	}
	return s.scan(now, tried)
}

// scan looks at all backend servers from a random one on: those not tried
// first, then any with a slot.
func (s *Service) scan(now time.Time, tried []string) *Backend {
	n := len(s.backends)
	begin := rand.IntN(n)
	var fallback *Backend
	for i := range n {
		b := s.backends[(begin+i)%n]
		if b.available(now, tried) {
			return b
		}
		if fallback == nil && b.available(now, nil) {
			fallback = b
		}
	}
	if fallback != nil {
		return fallback
	}
	return s.leastEjected(begin)
}

// leastEjected is used when all with free slots are ejected. Ejection may
// never leave callers with nothing.
func (s *Service) leastEjected(begin int) *Backend {
	n := len(s.backends)
	var best *Backend
	for i := range n {
		b := s.backends[(begin+i)%n]
		if b.inFlight < b.slotLimit && (best == nil || b.ejectedUntil.Before(best.ejectedUntil)) {
			best = b
		}
	}
	return best
}

// cost is the latency to expect of a backend server. One that looked slow and
// hasn't been tried for a while goes before all others, once: it would else never
// be chosen again, and never seen to have recovered.
func (s *Service) cost(now time.Time, b *Backend) float64 {
	if b.latency > s.latency.mean && now.Sub(b.lastPicked) > probeInterval {
		return 0
	}
	cost := float64(b.latency) * float64(b.inFlight+1) / float64(max(b.slotLimit, 1))
	if b.announcement.FailureDomain != s.options.FailureDomain {
		cost *= crossDomainFactor
	}
	return cost
}

func (s *Service) takeSlot(now time.Time, b *Backend) {
	b.lastPicked = now
	b.inFlight++
	s.freeSlots--
}

// Note says how an attempt went whose slot isn't given back yet.
func (s *Service) RecordOutcome(b *Backend, e AttemptOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.recordOutcome(s.options.Clock.Now(), e)
}

// Release gives the slot back and notes how the attempt went.
func (s *Service) Release(b *Backend, e AttemptOutcome) {
	now := s.options.Clock.Now()
	s.mu.Lock()
	b.inFlight--
	if b.inFlight < b.slotLimit && !b.removed {
		s.freeSlots++
	}
	b.recordOutcome(now, e)
	if d := max(e.Latency, e.LateLatency); d > 0 {
		s.latency = s.latency.withSample(d)
	}
	granted := s.grantQueued()
	s.mu.Unlock()
	granted.deliver()
}

type (
	// grant is a slot for a waiting call, or no slot when it is too late.
	grant struct {
		waiter  *admit.Waiter[*Backend]
		backend *Backend
	}

	grants []grant
)

func (g grants) deliver() {
	for _, one := range g {
		one.waiter.Grant(one.backend)
	}
}

// grantQueued gives free slots to those whose turn it is, and tells those
// for whom it is too late.
func (s *Service) grantQueued() grants {
	var granted grants
	now := s.options.Clock.Now()
	for s.queue.Len() > 0 {
		b := s.pick(now, nil)
		if b == nil {
			return granted
		}
		w := s.queue.Pop()
		if now.After(w.LatestStart) {
			b = nil
		} else {
			s.takeSlot(now, b)
		}
		granted = append(granted, grant{w, b})
	}
	return granted
}

func ewma(old, sample time.Duration, weight float64) time.Duration {
	return time.Duration(float64(old)*(1-weight) + float64(sample)*weight)
}

// latencyStats is how long a service's requests hold a slot, late ones
// included: a mean of those in time alone would shrink as more are late.
type latencyStats struct {
	mean, deviation time.Duration
}

// with returns the time after one more sample.
func (t latencyStats) withSample(sample time.Duration) latencyStats {
	return latencyStats{
		mean:      ewma(t.mean, sample, serviceSmoothing),
		deviation: ewma(t.deviation, (sample - t.mean).Abs(), serviceSmoothing),
	}
}

// likely is the time within which nearly all requests end.
func (t latencyStats) tail() time.Duration {
	return t.mean + 3*t.deviation
}
