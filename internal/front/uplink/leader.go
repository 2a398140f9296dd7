// This file defines CallLeader, which calls the leader across leader changes.

package uplink

import (
	"context"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// attemptTimeout bounds one attempt, so that an unresponsive connection doesn't use up
	// the caller's time. A commit takes some syncs of a disk, of 4 to 6 ms each.
	attemptTimeout = 1 * time.Second
	// retryInterval is the pause between attempts.
	retryInterval = 25 * time.Millisecond
	// electionWait bounds the wait for an election. Callers wait for 3 s in all, which leaves
	// them time for another attempt. From the loss of a leader to the next one most elections
	// take 1.0 to 1.8 s.
	electionWait = 1200 * time.Millisecond
)

// Method calls a method of a control replica.
type Method[Q, R any] func(ctx context.Context, conn *grpc.ClientConn, request Q) (R, error)

// CallLeader calls the leader. After a leader change it calls the next one, until the
// context ends or no leader is expected in time. The call must be idempotent: it may be
// executed by a leader whose response is lost, and then again by the next one.
//
// The error has code Unavailable if the call was certainly not executed and Aborted if it
// may have been executed. Other codes are the leader's response.
func CallLeader[Q, R any](ctx context.Context, u *Uplink, request Q, method Method[Q, R]) (R, error) {
	startedAt := u.options.Clock.Now()
	uncertain := false
	for {
		response, err := callOnce(ctx, u, request, method)
		if err == nil || !retriable(err) {
			return response, err
		}
		uncertain = uncertain || !notExecuted(err)
		if !u.shouldRetry(startedAt, uncertain) {
			return response, finalError(err, uncertain)
		}
		select {
		case <-ctx.Done():
			return response, finalError(err, uncertain)
		case <-u.options.Clock.After(retryInterval):
		}
	}
}

// shouldRetry reports whether a call should be attempted again. It returns false after
// electionWait, and immediately if too few replicas respond to elect a leader. A call that
// may have been executed is retried for as long as its caller waits, since the next leader
// can determine its outcome.
func (u *Uplink) shouldRetry(startedAt time.Time, uncertain bool) bool {
	if uncertain {
		return true
	}
	return u.quorumResponsive() && u.options.Clock.Now().Sub(startedAt) < electionWait
}

// callOnce makes one attempt. It is canceled once another leader is known, since the
// called one may be down and never respond.
func callOnce[Q, R any](ctx context.Context, u *Uplink, request Q, method Method[Q, R]) (R, error) {
	address, changed := u.watchLeader()
	if address == "" {
		var zero R
		return zero, status.Error(codes.Unavailable, NotExecuted+"no control leader is known")
	}
	conn, err := u.options.Pool.Conn(address)
	if err != nil {
		var zero R
		return zero, err
	}
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-callCtx.Done():
		}
	}()
	return method(callCtx, conn, request)
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

func finalError(err error, uncertain bool) error {
	text := status.Convert(err).Message()
	if uncertain {
		return status.Error(codes.Aborted, "outcome unknown, ask again with the same key: "+text)
	}
	return status.Error(codes.Unavailable, text)
}
