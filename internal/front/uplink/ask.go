// This file defines how the leader is asked, across changes of leader.

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
	// attemptTimeout bounds one try, so that a connection that went silent costs
	// a try and not the whole of the caller's time. A commit takes some syncs of a
	// disk, of 4 to 6 ms each where it is deployed.
	attemptTimeout = 1 * time.Second
	// retryInterval is between tries to reach a leader.
	retryInterval = 25 * time.Millisecond
	// electionWait is how long a call waits for a leader while replicas that can elect
	// one answer. 1.0 to 1.8 s passed from the loss of one to the next in seven
	// elections that were looked into, and 3.1 s in one; callers wait 3 s in all, so
	// that a refusal after this leaves them another try.
	electionWait = 1200 * time.Millisecond
)

// Method is a method of a control replica.
type Method[Q, R any] func(ctx context.Context, conn *grpc.ClientConn, request Q) (R, error)

// CallLeader calls the leader, and the next one while it changes, until the context
// ends or no leader can be expected in time. Only idempotent calls may be made
// with it, since one may be carried out by a leader whose answer is lost, and sent
// to the next.
//
// Its error has code Unavailable if the call surely wasn't carried out, and
// Aborted if it may have been; other codes are the leader's answer.
func CallLeader[Q, R any](ctx context.Context, u *Uplink, request Q, call Method[Q, R]) (R, error) {
	began := u.options.Clock.Now()
	uncertain := false
	for {
		response, err := callOnce(ctx, u, request, call)
		if err == nil || !retriable(err) {
			return response, err
		}
		uncertain = uncertain || !notExecuted(err)
		if !u.shouldRetry(began, uncertain) {
			return response, finalError(err, uncertain)
		}
		select {
		case <-ctx.Done():
			return response, finalError(err, uncertain)
		case <-u.options.Clock.After(retryInterval):
		}
	}
}

// shouldRetry tells whether a call that began at a time may yet be answered by a
// leader. Where too few replicas answer to elect one, none can, and the caller is
// told at once. A call that may have been carried out goes on for as long as its
// caller waits: the next leader can tell for sure.
func (u *Uplink) shouldRetry(began time.Time, uncertain bool) bool {
	if uncertain {
		return true
	}
	return u.quorumResponsive() && u.options.Clock.Now().Sub(began) < electionWait
}

// callOnce makes one try. It is given up once another leader is known: the one that
// was asked may be dark, and would be waited for in vain.
func callOnce[Q, R any](ctx context.Context, u *Uplink, request Q, call Method[Q, R]) (R, error) {
	address, changed := u.watchLeader()
	if address == "" {
		var none R
		return none, status.Error(codes.Unavailable, NotExecuted+"no control leader is known")
	}
	conn, err := u.options.Pool.Conn(address)
	if err != nil {
		var none R
		return none, err
	}
	limited, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-limited.Done():
		}
	}()
	return call(limited, conn, request)
}

func retriable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.Aborted, codes.DeadlineExceeded, codes.Canceled:
		return true
	default:
		return false
	}
}

// notExecuted tells an answer that refused the call from a connection that
// broke under it. Only the system's own texts are trusted.
func notExecuted(err error) bool {
	s := status.Convert(err)
	return s.Code() == codes.Unavailable && strings.HasPrefix(s.Message(), NotExecuted)
}

// NotExecuted begins the messages of refusals after which nothing was done.
const NotExecuted = "not done: "

func finalError(err error, uncertain bool) error {
	text := status.Convert(err).Message()
	if uncertain {
		return status.Error(codes.Aborted, "outcome unknown, ask again with the same key: "+text)
	}
	return status.Error(codes.Unavailable, text)
}
