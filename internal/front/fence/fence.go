// This file defines Fence, which prevents requests from running twice.

// Package fence prevents non-idempotent requests from being sent more than once across
// all entries. A dispatch record is committed before the first byte of a request is sent;
// a resend through any entry is answered from that record.
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
	// responseTTL is how long responses are cached for resends.
	responseTTL = time.Minute
	// maxCachedBytes bounds the cached responses of an entry.
	maxCachedBytes = 64 << 20
	closeTimeout   = 5 * time.Second
)

var (
	openedTotal = metrics.NewCounter("sycamoredeck_dispatches_opened_total")
	deniedTotal = metrics.NewCounter("sycamoredeck_dispatches_denied_total")
	joinedTotal = metrics.NewCounter("sycamoredeck_dispatches_joined_total")
)

type (
	// Fence commits dispatch records and caches responses. It is safe for concurrent use.
	Fence struct {
		uplink  *uplink.Uplink
		clock   clockwork.Clock
		entryID string

		mu          sync.Mutex
		executions  map[string]*Execution
		cached      []*Execution // finished ones, oldest first
		cachedBytes int
	}

	// Execution is one request at this entry. Callers who send the same request ID share it.
	Execution struct {
		key        string
		done       chan struct{}
		response   *wire.CallResponse
		finishedAt time.Time
	}

	// Permit allows a request to be sent once.
	Permit struct {
		request *wire.CallRequest
		nonce   string
	}
)

// New returns a fence that commits its records through an uplink.
func New(entryID string, u *uplink.Uplink, clock clockwork.Clock) *Fence {
	return &Fence{uplink: u, clock: clock, entryID: entryID, executions: map[string]*Execution{}}
}

// Join returns the execution of a request at this entry and reports whether it is new.
// The caller must Finish a new one.
func (f *Fence) Join(r *wire.CallRequest) (*Execution, bool) {
	key := r.ClientAccount + "\x00" + r.RequestId
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evict()
	if execution := f.executions[key]; execution != nil {
		joinedTotal.Inc()
		return execution, false
	}
	execution := &Execution{key: key, done: make(chan struct{})}
	f.executions[key] = execution
	return execution, true
}

// Wait returns the response, or nil if the context ends first.
func (e *Execution) Wait(ctx context.Context) *wire.CallResponse {
	select {
	case <-e.done:
		return e.response
	case <-ctx.Done():
		return nil
	}
}

// Finish sets the response of an execution and, if cache is set, keeps it for resends.
// A response with outcome NOT_RUN is never cached, since the request may be sent again.
func (f *Fence) Finish(execution *Execution, response *wire.CallResponse, cache bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	execution.response, execution.finishedAt = response, f.clock.Now()
	close(execution.done)
	if !cache || response.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		delete(f.executions, execution.key)
		return
	}
	f.cached = append(f.cached, execution)
	f.cachedBytes += len(response.Payload)
	f.evict()
}

// evict removes the oldest responses while they are expired or exceed maxCachedBytes.
func (f *Fence) evict() {
	now := f.clock.Now()
	for len(f.cached) > 0 && (f.cachedBytes > maxCachedBytes || now.Sub(f.cached[0].finishedAt) > responseTTL) {
		oldest := f.cached[0]
		f.cached = f.cached[1:]
		f.cachedBytes -= len(oldest.response.Payload)
		delete(f.executions, oldest.key)
	}
}

// Open commits a dispatch record for a request that is about to be sent. If the Permit is
// nil the request must not be sent: either another record exists, which is returned, or
// an error occurred, after which a record may have been committed nevertheless.
func (f *Fence) Open(ctx context.Context, r *wire.CallRequest, timeout time.Duration) (*Permit, *wire.DispatchRecord, error) {
	p := &Permit{request: r, nonce: uuid.NewString()}
	request := &wire.OpenDispatchRequest{
		ClientAccount: r.ClientAccount, RequestId: r.RequestId, EntryId: f.entryID,
		Nonce: p.nonce, Timeout: durationpb.New(timeout),
	}
	response, err := uplink.CallLeader(ctx, f.uplink, request, func(ctx context.Context, conn *grpc.ClientConn, q *wire.OpenDispatchRequest) (*wire.OpenDispatchResponse, error) {
		return wire.NewControlServiceClient(conn).OpenDispatch(ctx, q)
	})
	if err != nil {
		if !uplink.IsRefused(err) {
			f.closeAsync(p, true) // the record may have been committed
		}
		return nil, nil, err
	}
	if !response.Granted {
		deniedTotal.Inc()
		return nil, response.Recorded, nil
	}
	openedTotal.Inc()
	return p, nil, nil
}

// Complete records in the background that the request was run. Until then the open record
// prevents resends as well.
func (f *Fence) Complete(p *Permit) {
	f.closeAsync(p, false)
}

// Abort removes the record of a request that was certainly not run. It waits for the
// commit, so that a resend after the response finds no record.
func (f *Fence) Abort(ctx context.Context, p *Permit) error {
	return f.commitClose(ctx, p, true)
}

func (f *Fence) closeAsync(p *Permit, notRun bool) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		// On an error the record stays open, which is safe.
		_ = f.commitClose(ctx, p, notRun)
	}()
}

func (f *Fence) commitClose(ctx context.Context, p *Permit, notRun bool) error {
	request := &wire.CloseDispatchRequest{
		ClientAccount: p.request.ClientAccount, RequestId: p.request.RequestId, Nonce: p.nonce, NotRun: notRun,
	}
	_, err := uplink.CallLeader(ctx, f.uplink, request, func(ctx context.Context, conn *grpc.ClientConn, q *wire.CloseDispatchRequest) (*wire.CloseDispatchResponse, error) {
		return wire.NewControlServiceClient(conn).CloseDispatch(ctx, q)
	})
	return err
}
