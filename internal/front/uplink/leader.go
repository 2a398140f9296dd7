// This file defines CallLeader, which calls the leader across leader changes.

package uplink

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/front/retry"
)

const (
	// attemptTimeout bounds one attempt, so that an unresponsive connection doesn't use up
	// the caller's time. A commit takes some syncs of a disk, of 4 to 6 ms each.
	attemptTimeout = 1 * time.Second
	// retryInterval is the pause between attempts.
	retryInterval = 25 * time.Millisecond
	electionWait  = retry.ElectionWait
)

var callsNotWritten = metrics.NewCounter("sycamoredeck_leader_calls_not_written_total")

type (
	// Method calls a method of a control replica.
	Method[Q, R any] func(ctx context.Context, conn *grpc.ClientConn, request Q) (R, error)

	// Call describes how the leader is called, and what became of the call. The zero value
	// is a call without options.
	Call struct {
		// Probe sends the request only on a connection that is known to answer. The outcome
		// is unknown only if the request was written and not answered.
		Probe bool
		// AdviseRetry adds to the error of a call that was not executed after which time
		// the caller should return, as google.rpc.RetryInfo.
		AdviseRetry bool
		// Uncertain is set if some attempt may have been executed, or may still be.
		Uncertain bool

		startedAt time.Time
	}
)

// CallLeader calls the leader. After a leader change it calls the next one, until the
// context ends or no leader is expected in time. The call must be idempotent: it may be
// executed by a leader whose response is lost, and then again by the next one.
//
// The error has code Unavailable if the call was certainly not executed and Aborted if it
// may have been executed. Other codes are the leader's response; a refusal for which IsRefused holds
// was not executed.
func CallLeader[Q, R any](ctx context.Context, u *Uplink, request Q, method Method[Q, R]) (R, error) {
	return CallLeaderWith(ctx, u, &Call{}, request, method)
}

// CallLeaderWith is CallLeader with options.
func CallLeaderWith[Q, R any](ctx context.Context, u *Uplink, c *Call, request Q, method Method[Q, R]) (R, error) {
	c.startedAt = u.options.Clock.Now()
	for {
		response, err := callOnce(ctx, u, c, request, method)
		if IsRefused(err) && c.Uncertain {
			return response, OutcomeUnknown("refused after an attempt that was not answered")
		}
		if err == nil || !retriable(err) {
			return response, err
		}
		c.Uncertain = c.Uncertain || !notExecuted(err)
		if !u.shouldRetry(ctx, c) {
			return response, u.finalError(ctx, err, c)
		}
		select {
		case <-ctx.Done():
			return response, u.finalError(ctx, err, c)
		case <-u.options.Clock.After(retryInterval):
		}
	}
}

// shouldRetry reports whether a call should be attempted again. It returns false after
// electionWait, and immediately if too few replicas respond to elect a leader. A call that
// may have been executed is retried for as long as its caller waits, since the next leader
// can determine its outcome.
func (u *Uplink) shouldRetry(ctx context.Context, c *Call) bool {
	if c.Uncertain {
		return true
	}
	now := u.options.Clock.Now()
	if c.AdviseRetry {
		return u.currentOutage().Holds(now.Sub(c.startedAt), timeLeft(ctx, now))
	}
	return u.quorumResponsive() && now.Sub(c.startedAt) < electionWait
}

// callOnce makes one attempt. It is canceled once another leader is known, since the
// called one may be down and never respond.
func callOnce[Q, R any](ctx context.Context, u *Uplink, c *Call, request Q, method Method[Q, R]) (R, error) {
	address, changed := u.watchLeader()
	if address == "" {
		var zero R
		return zero, status.Error(codes.Unavailable, NotExecuted+"no control leader is known")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	conn, err := u.connect(ctx, c, address)
	if err != nil {
		var zero R
		return zero, err
	}
	callCtx, cancelCall := context.WithTimeout(ctx, attemptTimeout)
	defer cancelCall()
	if !c.Probe {
		return method(callCtx, conn, request)
	}
	callCtx, delivery := link.WithDelivery(callCtx)
	response, err := method(callCtx, conn, request)
	if err != nil && delivery.NotWritten() {
		callsNotWritten.Inc()
		err = status.Error(codes.Unavailable, NotExecuted+"request not sent: "+status.Convert(err).Message())
	}
	return response, err
}

// connect returns a connection to the leader, for a call with Probe one that answers.
func (u *Uplink) connect(ctx context.Context, c *Call, address string) (*grpc.ClientConn, error) {
	if !c.Probe {
		return u.options.Pool.Conn(address)
	}
	conn, err := u.options.Pool.Probe(ctx, address)
	switch {
	case err == nil:
		u.recordProbe(address, true)
		return conn, nil
	case errors.Is(err, link.ErrClosed):
		return nil, err
	case errors.Is(err, link.ErrNotResponding):
		u.recordProbe(address, false)
		u.probeVoters()
	}
	return nil, status.Error(codes.Unavailable, NotExecuted+"no answer to ping: "+err.Error())
}

// timeLeft returns the time until the context ends.
func timeLeft(ctx context.Context, now time.Time) time.Duration {
	deadline, limited := ctx.Deadline()
	if !limited {
		return time.Hour
	}
	return deadline.Sub(now)
}

func retriable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.Aborted, codes.DeadlineExceeded, codes.Canceled:
		return true
	default:
		return false
	}
}

// notExecuted reports whether the replica rejected the call without executing it. A broken
// connection returns Unavailable too, but without the prefix.
func notExecuted(err error) bool {
	s := status.Convert(err)
	return s.Code() == codes.Unavailable && strings.HasPrefix(s.Message(), NotExecuted)
}

// NotExecuted is the prefix of error messages for calls that were not executed.
const NotExecuted = "not done: "

// OutcomeUnknown returns the error of a call that may have been executed.
func OutcomeUnknown(text string) error {
	return status.Error(codes.Aborted, "outcome unknown, ask again with the same key: "+text)
}

func (u *Uplink) finalError(ctx context.Context, err error, c *Call) error {
	text := status.Convert(err).Message()
	switch {
	case c.Uncertain:
		return OutcomeUnknown(text)
	case c.AdviseRetry:
		return u.refuse(text, timeLeft(ctx, u.options.Clock.Now()))
	default:
		return status.Error(codes.Unavailable, text)
	}
}
