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

// outage is an uplink that knows five voters, of which the first answering ones
// were just heard, and the call that is made with it.
type outage struct {
	uplink *Uplink
	clock  *clockwork.FakeClock
	asked  []string
	// answers are what the call comes to, one for each try.
	answers []func(context.Context) error
}

var voters = []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"}

func newOutage(t *testing.T, answering int) *outage {
	o := &outage{clock: clockwork.NewFakeClock()}
	pool := &link.Pool{}
	t.Cleanup(pool.Close)
	o.uplink = New(Options{
		Clock: o.clock, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Pool: pool,
		Self: &wire.EntryStatus{EntryId: "e"}, OnEntriesChanged: func([]string) {},
	})
	for i, address := range voters {
		o.hear(address, "", 1)
		if i >= answering {
			o.uplink.noteFailed(address)
			o.uplink.noteFailed(address)
		}
	}
	return o
}

// hear has a replica tell who leads.
func (o *outage) hear(from, leader string, term uint64) {
	r := &wire.HelloResponse{LeaderAddress: leader, Term: term}
	for _, address := range voters {
		r.Members = append(r.Members, &wire.ControlMember{Address: address, Voter: true})
	}
	o.uplink.note(from, r)
}

func (o *outage) ask(ctx context.Context) error {
	_, err := CallLeader(ctx, o.uplink, 0, func(ctx context.Context, _ *grpc.ClientConn, _ int) (int, error) {
		o.asked = append(o.asked, o.uplink.LeaderAddress())
		answer := o.answers[0]
		o.answers = o.answers[1:]
		return 0, answer(ctx)
	})
	return err
}

func done(context.Context) error { return nil }

// silent is a leader without power: it never answers.
func silent(ctx context.Context) error {
	<-ctx.Done()
	return status.FromContextError(ctx.Err()).Err()
}

// Symptom: callers wait for 1.5 s and are refused then, again and again, through an
// outage of seconds. Sequence: most replicas lose power; entries hear it at once,
// and let each call wait for a leader. Cause: that a leader may be elected was
// taken for granted. The clock stands still here: a call that waited would wait
// for ever.
func TestRefusedAtOnceWithoutAQuorum(t *testing.T) {
	o := newOutage(t, 2)
	err := o.ask(t.Context())
	assert.Equal(t, status.Code(err), codes.Unavailable, "%v", err)
	assert.Equal(t, len(o.asked), 0)
}

// While replicas that can elect a leader answer, a call waits for it.
func TestWaitsForAnElection(t *testing.T) {
	o := newOutage(t, 3)
	o.answers = append(o.answers, done)
	result := make(chan error, 1)
	go func() { result <- o.ask(t.Context()) }()
	assert.NilError(t, o.clock.BlockUntilContext(t.Context(), 1))
	o.hear(voters[0], voters[0], 2)
	o.clock.Advance(retryPause)
	assert.NilError(t, <-result)
}

// An election that takes too long is no reason to hold a caller back.
func TestRefusedWhenAnElectionTakesLong(t *testing.T) {
	o := newOutage(t, 3)
	result := make(chan error, 1)
	go func() { result <- o.ask(t.Context()) }()
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
				o.hear(address, "", 1)
			}
			o.clock.Advance(retryPause)
		}
		cancel()
	}
}

// Symptom: a caller is told that the outcome of its request is unknown, seconds
// after the next leader was elected. Sequence: the leader loses power with a
// request under way; the entry waits on that connection until its own time is up.
// Cause: that another leader was known ended no call to the one before.
func TestCallToALostLeaderMovesOn(t *testing.T) {
	o := newOutage(t, 5)
	o.hear(voters[0], voters[0], 2)
	o.answers = append(o.answers, silent, done)
	result := make(chan error, 1)
	entered := make(chan struct{})
	lost := o.answers[0]
	o.answers[0] = func(ctx context.Context) error {
		close(entered)
		return lost(ctx)
	}
	go func() { result <- o.ask(t.Context()) }()
	<-entered
	o.hear(voters[1], voters[1], 3)
	assert.NilError(t, o.clock.BlockUntilContext(t.Context(), 1))
	o.clock.Advance(retryPause)
	assert.NilError(t, <-result)
	assert.DeepEqual(t, o.asked, []string{voters[0], voters[1]})
}

// Symptom: a caller is told that the outcome of its job is unknown, though its time
// isn't up and all replicas are well. Sequence: all connections go silent; a call
// under way ends without an answer, and hellos fail until the connections are
// replaced. Cause: that no quorum answered for a moment ended the call, which the
// leader could have settled a second later.
func TestUncertainCallOutlastsSilentConnections(t *testing.T) {
	o := newOutage(t, 5)
	o.hear(voters[0], voters[0], 2)
	silenced := func(context.Context) error {
		for _, address := range voters {
			o.uplink.noteFailed(address)
			o.uplink.noteFailed(address)
		}
		return status.Error(codes.DeadlineExceeded, "silent")
	}
	o.answers = append(o.answers, silenced, done)
	result := make(chan error, 1)
	go func() { result <- o.ask(t.Context()) }()
	assert.NilError(t, o.clock.BlockUntilContext(t.Context(), 1))
	o.clock.Advance(retryPause)
	assert.NilError(t, <-result)
}
