// This file defines the tests of submissions that the leader refuses.

package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/front/uplink"
	"sycamoredeck.example/internal/schema/wire"
)

// refusingLeader fails the first attempts of a submission and refuses the next one.
type refusingLeader struct {
	wire.UnimplementedControlServiceServer
	wire.UnimplementedWorkServiceServer
	address string
	errs    []error
}

func (l *refusingLeader) Hello(context.Context, *wire.HelloRequest) (*wire.HelloResponse, error) {
	return &wire.HelloResponse{LeaderAddress: l.address, Term: 1, Members: []*wire.ControlMember{{Address: l.address, Voter: true}}}, nil
}

func (l *refusingLeader) SubmitWork(context.Context, *wire.SubmitWorkRequest) (*wire.SubmitWorkResponse, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	return &wire.SubmitWorkResponse{Answer: wire.WorkAnswer_WORK_ANSWER_OVERLOADED}, nil
}

// Guards against telling a caller that a job was refused while an earlier attempt may still arrive
// and be accepted.
func TestRefusalAfterUnansweredAttemptIsUnknown(t *testing.T) {
	cases := []struct {
		name string
		errs []error
		want codes.Code
	}{
		{"first attempt", nil, codes.OK},
		{"after one that was not executed", []error{status.Error(codes.Unavailable, uplink.NotExecuted+"not the leader")}, codes.OK},
		{"after one that may have been executed", []error{status.Error(codes.DeadlineExceeded, "no answer")}, codes.Aborted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			l := &refusingLeader{address: listener.Addr().String(), errs: c.errs}
			server := grpc.NewServer()
			wire.RegisterControlServiceServer(server, l)
			wire.RegisterWorkServiceServer(server, l)
			go server.Serve(listener)
			t.Cleanup(server.Stop)
			pool := &link.Pool{}
			t.Cleanup(pool.Close)
			e := &Entry{uplink: uplink.New(uplink.Options{
				Clock: clockwork.NewRealClock(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Pool: pool, Addresses: []string{l.address},
				Self: &wire.EntryStatus{EntryId: "e"}, OnEntriesChanged: func([]string) {},
			})}
			go e.uplink.Run(t.Context())
			for e.uplink.LeaderAddress() == "" {
				time.Sleep(time.Millisecond)
			}
			_, err = e.submit(t.Context(), &wire.SubmitWorkRequest{})
			assert.Equal(t, status.Code(err), c.want, "%v", err)
		})
	}
}
