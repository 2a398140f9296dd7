// This file defines tests of CallLeader without a leader and across leader changes.

package uplink

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/schema/wire"
)

// fixture is an uplink that knows five members, some of them unresponsive.
type fixture struct {
	learners      int // the last members are learners
	uplink        *Uplink
	clock         *clockwork.FakeClock
	calledLeaders []string
	// responses simulate the leader, one for each attempt.
	responses []func(context.Context) error
}

var members = []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"}

func newFixture(t *testing.T, responsive int) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock()}
	pool := &link.Pool{}
	t.Cleanup(pool.Close)
	f.uplink = New(Options{
		Clock: f.clock, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Pool: pool,
		Self: &wire.EntryStatus{EntryId: "e"}, OnEntriesChanged: func([]string) {},
	})
	for _, a := range members {
		f.receiveHello(a, "", 1)
	}
	f.lose(members[responsive:])
	return f
}

// lose makes members unresponsive.
func (f *fixture) lose(addresses []string) {
	for _, a := range addresses {
		f.uplink.recordFailure(a)
		f.uplink.recordFailure(a)
	}
}

// receiveHello simulates a hello response that names the leader.
func (f *fixture) receiveHello(from, leader string, term uint64) {
	r := &wire.HelloResponse{LeaderAddress: leader, Term: term}
	for i, a := range members {
		r.Members = append(r.Members, &wire.ControlMember{Address: a, Voter: i < len(members)-f.learners})
	}
	f.uplink.recordHello(from, r)
}

func (f *fixture) call(ctx context.Context) error {
	_, err := CallLeader(ctx, f.uplink, 0, func(ctx context.Context, _ *grpc.ClientConn, _ int) (int, error) {
		f.calledLeaders = append(f.calledLeaders, f.uplink.LeaderAddress())
		respond := f.responses[0]
		f.responses = f.responses[1:]
		return 0, respond(ctx)
	})
	return err
}

func succeed(context.Context) error { return nil }

// hang simulates a leader that never responds.
func hang(ctx context.Context) error {
	<-ctx.Done()
	return status.FromContextError(ctx.Err()).Err()
}

// Guards against calls waiting for a leader while too few replicas respond to elect one.
// The clock doesn't advance, so that a waiting call would never return.
func TestCallFailsImmediatelyWithoutQuorum(t *testing.T) {
	f := newFixture(t, 2)
	err := f.call(t.Context())
	assert.Equal(t, status.Code(err), codes.Unavailable, "%v", err)
	assert.Equal(t, len(f.calledLeaders), 0)
}

// Guards against counting learners, which elect no leader: a call would wait in vain while too few
// voters respond, or fail though enough of them do.
func TestOnlyVotersCountForQuorum(t *testing.T) {
	cases := []struct {
		name string
		lost []string
		want bool
	}{
		{"learners lost", members[3:], true},
		{"learners and a voter lost", members[2:], true},
		{"two voters lost", members[:2], false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, len(members))
			f.learners = 2
			f.clock.Advance(statusTTL + time.Second)
			for _, a := range members {
				if !slices.Contains(c.lost, a) {
					f.receiveHello(a, "", 2)
				}
			}
			f.lose(c.lost)
			assert.Equal(t, f.uplink.HasQuorum(), c.want)
			assert.Equal(t, f.uplink.quorumResponsive(), c.want)
		})
	}
}

// A call waits for an election while enough replicas respond.
func TestCallWaitsForElection(t *testing.T) {
	f := newFixture(t, 3)
	f.responses = append(f.responses, succeed)
	result := make(chan error, 1)
	go func() { result <- f.call(t.Context()) }()
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 1))
	f.receiveHello(members[0], members[0], 2)
	f.clock.Advance(retryInterval)
	assert.NilError(t, <-result)
}

// Guards against holding a call back for longer than electionWait.
func TestCallFailsWhenElectionTakesTooLong(t *testing.T) {
	f := newFixture(t, 3)
	result := make(chan error, 1)
	go func() { result <- f.call(t.Context()) }()
	for {
		select {
		case err := <-result:
			assert.Equal(t, status.Code(err), codes.Unavailable)
			return
		default:
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		if f.clock.BlockUntilContext(ctx, 1) == nil {
			for _, a := range members[:3] {
				f.receiveHello(a, "", 1)
			}
			f.clock.Advance(retryInterval)
		}
		cancel()
	}
}

// Guards against waiting for the response of a failed leader after the next one is known.
func TestCallToLostLeaderIsRetried(t *testing.T) {
	f := newFixture(t, 5)
	f.receiveHello(members[0], members[0], 2)
	f.responses = append(f.responses, hang, succeed)
	result := make(chan error, 1)
	entered := make(chan struct{})
	hanging := f.responses[0]
	f.responses[0] = func(ctx context.Context) error {
		close(entered)
		return hanging(ctx)
	}
	go func() { result <- f.call(t.Context()) }()
	<-entered
	f.receiveHello(members[1], members[1], 3)
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 1))
	f.clock.Advance(retryInterval)
	assert.NilError(t, <-result)
	assert.DeepEqual(t, f.calledLeaders, []string{members[0], members[1]})
}

// Guards against failing a call that may have been executed, because no quorum responds
// for a moment. The leader can determine its outcome once connections are replaced.
func TestUncertainCallOutlastsLostConnections(t *testing.T) {
	f := newFixture(t, 5)
	f.receiveHello(members[0], members[0], 2)
	loseConnections := func(context.Context) error {
		f.lose(members)
		return status.Error(codes.DeadlineExceeded, "no response")
	}
	f.responses = append(f.responses, loseConnections, succeed)
	result := make(chan error, 1)
	go func() { result <- f.call(t.Context()) }()
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 1))
	f.clock.Advance(retryInterval)
	assert.NilError(t, <-result)
}
