// This file defines Service, which assigns calls to slots of backend servers.

// Package route selects backend servers for calls and manages the connections to them.
// Slots and connections are hard limits: a call occupies a slot from before its first
// byte is sent until its response is complete.
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
	// latencySmoothing is the weight of a new sample in a backend server's average latency.
	latencySmoothing = 0.1
	// serviceSmoothing is the weight of a new sample in the latency statistics of a service.
	serviceSmoothing = 0.02
	// initialLatency is assumed for a backend server without samples.
	initialLatency = 5 * time.Millisecond
	// sampleSize is the number of backend servers that pick compares. If a tenth of them
	// is slow, comparing only two would send 1% of the calls to a slow one. Entries don't
	// share slots, so that a larger sample causes no herding.
	sampleSize = 8
	// probeInterval is the time after which a slow backend server is tried again.
	probeInterval = 2 * time.Second
	// crossDomainFactor scales the cost of backend servers in other failure domains, to
	// account for the longer round trip.
	crossDomainFactor = 1.3
	// minRetryAfter and maxRetryAfter bound the retry delay, before jitter.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// noServerRetryAfter is the retry delay while no backend server is known. A starting
	// one announces itself within a second.
	noServerRetryAfter = time.Second
)

// Reasons for a Refusal. The call has not been run.
var (
	ErrNoServer         = errors.New("no usable backend server")
	ErrQueueFull        = errors.New("the queue is full")
	ErrDeadlineExceeded = errors.New("no slot becomes free before the deadline")
	ErrCallerGone       = errors.New("the caller has gone away")
)

type (
	// Refusal is the error for a call that gets no slot.
	Refusal struct {
		Err        error
		RetryAfter time.Duration
	}

	// SlotRequest describes a call that needs a slot.
	SlotRequest struct {
		Account  string
		Weight   float64
		Deadline time.Time
		// Tried lists the IDs of backend servers that were already tried; others are
		// preferred.
		Tried []string
	}

	// Options configure the services of an entry.
	Options struct {
		Clock         clockwork.Clock
		FailureDomain string
		QueueLength   int
		// SlotShare returns the number of a backend server's slots that this entry may use.
		SlotShare func(server string, slots uint32) int
		// EntryCount returns the number of known entries.
		EntryCount func() int
	}

	// Service routes the calls of one service at one entry.
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

// Error returns the reason.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the reason as one of this package's errors.
func (r *Refusal) Unwrap() error { return r.Err }

var _ error = (*Refusal)(nil)

// NewService returns a service without backend servers.
func NewService(options Options) *Service {
	return &Service{options: options, latency: latencyStats{mean: initialLatency}}
}

// Update replaces the backend servers. Unchanged ones keep their connections; removed
// ones get no new calls, and their calls in flight run to completion.
func (s *Service) Update(usable []*wire.Announcement) {
	s.mu.Lock()
	previous := map[string]*Backend{}
	for _, b := range s.backends {
		previous[b.key()] = b
	}
	s.backends = s.backends[:0:0]
	for _, a := range usable {
		b := previous[backendKey(a)]
		if b == nil {
			b = newBackend(a)
		}
		delete(previous, b.key())
		s.backends = append(s.backends, b)
	}
	for _, b := range previous {
		b.removed = true
	}
	s.resize()
	granted := s.grantQueued()
	s.mu.Unlock()
	for _, b := range previous {
		b.close()
	}
	granted.deliver()
}

// Resize recomputes this entry's share of the slots after the entries have changed.
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

// Check returns the *Refusal that Acquire would return without waiting, or nil.
func (s *Service) Check(request SlotRequest) error {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.totalSlots == 0:
		return &Refusal{ErrNoServer, noServerRetryAfter}
	case s.freeSlots > 0:
		return nil
	default:
		return s.checkWait(now, request)
	}
}

// Acquire reserves a slot, waiting for one if necessary, and returns its backend server.
// The error is a *Refusal.
func (s *Service) Acquire(ctx context.Context, request SlotRequest) (*Backend, error) {
	now := s.options.Clock.Now()
	s.mu.Lock()
	if len(s.backends) == 0 || s.totalSlots == 0 {
		s.mu.Unlock()
		return nil, &Refusal{ErrNoServer, noServerRetryAfter}
	}
	if s.queue.Len() == 0 {
		if b := s.pick(now, request.Tried); b != nil {
			s.takeSlot(now, b)
			s.mu.Unlock()
			return b, nil
		}
	}
	if err := s.checkWait(now, request); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	granted := make(chan *Backend, 1)
	w := &admit.Waiter[*Backend]{
		Account: request.Account, Weight: request.Weight, Deadline: request.Deadline,
		LatestStart: s.latestStart(now, request.Deadline),
		Grant:       func(b *Backend) { granted <- b },
	}
	s.queue.Push(w)
	s.mu.Unlock()
	return s.wait(ctx, w, granted)
}

// wait waits for a slot. A nil grant rejects the call before its deadline.
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

// checkWait returns a *Refusal if the queue is full or no slot is expected in time.
func (s *Service) checkWait(now time.Time, request SlotRequest) error {
	wait := s.expectedWait(request.Account, request.Weight, s.queue.AccountLen(request.Account)+1)
	if s.queue.Len() >= s.options.QueueLength {
		return &Refusal{ErrQueueFull, clampAndJitter(wait)}
	}
	if now.Add(wait).After(s.latestStart(now, request.Deadline)) {
		return &Refusal{ErrDeadlineExceeded, clampAndJitter(wait)}
	}
	return nil
}

// TailLatency returns the time within which nearly all requests of the service complete.
func (s *Service) TailLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.tail()
}

// latestStart returns the latest time at which a call may be given a slot. A call that
// starts later would likely miss its deadline and waste the slot. Under overload such
// calls, which come first in deadline order, would occupy all slots. If the service is
// slow compared with the timeouts of its callers, a call may wait for up to half of its
// remaining time.
func (s *Service) latestStart(now, deadline time.Time) time.Time {
	return deadline.Add(-min(s.latency.tail(), deadline.Sub(now)/2))
}

// expectedWait estimates the wait of the call at a position in its account's queue from
// the mean latency and the account's share of the slots.
func (s *Service) expectedWait(account string, weight float64, position int) time.Duration {
	rate := float64(max(s.totalSlots, 1)) * s.queue.Share(account, max(weight, 1e-9))
	return time.Duration(float64(s.latency.mean) * float64(position) / rate)
}

func (s *Service) retryAfter(account string, weight float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clampAndJitter(s.expectedWait(account, weight, s.queue.AccountLen(account)+1))
}

// clampAndJitter bounds a retry delay and adds up to a half at random, so that rejected
// callers don't retry at the same time.
func clampAndJitter(d time.Duration) time.Duration {
	d = max(minRetryAfter, min(d, maxRetryAfter))
	return d + time.Duration(rand.Int64N(int64(d/2)+1))
}

// Shed rejects waiting calls that can no longer start in time, because slots were lost
// or latency has risen since they were queued.
func (s *Service) Shed() {
	now := s.options.Clock.Now()
	s.mu.Lock()
	removed := s.queue.RemoveIf(func(w *admit.Waiter[*Backend], ahead int) bool {
		wait := s.expectedWait(w.Account, w.Weight, ahead)
		return s.totalSlots == 0 || now.Add(wait).After(w.LatestStart)
	})
	s.mu.Unlock()
	for _, w := range removed {
		w.Grant(nil)
	}
}

// pick returns the available backend server with the lowest cost out of a random sample.
// If the sample has none, it scans all. It returns nil if there is no free slot.
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

// scan returns the first available backend server, starting from a random one. Those not
// yet tried are preferred to the others, and these to ejected ones.
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

// leastEjected returns the backend server with a free slot whose ejection ends first. It
// is used if all with a free slot are ejected, since ejection must never leave callers
// without any.
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

// cost estimates the latency of the next call on a backend server. A slow one that hasn't
// been picked for the probe interval costs nothing, so that it is picked once. Otherwise
// it would never be picked again, and its recovery never noticed.
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

// RecordOutcome records the outcome of an attempt that keeps its slot.
func (s *Service) RecordOutcome(b *Backend, o AttemptOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.recordOutcome(s.options.Clock.Now(), o)
}

// Release releases the slot of an attempt and records its outcome.
func (s *Service) Release(b *Backend, o AttemptOutcome) {
	now := s.options.Clock.Now()
	s.mu.Lock()
	b.inFlight--
	if b.inFlight < b.slotLimit && !b.removed {
		s.freeSlots++
	}
	b.recordOutcome(now, o)
	if d := max(o.Latency, o.LateLatency); d > 0 {
		s.latency = s.latency.withSample(d)
	}
	granted := s.grantQueued()
	s.mu.Unlock()
	granted.deliver()
}

type (
	// grant is a slot for a waiting call. A nil backend rejects the call.
	grant struct {
		waiter  *admit.Waiter[*Backend]
		backend *Backend
	}

	grants []grant
)

func (g grants) deliver() {
	for _, gr := range g {
		gr.waiter.Grant(gr.backend)
	}
}

// grantQueued assigns free slots to waiting calls in queue order, and rejects those that
// would start too late. The caller delivers the grants after unlocking.
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

// latencyStats holds the moving mean and deviation of the time for which requests occupy
// a slot. Late responses are included: without them the mean would fall as more requests
// miss their deadline.
type latencyStats struct {
	mean, deviation time.Duration
}

// withSample returns the statistics after one more sample.
func (l latencyStats) withSample(sample time.Duration) latencyStats {
	return latencyStats{
		mean:      ewma(l.mean, sample, serviceSmoothing),
		deviation: ewma(l.deviation, (sample - l.mean).Abs(), serviceSmoothing),
	}
}

// tail returns the time within which nearly all requests complete.
func (l latencyStats) tail() time.Duration {
	return l.mean + 3*l.deviation
}
