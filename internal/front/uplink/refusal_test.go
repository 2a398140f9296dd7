// This file tests refusals.

package uplink_test

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/front/uplink"
)

// Guards against errors with the code of a refusal that are taken for one although the call may have run.
func TestOnlyRefusalsCountAsNotExecuted(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want bool
	}{
		{"refused", uplink.Refused("no room", 2*time.Second), true},
		{"message too large", status.Error(codes.ResourceExhausted, "larger than max"), false},
		{"unavailable", status.Error(codes.Unavailable, "no leader"), false},
		{"another error", errors.New("broken"), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, uplink.IsRefused(c.err), c.want) })
	}
	after, advised := uplink.RetryDelay(uplink.Refused("no room", 2*time.Second))
	assert.Assert(t, advised)
	assert.Equal(t, after, 2*time.Second)
}
