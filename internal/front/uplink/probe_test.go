// This file defines the tests of calls to leaders that vanish without closing connections.

package uplink

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/schema/wire"
)

// vanishingServer is a leader that can lose power: from then on it reads and writes nothing, and
// closes no connection.
type vanishingServer struct {
	wire.UnimplementedWorkServiceServer
	net.Listener
	vanished  atomic.Bool
	submitted atomic.Int32
	answer    func(context.Context) error
}

type vanishingConn struct {
	net.Conn
	server *vanishingServer
}

func (s *vanishingServer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	return vanishingConn{c, s}, err
}

func (c vanishingConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.server.vanished.Load() {
			return n, err
		}
	}
}

func (s *vanishingServer) SubmitWork(ctx context.Context, _ *wire.SubmitWorkRequest) (*wire.SubmitWorkResponse, error) {
	s.submitted.Add(1)
	return &wire.SubmitWorkResponse{}, s.answer(ctx)
}

// newVanishing returns a server, and an uplink that knows it as the leader and only voter. Answers
// from before the returned clock is moved are out of date for probes.
func newVanishing(t *testing.T, answer func(context.Context) error) (*vanishingServer, *Uplink, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &vanishingServer{Listener: listener, answer: answer}
	server := grpc.NewServer()
	wire.RegisterWorkServiceServer(server, s)
	healthpb.RegisterHealthServer(server, health.NewServer())
	go server.Serve(s)
	t.Cleanup(server.Stop)
	moved := &atomic.Int64{}
	pool := &link.Pool{Options: link.Options{Now: func() time.Time { return time.Now().Add(time.Duration(moved.Load())) }}}
	t.Cleanup(pool.Close)
	u := New(Options{
		Clock: clockwork.NewRealClock(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Pool: pool,
		Self: &wire.EntryStatus{EntryId: "e"}, OnEntriesChanged: func([]string) {},
	})
	address := listener.Addr().String()
	u.recordHello(address, &wire.HelloResponse{LeaderAddress: address, Term: 1, Members: []*wire.ControlMember{{Address: address, Voter: true}}})
	return s, u, moved
}

func submit(ctx context.Context, u *Uplink, c *Call) error {
	_, err := CallLeaderWith(ctx, u, c, &wire.SubmitWorkRequest{}, func(ctx context.Context, conn *grpc.ClientConn, r *wire.SubmitWorkRequest) (*wire.SubmitWorkResponse, error) {
		return wire.NewWorkServiceClient(conn).SubmitWork(ctx, r)
	})
	return err
}

// submitFirst submits until it isn't refused. On a loaded machine a ping may not be answered in time, and
// the submission is then refused as not run.
func submitFirst(t *testing.T, u *Uplink) {
	t.Helper()
	for end := time.Now().Add(time.Minute); ; {
		err := submit(t.Context(), u, &Call{Probe: true})
		if status.Code(err) != codes.Unavailable || time.Now().After(end) {
			assert.NilError(t, err)
			return
		}
	}
}

// Guards against an unknown outcome at the end of the caller's time, where the leader had lost power
// before the request was sent.
func TestSubmissionToVanishedLeaderIsNotRun(t *testing.T) {
	cases := []struct {
		name string
		call Call
		time time.Duration
		want codes.Code
	}{
		{"with probe", Call{Probe: true, AdviseRetry: true}, time.Minute, codes.Unavailable},
		{"without probe", Call{}, 300 * time.Millisecond, codes.Aborted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, u, moved := newVanishing(t, func(context.Context) error { return nil })
			submitFirst(t, u)
			s.vanished.Store(true)
			moved.Store(int64(time.Minute))
			ctx, cancel := context.WithTimeout(t.Context(), c.time)
			defer cancel()
			errs := make(chan error)
			const callers = 20
			for range callers {
				call := c.call
				go func() { errs <- submit(ctx, u, &call) }()
			}
			for range callers {
				err := <-errs
				assert.Equal(t, status.Code(err), c.want, "%v", err)
				if c.call.AdviseRetry {
					info := status.Convert(err).Details()[0].(*errdetails.RetryInfo)
					assert.Equal(t, info.RetryDelay.AsDuration(), time.Second)
					assert.NilError(t, ctx.Err(), "refused only at the end of the caller's time")
				}
			}
			assert.Equal(t, s.submitted.Load(), int32(1))
			assert.Equal(t, u.currentOutage().Quorum, !c.call.Probe, "the loss of the quorum")
		})
	}
}

// Guards against reporting a request as not run that was written and may be executed.
func TestWrittenRequestStaysUnknown(t *testing.T) {
	s, u, _ := newVanishing(t, func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	call := &Call{Probe: true, AdviseRetry: true}
	err := submit(ctx, u, call)
	assert.Equal(t, status.Code(err), codes.Aborted, "%v", err)
	assert.Assert(t, call.Uncertain)
	assert.Assert(t, s.submitted.Load() > 0)
}

// Guards against an outage that seems to last from the first loss of a leader on, and against one
// that ends with a hello of a replica that doesn't lead any more.
func TestOutageEndsWithAnswerOfLeader(t *testing.T) {
	f := newFixture(t, 5)
	f.receiveHello(members[0], members[0], 2)
	lasted := func(want time.Duration) {
		t.Helper()
		assert.Equal(t, f.uplink.currentOutage().Lasted, want)
	}
	lasted(0)
	f.uplink.recordProbe(members[0], false)
	f.clock.Advance(time.Second)
	lasted(time.Second)
	f.receiveHello(members[1], members[0], 2)
	f.receiveHello(members[0], "", 2)
	lasted(time.Second)
	f.receiveHello(members[1], members[1], 3)
	lasted(0)
}
