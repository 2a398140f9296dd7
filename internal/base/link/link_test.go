// This file defines the tests of how a link checks its connection.

package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// countingServer answers hellos and counts pings.
type countingServer struct {
	wire.UnimplementedControlServiceServer
	healthpb.UnimplementedHealthServer
	pings atomic.Int32
}

func (s *countingServer) Hello(context.Context, *wire.HelloRequest) (*wire.HelloResponse, error) {
	return &wire.HelloResponse{}, nil
}

func (s *countingServer) Check(context.Context, *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	s.pings.Add(1)
	return &healthpb.HealthCheckResponse{Status: healthpb.HealthCheckResponse_SERVING}, nil
}

// connectToCounting starts a server and returns it with a link to it that isn't watched.
func connectToCounting(t *testing.T) (*countingServer, *Link) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counting := &countingServer{}
	server := grpc.NewServer()
	wire.RegisterControlServiceServer(server, counting)
	healthpb.RegisterHealthServer(server, counting)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	l := &Link{address: listener.Addr().String()}
	l.conn, err = l.connect()
	assert.NilError(t, err)
	t.Cleanup(func() { l.conn.Close() })
	return counting, l
}

// Guards against pings on connections in use, which grow with the product of both sides' processes.
func TestAnsweredCallsReplacePings(t *testing.T) {
	server, l := connectToCounting(t)
	check := func(wantPings int32) {
		t.Helper()
		assert.Assert(t, l.alive(t.Context()))
		assert.Equal(t, server.pings.Load(), wantPings)
	}
	check(1)
	_, err := wire.NewControlServiceClient(l.conn).Hello(t.Context(), &wire.HelloRequest{})
	assert.NilError(t, err)
	check(1) // the hello was answered
	check(2)
	check(3) // a ping doesn't replace the next one
}

// Guards against taking a call that failed for a sign that the connection works.
func TestFailedCallsDontReplacePings(t *testing.T) {
	server, l := connectToCounting(t)
	_, err := wire.NewControlServiceClient(l.conn).FetchConfiguration(t.Context(), &wire.FetchConfigurationRequest{})
	assert.Assert(t, err != nil)
	assert.Assert(t, l.alive(t.Context()))
	assert.Equal(t, server.pings.Load(), int32(1))
}
