// This file defines Calls, the path of a latency-critical request.

// Package calls serves latency-critical requests at an entry: it checks them,
// gets them a slot, sends them, and sends them again where that can do no harm.
package calls

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/base/setup"
	"sycamoredeck.example/internal/fleet/roster"
	"sycamoredeck.example/internal/front/fence"
	"sycamoredeck.example/internal/front/retry"
	"sycamoredeck.example/internal/front/route"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	maxRequestID = 128
	// attemptShare is the part of the remaining time that an attempt gets
	// while another may follow it, so that a backend server that hangs
	// doesn't use up the whole.
	attemptShare = 0.6
	// abortTimeout is how long past its deadline a request may still be told
	// that it wasn't run, while its record is cleared.
	abortTimeout = 500 * time.Millisecond
	// defaultRetryAfter is told where nothing better is known.
	defaultRetryAfter = 100 * time.Millisecond
)

var (
	completedTotal = metrics.NewCounter(`sycamoredeck_calls_total{outcome="completed"}`)
	notRunTotal    = metrics.NewCounter(`sycamoredeck_calls_total{outcome="not_run"}`)
	unknownTotal   = metrics.NewCounter(`sycamoredeck_calls_total{outcome="unknown"}`)
	refusedTotal   = metrics.NewCounter(`sycamoredeck_calls_total{outcome="refused"}`)
	attemptsTotal  = metrics.NewCounter("sycamoredeck_call_attempts_total")
	retriesTotal   = metrics.NewCounter("sycamoredeck_call_retries_total")
	callSeconds    = metrics.NewHistogram("sycamoredeck_call_seconds")
)

type (
	// Options are fixed for the life of a Calls.
	Options struct {
		Clock    clockwork.Clock
		Settings *wire.EntrySettings
		Roster   *roster.Roster
		Fence    *fence.Fence
		// Route is given to each service.
		Route route.Options
	}

	// book is the configuration as calls need it. It is immutable.
	configIndex struct {
		accounts map[string]*wire.ClientAccount
		services map[string]*wire.Service
	}

	// Calls serves CallerService. It is made by New.
	Server struct {
		wire.UnimplementedCallerServiceServer
		options Options
		budget  retry.Budget

		mu       sync.RWMutex
		config   *configIndex
		services map[string]*route.Service
	}

	// call is one request on its way.
	call struct {
		request   *wire.CallRequest
		account   *wire.ClientAccount
		service   *route.Service
		startedAt time.Time
		deadline  time.Time
		attempts  uint32
		// mayHaveRun is set once an attempt ended without being known. Of a
		// resend that isn't idempotent it is assumed, until its record shows
		// that no earlier send can have run.
		mayHaveRun bool
		tried      []string
		permit     *fence.Permit
	}
)

var _ wire.CallerServiceServer = (*Server)(nil)

// New returns a Calls that knows no service yet.
func New(options Options) *Server {
	return &Server{
		options:  options,
		budget:   retry.Budget{Ratio: options.Settings.RetryRatio},
		services: map[string]*route.Service{},
	}
}

// Configure puts a configuration in force.
func (c *Server) Configure(v *wire.ConfigurationVersion) {
	b := &configIndex{accounts: map[string]*wire.ClientAccount{}, services: map[string]*wire.Service{}}
	for _, a := range v.Configuration.GetClientAccounts() {
		b.accounts[a.Name] = a
	}
	for _, s := range v.Configuration.GetServices() {
		b.services[s.Name] = s
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = b
}

// Update tells the usable backend servers of a service.
func (c *Server) Update(service string, usable []*wire.Announcement) {
	c.service(service).Update(usable)
}

// Resize works out all slots anew after the entries have changed.
func (c *Server) Resize() {
	c.each((*route.Service).Resize)
}

// Shed answers the waiting calls that have become hopeless.
func (c *Server) Shed() {
	c.each((*route.Service).Shed)
}

func (c *Server) each(f func(*route.Service)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, s := range c.services {
		f(s)
	}
}

func (c *Server) service(name string) *route.Service {
	c.mu.RLock()
	s := c.services[name]
	c.mu.RUnlock()
	if s != nil {
		return s
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services[name] == nil {
		c.services[name] = route.NewService(c.options.Route)
	}
	return c.services[name]
}

// Call serves one request.
func (c *Server) Call(ctx context.Context, r *wire.CallRequest) (*wire.CallResponse, error) {
	one, err := c.admit(r)
	if err != nil {
		refusedTotal.Inc()
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, one.deadline)
	defer cancel()
	var response *wire.CallResponse
	if r.Idempotent {
		response = c.run(ctx, one)
	} else {
		response = c.runOnce(ctx, one)
	}
	callSeconds.UpdateDuration(one.startedAt)
	countOutcome(response.Outcome)
	return response, nil
}

func countOutcome(o wire.Outcome) {
	switch o {
	case wire.Outcome_OUTCOME_COMPLETED:
		completedTotal.Inc()
	case wire.Outcome_OUTCOME_NOT_RUN:
		notRunTotal.Inc()
	default:
		unknownTotal.Inc()
	}
}

// admit checks a request and names the field that is wrong.
func (c *Server) admit(r *wire.CallRequest) (*call, error) {
	if err := checkRequest(r, int(c.options.Settings.MaxPayloadBytes)); err != nil {
		return nil, err
	}
	c.mu.RLock()
	b := c.config
	c.mu.RUnlock()
	if b == nil {
		return nil, status.Error(codes.Unavailable, "this entry has no configuration yet")
	}
	account, service := b.accounts[r.ClientAccount], b.services[r.Service]
	if account == nil || service == nil || service.ClientAccount != r.ClientAccount {
		return nil, unknownNameError(r, account != nil)
	}
	timeout, err := c.timeout(r, service)
	if err != nil {
		return nil, err
	}
	now := c.options.Clock.Now()
	return &call{
		request: r, account: account, service: c.service(r.Service),
		startedAt: now, deadline: now.Add(timeout),
		mayHaveRun: r.Resend && !r.Idempotent,
	}, nil
}

func checkRequest(r *wire.CallRequest, maxPayload int) error {
	if len(r.RequestId) == 0 || len(r.RequestId) > maxRequestID || !visibleASCII(r.RequestId) {
		return status.Errorf(codes.InvalidArgument, "RequestId must have 1 to %d visible ASCII characters", maxRequestID)
	}
	if len(r.Payload) > maxPayload {
		return status.Errorf(codes.InvalidArgument, "Payload has %d bytes; at most %d are allowed", len(r.Payload), maxPayload)
	}
	return nil
}

// unknownNameError tells a name that isn't configured from one that can't be. Known
// names were checked when they were configured.
func unknownNameError(r *wire.CallRequest, accountKnown bool) error {
	switch {
	case !setup.NamePattern.MatchString(r.ClientAccount):
		return status.Errorf(codes.InvalidArgument, "ClientAccount: %q isn't a name", r.ClientAccount)
	case !accountKnown:
		return status.Errorf(codes.NotFound, "ClientAccount: %q isn't configured", r.ClientAccount)
	case !setup.NamePattern.MatchString(r.Service):
		return status.Errorf(codes.InvalidArgument, "Service: %q isn't a name", r.Service)
	default:
		return status.Errorf(codes.NotFound, "Service: client account %q has no service %q", r.ClientAccount, r.Service)
	}
}

// visible keeps out what would break a header line.
func visibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func (c *Server) timeout(r *wire.CallRequest, s *wire.Service) (time.Duration, error) {
	limit := c.options.Settings.MaxTimeout.AsDuration()
	switch {
	case r.Timeout != nil:
		d := r.Timeout.AsDuration()
		if d <= 0 || d > limit {
			return 0, status.Errorf(codes.InvalidArgument, "Timeout is %v; must be above 0 and at most %v", d, limit)
		}
		return d, nil
	case s.DefaultTimeout != nil:
		return min(s.DefaultTimeout.AsDuration(), limit), nil
	default:
		return c.options.Settings.DefaultTimeout.AsDuration(), nil
	}
}

// runOnce runs a request that must not be repeated. Those who send the same
// request id while it runs, or soon after, get the same response.
func (c *Server) runOnce(ctx context.Context, one *call) *wire.CallResponse {
	run, first := c.options.Fence.Join(one.request)
	if !first {
		if response := run.Wait(ctx); response != nil {
			return response
		}
		return one.unknown("the request is still running")
	}
	// The run goes on when this caller goes away: others may have joined.
	ctx = context.WithoutCancel(ctx)
	ctx, cancel := context.WithDeadline(ctx, one.deadline)
	defer cancel()
	response := c.run(ctx, one)
	if one.permit != nil {
		response = c.closeDispatch(ctx, one, response)
	}
	// A response given without a look at the record isn't held: it says
	// nothing that the next send couldn't learn better.
	c.options.Fence.Finish(run, response, one.permit != nil)
	return response
}

// settle brings the dispatch record in line with the response.
func (c *Server) closeDispatch(ctx context.Context, one *call, response *wire.CallResponse) *wire.CallResponse {
	switch response.Outcome {
	case wire.Outcome_OUTCOME_COMPLETED:
		c.options.Fence.Complete(one.permit)
	case wire.Outcome_OUTCOME_NOT_RUN:
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
		defer cancel()
		if err := c.options.Fence.Abort(ctx, one.permit); err != nil {
			// It was not run, but a record that says it may have been would
			// answer the caller's next try, against this answer.
			return one.unknown("not run, but its record could not be cleared")
		}
	default:
	}
	return response
}

// run sends the request until it is answered or can't be sent again.
func (c *Server) run(ctx context.Context, one *call) *wire.CallResponse {
	c.budget.Deposit(one.request.ClientAccount, one.request.Service)
	for {
		response, err := c.attempt(ctx, one)
		if response != nil {
			return response
		}
		if !c.mayRetry(ctx, one) {
			return one.exhausted(err)
		}
		retriesTotal.Inc()
	}
}

// mayRetry allows another attempt of what is idempotent or surely not run.
func (c *Server) mayRetry(ctx context.Context, one *call) bool {
	if one.mayHaveRun && !one.request.Idempotent {
		return false
	}
	if one.attempts >= c.options.Settings.MaxAttempts || ctx.Err() != nil {
		return false
	}
	return c.budget.TryWithdraw(one.request.ClientAccount, one.request.Service)
}

// attempt takes a slot and sends the request once. A nil response asks for
// another attempt; the error says why this one failed.
func (c *Server) attempt(ctx context.Context, one *call) (*wire.CallResponse, error) {
	ask := route.SlotRequest{
		Account: one.request.ClientAccount, Weight: one.account.Share,
		Deadline: one.deadline, Tried: one.tried,
	}
	if response := c.openDispatch(ctx, one, ask); response != nil {
		return response, nil
	}
	b, err := one.service.Acquire(ctx, ask)
	if err != nil {
		return one.refused(err), nil
	}
	began := c.options.Clock.Now()
	if !began.Before(one.deadline) {
		one.service.Release(b, route.AttemptOutcome{})
		return one.notRun("the deadline passed before it was sent", defaultRetryAfter), nil
	}
	one.attempts++
	attemptsTotal.Inc()
	one.tried = append(one.tried, b.ID())
	answer, late, err := b.Do(ctx, began, route.Request{
		ID: one.request.RequestId, Account: one.request.ClientAccount, Service: one.request.Service,
		Payload: one.request.Payload, Deadline: c.attemptDeadline(one, began),
		Idempotent: one.request.Idempotent, MaxResponseBytes: int(c.options.Settings.MaxPayloadBytes),
	})
	c.recordAttempt(one, b, began, answer, late, err)
	if err == nil {
		return one.completed(b.ID(), answer), nil
	}
	one.mayHaveRun = one.mayHaveRun || !errors.Is(err, route.ErrNotRun)
	return nil, err
}

// attemptDeadline leaves time for another attempt where there may be one, and
// where the part for this one suffices for nearly all requests.
func (c *Server) attemptDeadline(one *call, now time.Time) time.Time {
	if !one.request.Idempotent || one.attempts >= c.options.Settings.MaxAttempts {
		return one.deadline
	}
	part := time.Duration(float64(one.deadline.Sub(now)) * attemptShare)
	if part < one.service.TailLatency() {
		return one.deadline
	}
	return now.Add(part)
}

func (c *Server) recordAttempt(one *call, b *route.Backend, began time.Time, answer route.Response, late func() bool, err error) {
	now := c.options.Clock.Now()
	ended := route.AttemptOutcome{}
	switch {
	case err == nil:
		ended.Latency = max(now.Sub(began), 1)
		c.options.Roster.RecordReply(now, b.ID(), b.Incarnation(), answer.Leaving)
	case answer.Status != 0: // refused, but alive
		c.options.Roster.RecordReply(now, b.ID(), b.Incarnation(), answer.Leaving)
	default:
		ended.Failed = true
	}
	if late == nil {
		one.service.Release(b, ended)
		return
	}
	one.service.RecordOutcome(b, ended)
	go func() {
		ended := route.AttemptOutcome{}
		if late() {
			ended.LateLatency = c.options.Clock.Since(began)
		}
		one.service.Release(b, ended)
	}()
}

// fenced gets a non-idempotent request its pass before the first attempt. It
// holds no slot while it waits for the commit: without a leader that may take
// all of its time, and calls that need no record would wait with it. What
// would be refused a slot now isn't recorded first, so that overload of a
// service adds no commits.
func (c *Server) openDispatch(ctx context.Context, one *call, ask route.SlotRequest) *wire.CallResponse {
	if one.request.Idempotent || one.permit != nil {
		return nil
	}
	if err := one.service.Check(ask); err != nil {
		return one.refused(err)
	}
	pass, recorded, err := c.options.Fence.Open(ctx, one.request, one.deadline.Sub(one.startedAt))
	switch {
	case err != nil:
		return one.notRun("its dispatch can't be recorded: "+status.Convert(err).Message(), defaultRetryAfter)
	case pass == nil && recorded.State == wire.DispatchState_DISPATCH_STATE_COMPLETED:
		return one.unknown("it was completed through entry " + recorded.EntryId + ", whose answer isn't held here")
	case pass == nil:
		return one.unknown("it was sent through entry " + recorded.EntryId)
	}
	one.permit, one.mayHaveRun = pass, false
	return nil
}

func (c *call) completed(server string, a route.Response) *wire.CallResponse {
	return &wire.CallResponse{
		RequestId: c.request.RequestId, Outcome: wire.Outcome_OUTCOME_COMPLETED,
		Payload: a.Payload, Status: uint32(a.Status), Attempts: c.attempts, BackendServerId: server,
	}
}

func (c *call) notRun(reason string, retryAfter time.Duration) *wire.CallResponse {
	if c.mayHaveRun {
		return c.unknown(reason)
	}
	return &wire.CallResponse{
		RequestId: c.request.RequestId, Outcome: wire.Outcome_OUTCOME_NOT_RUN,
		Reason: reason, RetryAfter: durationpb.New(retryAfter), Attempts: c.attempts,
	}
}

func (c *call) unknown(reason string) *wire.CallResponse {
	return &wire.CallResponse{
		RequestId: c.request.RequestId, Outcome: wire.Outcome_OUTCOME_UNKNOWN,
		Reason: reason, Attempts: c.attempts,
	}
}

func (c *call) refused(err error) *wire.CallResponse {
	var refusal *route.Refusal
	if errors.As(err, &refusal) {
		return c.notRun(refusal.Error(), refusal.RetryAfter)
	}
	return c.notRun(err.Error(), defaultRetryAfter)
}

func (c *call) exhausted(err error) *wire.CallResponse {
	return c.notRun(fmt.Sprintf("gave up after %d attempts: %v", c.attempts, err), defaultRetryAfter)
}
