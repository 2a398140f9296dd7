// This file defines Fence, which sees to it that nothing runs twice.

// Package fence keeps requests that must not be repeated from being sent more
// than once, by any entry: before the first byte a dispatch record is
// committed, and whoever comes second is told what is recorded.
package fence

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/front/uplink"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// responseTTL is how long answers are held for callers who ask again.
	responseTTL = time.Minute
	// maxCachedBytes bounds the answers held by an entry.
	maxCachedBytes = 64 << 20
	closeTimeout   = 5 * time.Second
)

var (
	openedTotal = metrics.NewCounter("sycamoredeck_dispatches_opened_total")
	deniedTotal = metrics.NewCounter("sycamoredeck_dispatches_denied_total")
	joinedTotal = metrics.NewCounter("sycamoredeck_dispatches_joined_total")
)

type (
	// Fence may be used by many goroutines. It is made by New.
	Fence struct {
		uplink  *uplink.Uplink
		clock   clockwork.Clock
		entryID string

		mu          sync.Mutex
		executions  map[string]*Execution
		cached      []*Execution // ended ones, the oldest first
		cachedBytes int
	}

	// Run is one request that goes through this entry. Callers who send the
	// same request id join it.
	Execution struct {
		key        string
		done       chan struct{}
		response   *wire.CallResponse
		finishedAt time.Time
	}

	// Pass is the right to send a request once.
	Permit struct {
		request *wire.CallRequest
		nonce   string
	}
)

// New returns a fence that commits its records through the uplink.
func New(entryID string, u *uplink.Uplink, clock clockwork.Clock) *Fence {
	return &Fence{uplink: u, clock: clock, entryID: entryID, executions: map[string]*Execution{}}
}

// Join returns the run of this request at this entry, and whether it is new;
// then the caller must End it.
func (f *Fence) Join(r *wire.CallRequest) (*Execution, bool) {
	key := r.ClientAccount + "\x00" + r.RequestId
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evictExpired()
	if run := f.executions[key]; run != nil {
		joinedTotal.Inc()
		return run, false
	}
	run := &Execution{key: key, done: make(chan struct{})}
	f.executions[key] = run
	return run, true
}

// Wait returns the run's response, or nil if the context ends first.
func (e *Execution) Wait(ctx context.Context) *wire.CallResponse {
	select {
	case <-e.done:
		return e.response
	case <-ctx.Done():
		return nil
	}
}

// End gives the run its response, and holds it for those who ask again if hold
// is set. One that wasn't run is never held, since the request may be sent anew.
func (f *Fence) Finish(run *Execution, response *wire.CallResponse, hold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run.response, run.finishedAt = response, f.clock.Now()
	close(run.done)
	if !hold || response.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		delete(f.executions, run.key)
		return
	}
	f.cached = append(f.cached, run)
	f.cachedBytes += len(response.Payload)
	f.evictExpired()
}

func (f *Fence) evictExpired() {
	now := f.clock.Now()
	for len(f.cached) > 0 && (f.cachedBytes > maxCachedBytes || now.Sub(f.cached[0].finishedAt) > responseTTL) {
		oldest := f.cached[0]
		f.cached = f.cached[1:]
		f.cachedBytes -= len(oldest.response.Payload)
		delete(f.executions, oldest.key)
	}
}

// Open commits that the request is about to be sent. A nil Pass says that it
// must not be, and the record says why; on an error nothing may be sent
// either, though a record may have been committed.
func (f *Fence) Open(ctx context.Context, r *wire.CallRequest, timeout time.Duration) (*Permit, *wire.DispatchRecord, error) {
	p := &Permit{request: r, nonce: uuid.NewString()}
	ask := &wire.OpenDispatchRequest{
		ClientAccount: r.ClientAccount, RequestId: r.RequestId, EntryId: f.entryID,
		Nonce: p.nonce, Timeout: durationpb.New(timeout),
	}
	got, err := uplink.CallLeader(ctx, f.uplink, ask, func(ctx context.Context, conn *grpc.ClientConn, q *wire.OpenDispatchRequest) (*wire.OpenDispatchResponse, error) {
		return wire.NewControlServiceClient(conn).OpenDispatch(ctx, q)
	})
	if err != nil {
		f.closeAsync(p, true) // the record may stand though its answer was lost
		return nil, nil, err
	}
	if !got.Granted {
		deniedTotal.Inc()
		return nil, got.Recorded, nil
	}
	openedTotal.Inc()
	return p, nil, nil
}

// Completed records that the request was run, without waiting: an open record
// keeps others from sending it just as well.
func (f *Fence) Complete(p *Permit) {
	f.closeAsync(p, false)
}

// Abort clears the record of a request that was proved not run, and waits
// for it, so that the caller can send it anew once it is told.
func (f *Fence) Abort(ctx context.Context, p *Permit) error {
	return f.commitClose(ctx, p, true)
}

func (f *Fence) closeAsync(p *Permit, notRun bool) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		// On an error the record stays open, which is the safe side.
		_ = f.commitClose(ctx, p, notRun)
	}()
}

func (f *Fence) commitClose(ctx context.Context, p *Permit, notRun bool) error {
	ask := &wire.CloseDispatchRequest{
		ClientAccount: p.request.ClientAccount, RequestId: p.request.RequestId, Nonce: p.nonce, NotRun: notRun,
	}
	_, err := uplink.CallLeader(ctx, f.uplink, ask, func(ctx context.Context, conn *grpc.ClientConn, q *wire.CloseDispatchRequest) (*wire.CloseDispatchResponse, error) {
		return wire.NewControlServiceClient(conn).CloseDispatch(ctx, q)
	})
	return err
}
