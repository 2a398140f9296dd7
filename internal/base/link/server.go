// This file defines how the system's processes serve gRPC.

package link

import (
	"strings"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/stats"
)

// ReadyService is the name under which the health service tells whether the
// process is ready for callers. The empty name tells that it lives.
const ReadyService = "ready"

// tracedServices are those whose calls are a hop of a request. Heartbeats and
// pings are not: a span for each would be most of all spans.
var tracedServices = []string{"CallerService", "JobService", "OperatorService", "Dispatch"}

func isHop(info *stats.RPCTagInfo) bool {
	for _, s := range tracedServices {
		if strings.Contains(info.FullMethodName, s) {
			return true
		}
	}
	return false
}

// NewServer returns a server that answers pings and takes messages of at most
// maxBytes. Traced makes its calls hops of traces. ReadyService's status in the
// health service is for balancers that ask by gRPC.
func NewServer(maxBytes int, traced bool) (*grpc.Server, *health.Server) {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
	}
	if traced {
		options = append(options, grpc.StatsHandler(otelgrpc.NewServerHandler(otelgrpc.WithFilter(isHop))))
	}
	s := grpc.NewServer(options...)
	h := health.NewServer()
	h.SetServingStatus(ReadyService, healthpb.HealthCheckResponse_NOT_SERVING)
	healthpb.RegisterHealthServer(s, h)
	return s, h
}
