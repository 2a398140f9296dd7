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
	// askTimeout bounds one try, so that a connection that went silent costs
	// a try and not the whole of the caller's time.
	askTimeout = 2 * time.Second
	// retryPause is between tries to reach a leader.
	retryPause = 25 * time.Millisecond
)

// Call is a method of a control replica.
type Call[Q, R any] func(ctx context.Context, conn *grpc.ClientConn, request Q) (R, error)

// Ask calls the leader, and the next one while it changes, until the context
// ends. Only idempotent calls may be made with it, since one may be carried
// out by a leader whose answer is lost, and sent to the next.
//
// Its error has code Unavailable if the call surely wasn't carried out, and
// Aborted if it may have been; other codes are the leader's answer.
func Ask[Q, R any](ctx context.Context, u *Uplink, request Q, call Call[Q, R]) (R, error) {
	uncertain := false
	for {
		response, err := askOnce(ctx, u, request, call)
		if err == nil || !again(err) {
			return response, err
		}
		uncertain = uncertain || !surelyNotDone(err)
		select {
		case <-ctx.Done():
			return response, final(err, uncertain)
		case <-u.options.Clock.After(retryPause):
		}
	}
}

func askOnce[Q, R any](ctx context.Context, u *Uplink, request Q, call Call[Q, R]) (R, error) {
	conn, err := u.Leader()
	if err != nil {
		var none R
		return none, err
	}
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return call(limited, conn, request)
}

func again(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.Aborted, codes.DeadlineExceeded, codes.Canceled:
		return true
	default:
		return false
	}
}

// surelyNotDone tells an answer that refused the call from a connection that
// broke under it. Only the system's own texts are trusted.
func surelyNotDone(err error) bool {
	s := status.Convert(err)
	return s.Code() == codes.Unavailable && strings.HasPrefix(s.Message(), NotDone)
}

// NotDone begins the messages of refusals after which nothing was done.
const NotDone = "not done: "

func final(err error, uncertain bool) error {
	text := status.Convert(err).Message()
	if uncertain {
		return status.Error(codes.Aborted, "outcome unknown, ask again with the same key: "+text)
	}
	return status.Error(codes.Unavailable, text)
}
