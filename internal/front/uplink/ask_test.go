// This file defines the tests of how the leader is asked while there may be none.

package uplink

import (
	"context"
	"io"
	"log/slog"
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

// fixture is an uplink that knows five voters, of which the first answering ones
// were just heard, and the call that is made with it.
type fixture struct {
	uplink        *Uplink
	clock         *clockwork.FakeClock
	calledLeaders []string
	// responses are what the call comes to, one for each try.
	responses []func(context.Context) error
}

var voters = []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"}

func newFixture(t *testing.T, answering int) *fixture {
	o := &fixture{clock: clockwork.NewFakeClock()}
	pool := &link.Pool{}
	t.Cleanup(pool.Close)
	o.uplink = New(Options{
		Clock: o.clock, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Pool: pool,
		Self: &wire.EntryStatus{EntryId: "e"}, OnEntriesChanged: func([]string) {},
	})
	for i, address := range voters {
		o.receiveHello(address, "", 1)
		if i >= answering {
			o.uplink.recordFailure(address)
			o.uplink.recordFailure(address)
		}
	}
	return o
}

// receiveHello has a replica tell who leads.
func (f *fixture) receiveHello(from, leader string, term uint64) {
	r := &wire.HelloResponse{LeaderAddress: leader, Term: term}
	for _, address := range voters {
		r.Members = append(r.Members, &wire.ControlMember{Address: address, Voter: true})
	}
	f.uplink.recordHello(from, r)
}

func (f *fixture) call(ctx context.Context) error {
	_, err := CallLeader(ctx, f.uplink, 0, func(ctx context.Context, _ *grpc.ClientConn, _ int) (int, error) {
		f.calledLeaders = append(f.calledLeaders, f.uplink.LeaderAddress())
		answer := f.responses[0]
		f.responses = f.responses[1:]
		return 0, answer(ctx)
	})
	return err
}

func succeed(context.Context) error { return nil }

// hang is a leader without power: it never answers.
func hang(ctx context.Context) error {
	<-ctx.Done()
	return status.FromContextError(ctx.Err()).Err()
}

// Symptom: callers wait for 1.5 s and are refused then, again and again, through an
// outage of seconds. Sequence: most replicas lose power; entries hear it at once,
// and let each call wait for a leader. Cause: that a leader may be elected was
// taken for granted. The clock stands still here: a call that waited would wait
// for ever.
func TestRefusedAtOnceWithoutAQuorum(t *testing.T) {
	o := newFixture(t, 2)
	err := o.call(t.Context())
	assert.Equal(t, status.Code(err), codes.Unavailable, "%v", err)
	assert.Equal(t, len(o.calledLeaders), 0)
}

// While replicas that can elect a leader answer, a call waits for it.
func TestWaitsForAnElection(t *testing.T) {
	o := newFixture(t, 3)
	o.responses = append(o.responses, succeed)
	result := make(chan error, 1)
	go func() { result <- o.call(t.Context()) }()
	assert.NilError(t, o.clock.BlockUntilContext(t.Context(), 1))
	o.receiveHello(voters[0], voters[0], 2)
	o.clock.Advance(retryInterval)
	assert.NilError(t, <-result)
}

// An election that takes too long is no reason to hold a caller back.
func TestRefusedWhenAnElectionTakesLong(t *testing.T) {
	o := newFixture(t, 3)
	result := make(chan error, 1)
	go func() { result <- o.call(t.Context()) }()
	for {
		select {
		case err := <-result:
			assert.Equal(t, status.Code(err), codes.Unavailable)
			return
		default:
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		if o.clock.BlockUntilContext(ctx, 1) == nil {
			for _, address := range voters[:3] {
				o.receiveHello(address, "", 1)
			}
			o.clock.Advance(retryInterval)
		}
		cancel()
	}
}

// Symptom: a caller is told that the outcome of its request is unknown, seconds
// after the next leader was elected. Sequence: the leader loses power with a
// request under way; the entry waits on that connection until its own time is up.
// Cause: that another leader was known ended no call to the one before.
func TestCallToALostLeaderMovesOn(t *testing.T) {
	o := newFixture(t, 5)
	o.receiveHello(voters[0], voters[0], 2)
	o.responses = append(o.responses, hang, succeed)
	result := make(chan error, 1)
	entered := make(chan struct{})
	lost := o.responses[0]
	o.responses[0] = func(ctx context.Context) error {
		close(entered)
		return lost(ctx)
	}
	go func() { result <- o.call(t.Context()) }()
	<-entered
	o.receiveHello(voters[1], voters[1], 3)
	assert.NilError(t, o.clock.BlockUntilContext(t.Context(), 1))
	o.clock.Advance(retryInterval)
	assert.NilError(t, <-result)
	assert.DeepEqual(t, o.calledLeaders, []string{voters[0], voters[1]})
}

// Symptom: a caller is told that the outcome of its job is unknown, though its time
// isn't up and all replicas are well. Sequence: all connections go silent; a call
// under way ends without an answer, and hellos fail until the connections are
// replaced. Cause: that no quorum answered for a moment ended the call, which the
// leader could have settled a second later.
func TestUncertainCallOutlastsSilentConnections(t *testing.T) {
	o := newFixture(t, 5)
	o.receiveHello(voters[0], voters[0], 2)
	silenced := func(context.Context) error {
		for _, address := range voters {
			o.uplink.recordFailure(address)
			o.uplink.recordFailure(address)
		}
		return status.Error(codes.DeadlineExceeded, "silent")
	}
	o.responses = append(o.responses, silenced, succeed)
	result := make(chan error, 1)
	go func() { result <- o.call(t.Context()) }()
	assert.NilError(t, o.clock.BlockUntilContext(t.Context(), 1))
	o.clock.Advance(retryInterval)
	assert.NilError(t, <-result)
}
