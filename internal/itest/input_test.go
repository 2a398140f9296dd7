// This file tests invalid requests, exit codes and tracing.

package itest

import (
	"context"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Checks that requests with one invalid field are refused with its name.
func TestMalformedRequests(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.configure()
	caller := wire.NewCallerServiceClient(c.connTo("entry-0"))
	jobs := wire.NewJobServiceClient(c.connTo("entry-0"))
	call := func(change func(*wire.CallRequest)) func(context.Context) error {
		r := &wire.CallRequest{RequestId: "r", ClientAccount: "acct", Service: "svc"}
		change(r)
		return func(ctx context.Context) error { _, err := caller.Call(ctx, r); return err }
	}
	submit := func(r *wire.SubmitRequest) func(context.Context) error {
		return func(ctx context.Context) error { _, err := jobs.Submit(ctx, r); return err }
	}
	cases := []struct {
		field string
		send  func(context.Context) error
		want  codes.Code
	}{
		{"RequestId", call(func(r *wire.CallRequest) { r.RequestId = "" }), codes.InvalidArgument},
		{"RequestId", call(func(r *wire.CallRequest) { r.RequestId = "a\r\nX-Evil: 1" }), codes.InvalidArgument},
		{"ClientAccount", call(func(r *wire.CallRequest) { r.ClientAccount = "Not A Name" }), codes.InvalidArgument},
		{"ClientAccount", call(func(r *wire.CallRequest) { r.ClientAccount = "nobody" }), codes.NotFound},
		{"Service", call(func(r *wire.CallRequest) { r.Service = "nothing" }), codes.NotFound},
		{"Timeout", call(func(r *wire.CallRequest) { r.Timeout = durationpb.New(-1) }), codes.InvalidArgument},
		{"Payload", call(func(r *wire.CallRequest) { r.Payload = make([]byte, 1<<20+1) }), codes.InvalidArgument},
		{"larger than max", call(func(r *wire.CallRequest) { r.Payload = make([]byte, 3<<20) }), codes.ResourceExhausted},
		{"IdempotencyKey", submit(&wire.SubmitRequest{}), codes.InvalidArgument},
		{"Spec", submit(&wire.SubmitRequest{IdempotencyKey: "k"}), codes.InvalidArgument},
		{"job kind", submit(&wire.SubmitRequest{IdempotencyKey: "k", Spec: &wire.JobSpec{ClientAccount: "acct", JobKind: "x"}}), codes.FailedPrecondition},
		{"no such job", func(ctx context.Context) error {
			_, err := jobs.Get(ctx, &wire.GetRequest{JobId: "x"})
			return err
		}, codes.NotFound},
	}
	for _, k := range cases {
		t.Run(k.field, func(t *testing.T) {
			ctx, cancel := c.context()
			defer cancel()
			err := k.send(ctx)
			assert.Equal(t, status.Code(err), k.want, "%v", err)
			assert.ErrorContains(t, err, k.field)
		})
	}
}

// Checks that invalid announcements and reports are refused and have no effect on others.
func TestInvalidReportsAreRefused(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.configure()
	c.server("server-0")
	c.worker("worker-0")
	c.waitUsable(1)
	c.waitWorkers(1)
	ctx, cancel := c.context()
	defer cancel()
	announce, err := wire.NewAnnounceServiceClient(c.connTo("entry-0")).Announce(ctx)
	assert.NilError(t, err)
	assert.NilError(t, announce.Send(&wire.AnnounceRequest{Announcement: &wire.Announcement{BackendServerId: "server-0", Slots: 1 << 31}}))
	_, err = announce.Recv()
	assert.Equal(t, status.Code(err), codes.InvalidArgument)
	attend, err := wire.NewWorkerServiceClient(c.connTo("entry-0")).Attend(ctx)
	assert.NilError(t, err)
	assert.NilError(t, attend.Send(&wire.AttendRequest{Sequence: 1, Worker: &wire.Worker{
		WorkerId: "worker-0", Incarnation: "x", Capacity: &wire.Resources{MilliProcessors: 1 << 62, MemoryBytes: 1},
	}}))
	_, err = attend.Recv()
	assert.Equal(t, status.Code(err), codes.InvalidArgument)
	r, err := c.call("entry-0", "r", true)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, wire.Outcome_OUTCOME_COMPLETED)
	c.waitJobState(c.submit("entry-0", "k", "batch", "units=1", false), wire.JobState_JOB_STATE_FINISHED)
}

// Checks the exit codes, which scripts rely on.
func TestExitCodes(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.configure()
	c.server("server-0")
	c.waitUsable(1)
	cases := []struct {
		name, args, says string
		want             int
	}{
		{"done", "call acct svc hello --idempotent", "hello", 0},
		{"status", "status --output json", "ConfigurationVersion", 0},
		{"unknown job", "job get nonsense", "no such job", 1},
		{"bad state", "job list --state odd", "allowed", 2},
		{"bad flag", "call acct svc --nonsense", "unknown flag", 2},
		{"missing argument", "call acct", "arg", 2},
		{"unknown command", "job frobnicate", "unknown command", 2},
		{"missing setting", "entry", "--control-addresses", 2},
		{"not a name", "call Acct svc", "ClientAccount", 2},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			code, out := c.runCommand(c.listenAddress["entry-0"], strings.Fields(k.args)...)
			assert.Equal(t, code, k.want, out)
			assert.Assert(t, strings.Contains(out, k.says), out)
		})
	}
	t.Run("no listener", func(t *testing.T) {
		code, out := c.runCommand("127.0.0.1:9", "status")
		assert.Equal(t, code, 3, out)
	})
}

func (c *cluster) runCommand(entry string, args ...string) (int, string) {
	cmd := exec.Command(filepath.Join(binaries, "sycamoredeck"), args...)
	cmd.Env = []string{"SYCAMOREDECK_ENTRY=" + entry}
	out, err := cmd.CombinedOutput()
	if exit, ok := err.(*exec.ExitError); ok { //nolint:errorlint // exec returns it unwrapped
		return exit.ExitCode(), string(out)
	}
	assert.NilError(c.t, err)
	return 0, string(out)
}

// traceCollector receives spans and records their names by trace.
type traceCollector struct {
	collector.UnimplementedTraceServiceServer
	mu     sync.Mutex
	traces map[string]map[string]bool
}

// Export records the spans.
func (c *traceCollector) Export(_ context.Context, r *collector.ExportTraceServiceRequest) (*collector.ExportTraceServiceResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rs := range r.ResourceSpans {
		for _, ss := range rs.ScopeSpans {
			for _, s := range ss.Spans {
				id := string(s.TraceId)
				if c.traces[id] == nil {
					c.traces[id] = map[string]bool{}
				}
				c.traces[id][s.Name] = true
			}
		}
	}
	return &collector.ExportTraceServiceResponse{}, nil
}

// hasTrace reports whether a single trace contains all the spans.
func (c *traceCollector) hasTrace(names ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.traces {
		all := true
		for _, n := range names {
			all = all && s[n]
		}
		if all {
			return true
		}
	}
	return false
}

// Checks that a trace has spans for each hop: caller to entry, entry to backend server,
// entry to control, and the commit.
func TestTraceHasSpanForEachHop(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	sink := &traceCollector{traces: map[string]map[string]bool{}}
	receiver := grpc.NewServer()
	collector.RegisterTraceServiceServer(receiver, sink)
	go receiver.Serve(listener) //nolint:errcheck // ends with the test
	t.Cleanup(receiver.Stop)
	c := newCluster(t, 1, 1, "--trace-endpoint", listener.Addr().String(), "--trace-ratio", "1")
	c.configure()
	c.server("server-0")
	c.waitUsable(1)
	_, err = c.call("entry-0", "once-1", false)
	assert.NilError(t, err)
	c.submit("entry-0", "k", "batch", "units=1", false)
	const service = "sycamoredeck.v1."
	c.waitFor("the trace of the call is complete", func() bool {
		return sink.hasTrace(service+"CallerService/Call", "attempt", service+"ControlService/OpenDispatch", "commit")
	})
	c.waitFor("the trace of the job is complete", func() bool { return sink.hasTrace(service+"JobService/Submit", "commit") })
}
