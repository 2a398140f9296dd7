// This file defines NewServer, which creates the gRPC server of a process.

package link

import (
	"strings"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/stats"
)

// ReadyService is the name under which the health service reports readiness for
// callers. The empty name reports liveness.
const ReadyService = "ready"

// tracedServices are the services whose calls are traced. Heartbeats and pings are
// excluded, since they would make up most spans.
var tracedServices = []string{"CallerService", "JobService", "OperatorService", "Dispatch"}

func isTraced(info *stats.RPCTagInfo) bool {
	for _, s := range tracedServices {
		if strings.Contains(info.FullMethodName, s) {
			return true
		}
	}
	return false
}

// NewServer returns a server that answers pings and accepts messages of at most
// maxBytes, and its health service. If traced is set, calls get spans. ReadyService is
// not serving until the caller changes its status.
func NewServer(maxBytes int, traced bool, options ...grpc.ServerOption) (*grpc.Server, *health.Server) {
	options = append(options, grpc.MaxRecvMsgSize(maxBytes), grpc.MaxSendMsgSize(MaxMessageBytes))
	if traced {
		options = append(options, grpc.StatsHandler(otelgrpc.NewServerHandler(otelgrpc.WithFilter(isTraced))))
	}
	s := grpc.NewServer(options...)
	h := health.NewServer()
	h.SetServingStatus(ReadyService, healthpb.HealthCheckResponse_NOT_SERVING)
	healthpb.RegisterHealthServer(s, h)
	return s, h
}
