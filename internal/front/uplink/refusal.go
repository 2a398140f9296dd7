// This file defines refusals, which tell callers when to repeat a call.

package uplink

import (
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Refused returns the error of a call that a replica refused and didn't execute, with the time after
// which it may be repeated. Its code is ResourceExhausted.
func Refused(text string, after time.Duration) error {
	return withRetryInfo(codes.ResourceExhausted, NotExecuted+text, after)
}

// IsRefused reports whether an error is one of Refused. Other errors with its code, as of a message that
// is too large, say nothing of the outcome.
func IsRefused(err error) bool {
	_, advised := RetryDelay(err)
	return advised && status.Code(err) == codes.ResourceExhausted
}

// RetryDelay returns the time after which a call should be repeated, if its error tells.
func RetryDelay(err error) (time.Duration, bool) {
	for _, d := range status.Convert(err).Details() {
		if info, ok := d.(*errdetails.RetryInfo); ok {
			return info.RetryDelay.AsDuration(), true
		}
	}
	return 0, false
}

func withRetryInfo(code codes.Code, text string, after time.Duration) error {
	s := status.New(code, text)
	if detailed, err := s.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)}); err == nil {
		s = detailed
	}
	return s.Err()
}
