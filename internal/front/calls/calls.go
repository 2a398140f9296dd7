// This file defines Server, which handles latency-critical requests.

// Package calls serves latency-critical requests at an entry: it validates them, assigns
// them a slot, sends them to a backend server, and retries them where that is safe.
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
	// attemptShare is the fraction of the remaining time given to an attempt that may be
	// retried, so that a hanging backend server doesn't use up all of it.
	attemptShare = 0.6
	// abortTimeout bounds the removal of the dispatch record of a request that was not
	// run. It may extend past the request's deadline.
	abortTimeout = 500 * time.Millisecond
	// defaultRetryAfter is the retry delay where no estimate exists.
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
	// Options configure a Server.
	Options struct {
		Clock    clockwork.Clock
		Settings *wire.EntrySettings
		Roster   *roster.Roster
		Fence    *fence.Fence
		// Route holds the options of every service.
		Route route.Options
	}

	// configIndex indexes a configuration by name. It is immutable.
	configIndex struct {
		accounts map[string]*wire.ClientAccount
		services map[string]*wire.Service
	}

	// Server implements CallerService.
	Server struct {
		wire.UnimplementedCallerServiceServer
		options Options
		budget  retry.Budget

		mu       sync.RWMutex
		config   *configIndex
		services map[string]*route.Service
	}

	// call is the state of one request.
	call struct {
		request   *wire.CallRequest
		account   *wire.ClientAccount
		service   *route.Service
		startedAt time.Time
		deadline  time.Time
		attempts  uint32
		// mayHaveRun is set after an attempt with unknown outcome. For a non-idempotent
		// resend it is set from the start, until a granted dispatch record shows that no
		// earlier attempt can have run.
		mayHaveRun bool
		tried      []string
		permit     *fence.Permit
	}
)

var _ wire.CallerServiceServer = (*Server)(nil)

// New returns a Server without configuration and backend servers.
func New(options Options) *Server {
	return &Server{
		options:  options,
		budget:   retry.Budget{Ratio: options.Settings.RetryRatio},
		services: map[string]*route.Service{},
	}
}

// Configure replaces the configuration.
func (s *Server) Configure(v *wire.ConfigurationVersion) {
	index := &configIndex{accounts: map[string]*wire.ClientAccount{}, services: map[string]*wire.Service{}}
	for _, a := range v.Configuration.GetClientAccounts() {
		index.accounts[a.Name] = a
	}
	for _, sv := range v.Configuration.GetServices() {
		index.services[sv.Name] = sv
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = index
}

// Update replaces the usable backend servers of a service.
func (s *Server) Update(service string, usable []*wire.Announcement) {
	s.service(service).Update(usable)
}

// Resize recomputes the slots of all services after the entries have changed.
func (s *Server) Resize() {
	s.each((*route.Service).Resize)
}

// Shed rejects waiting calls that can no longer start in time.
func (s *Server) Shed() {
	s.each((*route.Service).Shed)
}

func (s *Server) each(f func(*route.Service)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, sv := range s.services {
		f(sv)
	}
}

func (s *Server) service(name string) *route.Service {
	s.mu.RLock()
	service := s.services[name]
	s.mu.RUnlock()
	if service != nil {
		return service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services[name] == nil {
		s.services[name] = route.NewService(s.options.Route)
	}
	return s.services[name]
}

// Call handles one request.
func (s *Server) Call(ctx context.Context, r *wire.CallRequest) (*wire.CallResponse, error) {
	c, err := s.admit(r)
	if err != nil {
		refusedTotal.Inc()
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	var response *wire.CallResponse
	if r.Idempotent {
		response = s.run(ctx, c)
	} else {
		response = s.runOnce(ctx, c)
	}
	callSeconds.UpdateDuration(c.startedAt)
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

// admit validates a request. Its errors name the invalid field.
func (s *Server) admit(r *wire.CallRequest) (*call, error) {
	if err := checkRequest(r, int(s.options.Settings.MaxPayloadBytes)); err != nil {
		return nil, err
	}
	s.mu.RLock()
	index := s.config
	s.mu.RUnlock()
	if index == nil {
		return nil, status.Error(codes.Unavailable, "this entry has no configuration yet")
	}
	account, service := index.accounts[r.ClientAccount], index.services[r.Service]
	if account == nil || service == nil || service.ClientAccount != r.ClientAccount {
		return nil, unknownNameError(r, account != nil)
	}
	timeout, err := s.timeout(r, service)
	if err != nil {
		return nil, err
	}
	now := s.options.Clock.Now()
	return &call{
		request: r, account: account, service: s.service(r.Service),
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

// unknownNameError returns InvalidArgument for a malformed name and NotFound for one that
// isn't configured.
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

// visibleASCII reports whether s has only visible ASCII characters, so that it can't break a
// header line.
func visibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func (s *Server) timeout(r *wire.CallRequest, service *wire.Service) (time.Duration, error) {
	limit := s.options.Settings.MaxTimeout.AsDuration()
	switch {
	case r.Timeout != nil:
		d := r.Timeout.AsDuration()
		if d <= 0 || d > limit {
			return 0, status.Errorf(codes.InvalidArgument, "Timeout is %v; must be above 0 and at most %v", d, limit)
		}
		return d, nil
	case service.DefaultTimeout != nil:
		return min(service.DefaultTimeout.AsDuration(), limit), nil
	default:
		return s.options.Settings.DefaultTimeout.AsDuration(), nil
	}
}

// runOnce runs a non-idempotent request. Callers who send the same request ID while it
// runs, or shortly after, get the same response.
func (s *Server) runOnce(ctx context.Context, c *call) *wire.CallResponse {
	execution, first := s.options.Fence.Join(c.request)
	if !first {
		if response := execution.Wait(ctx); response != nil {
			return response
		}
		return c.unknown("the request is still running")
	}
	// Other callers may have joined, so that the request outlives its first caller.
	ctx = context.WithoutCancel(ctx)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	response := s.run(ctx, c)
	if c.permit != nil {
		response = s.closeDispatch(ctx, c, response)
	}
	// A response without a granted dispatch record isn't cached: a resend may be answered
	// more precisely from the record.
	s.options.Fence.Finish(execution, response, c.permit != nil)
	return response
}

// closeDispatch updates the dispatch record to match the response.
func (s *Server) closeDispatch(ctx context.Context, c *call, response *wire.CallResponse) *wire.CallResponse {
	switch response.Outcome {
	case wire.Outcome_OUTCOME_COMPLETED:
		s.options.Fence.Complete(c.permit)
	case wire.Outcome_OUTCOME_NOT_RUN:
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
		defer cancel()
		if err := s.options.Fence.Abort(ctx, c.permit); err != nil {
			// A resend would be answered from the open record, which contradicts "not run".
			return c.unknown("not run, but its record could not be cleared")
		}
	default:
	}
	return response
}

// run sends the request until it is answered or may not be retried.
func (s *Server) run(ctx context.Context, c *call) *wire.CallResponse {
	s.budget.Deposit(c.request.ClientAccount, c.request.Service)
	for {
		response, err := s.attempt(ctx, c)
		if response != nil {
			return response
		}
		if !s.mayRetry(ctx, c) {
			return c.exhausted(err)
		}
		retriesTotal.Inc()
	}
}

// mayRetry reports whether another attempt is safe and within the limits. If so, it takes
// the attempt from the retry budget.
func (s *Server) mayRetry(ctx context.Context, c *call) bool {
	if c.mayHaveRun && !c.request.Idempotent {
		return false
	}
	if c.attempts >= s.options.Settings.MaxAttempts || ctx.Err() != nil {
		return false
	}
	return s.budget.TryWithdraw(c.request.ClientAccount, c.request.Service)
}

// attempt acquires a slot and sends the request once. A nil response means that the attempt
// failed for the reason in the error, and that another one may follow if mayRetry allows.
func (s *Server) attempt(ctx context.Context, c *call) (*wire.CallResponse, error) {
	slot := route.SlotRequest{
		Account: c.request.ClientAccount, Weight: c.account.Share,
		Deadline: c.deadline, Tried: c.tried,
	}
	if response := s.openDispatch(ctx, c, slot); response != nil {
		return response, nil
	}
	b, err := c.service.Acquire(ctx, slot)
	if err != nil {
		return c.refused(err), nil
	}
	startedAt := s.options.Clock.Now()
	if !startedAt.Before(c.deadline) {
		c.service.Release(b, route.AttemptOutcome{})
		return c.notRun("the deadline passed before it was sent", defaultRetryAfter), nil
	}
	c.attempts++
	attemptsTotal.Inc()
	c.tried = append(c.tried, b.ID())
	response, late, err := b.Do(ctx, startedAt, route.Request{
		ID: c.request.RequestId, Account: c.request.ClientAccount, Service: c.request.Service,
		Payload: c.request.Payload, Deadline: s.attemptDeadline(c, startedAt),
		Idempotent: c.request.Idempotent, MaxResponseBytes: int(s.options.Settings.MaxPayloadBytes),
	})
	s.recordAttempt(c, b, startedAt, response, late, err)
	if err == nil {
		return c.completed(b.ID(), response), nil
	}
	c.mayHaveRun = c.mayHaveRun || !errors.Is(err, route.ErrNotRun)
	return nil, err
}

// attemptDeadline returns the deadline of an attempt. It reserves time for a retry if one
// is allowed and the rest suffices for nearly all requests.
func (s *Server) attemptDeadline(c *call, now time.Time) time.Time {
	if !c.request.Idempotent || c.attempts >= s.options.Settings.MaxAttempts {
		return c.deadline
	}
	share := time.Duration(float64(c.deadline.Sub(now)) * attemptShare)
	if share < c.service.TailLatency() {
		return c.deadline
	}
	return now.Add(share)
}

// recordAttempt records the outcome of an attempt and releases its slot. If a late
// response is outstanding, the slot is released once it has arrived or timed out.
func (s *Server) recordAttempt(c *call, b *route.Backend, startedAt time.Time, response route.Response, late func() bool, err error) {
	now := s.options.Clock.Now()
	outcome := route.AttemptOutcome{}
	switch {
	case err == nil:
		outcome.Latency = max(now.Sub(startedAt), 1)
		s.options.Roster.RecordReply(now, b.ID(), b.Incarnation(), response.Leaving)
	case response.Status != 0: // rejected, but alive
		s.options.Roster.RecordReply(now, b.ID(), b.Incarnation(), response.Leaving)
	default:
		outcome.Failed = true
	}
	if late == nil {
		c.service.Release(b, outcome)
		return
	}
	c.service.RecordOutcome(b, outcome)
	go func() {
		outcome := route.AttemptOutcome{}
		if late() {
			outcome.LateLatency = s.options.Clock.Since(startedAt)
		}
		c.service.Release(b, outcome)
	}()
}

// openDispatch acquires the permit of a non-idempotent request before its first attempt. It
// returns a response if the request must not be sent, and nil otherwise.
//
// The request holds no slot while it waits for the commit. Without a leader that may take
// until its deadline, and calls that need no record would wait for the slot. A request that
// would get no slot is rejected without a record, so that overload of a service causes no
// commits.
func (s *Server) openDispatch(ctx context.Context, c *call, slot route.SlotRequest) *wire.CallResponse {
	if c.request.Idempotent || c.permit != nil {
		return nil
	}
	if err := c.service.Check(slot); err != nil {
		return c.refused(err)
	}
	permit, recorded, err := s.options.Fence.Open(ctx, c.request, c.deadline.Sub(c.startedAt))
	switch {
	case err != nil:
		return c.notRun("its dispatch can't be recorded: "+status.Convert(err).Message(), defaultRetryAfter)
	case permit == nil && recorded.State == wire.DispatchState_DISPATCH_STATE_COMPLETED:
		return c.unknown("it was completed through entry " + recorded.EntryId + ", whose answer isn't held here")
	case permit == nil:
		return c.unknown("it was sent through entry " + recorded.EntryId)
	}
	c.permit, c.mayHaveRun = permit, false
	return nil
}

func (c *call) completed(server string, response route.Response) *wire.CallResponse {
	return &wire.CallResponse{
		RequestId: c.request.RequestId, Outcome: wire.Outcome_OUTCOME_COMPLETED,
		Payload: response.Payload, Status: uint32(response.Status), Attempts: c.attempts, BackendServerId: server,
	}
}

// notRun returns a response with outcome NOT_RUN, or UNKNOWN if an earlier attempt may have
// run the request.
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
