// This file defines how an entry forwards WorkService calls to the leader.

package entry

import (
	"context"
	"errors"
	"path"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"sycamoredeck.example/internal/front/proxy"
	"sycamoredeck.example/internal/front/uplink"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

var (
	workAnswered   = metrics.NewCounter(`sycamoredeck_work_requests_total{outcome="answered"}`)
	workUnanswered = metrics.NewCounter(`sycamoredeck_work_requests_total{outcome="unanswered"}`)
	workSeconds    = metrics.NewHistogram("sycamoredeck_work_request_seconds")
	// workNotAtFollower counts inspections of counts that no follower answered; the leader is
	// asked then.
	workNotAtFollower = metrics.NewCounter("sycamoredeck_work_inspections_at_leader_total")
)

// followerTimeout is the time limit for a follower's answer. It leaves time to ask another
// replica.
const followerTimeout = 400 * time.Millisecond

var errNoFollower = errors.New("entry: no follower responds")

// workService implements WorkService for gRPC clients.
type workService struct {
	wire.UnimplementedWorkServiceServer
	leader proxy.Leader
}

// inspectFunc inspects work at some replica.
type inspectFunc func(context.Context, *wire.InspectWorkRequest) (*wire.InspectWorkResponse, error)

var _ wire.WorkServiceServer = (*workService)(nil)

// SubmitWork forwards the call to the leader.
func (s *workService) SubmitWork(ctx context.Context, r *wire.SubmitWorkRequest) (*wire.SubmitWorkResponse, error) {
	return s.leader.Submit(ctx, r)
}

// InspectWork forwards the call to the leader.
func (s *workService) InspectWork(ctx context.Context, r *wire.InspectWorkRequest) (*wire.InspectWorkResponse, error) {
	return s.leader.Inspect(ctx, r)
}

// CancelWork forwards the call to the leader.
func (s *workService) CancelWork(ctx context.Context, r *wire.CancelWorkRequest) (*wire.CancelWorkResponse, error) {
	return s.leader.Cancel(ctx, r)
}

// PutCatalog forwards the call to the leader.
func (s *workService) PutCatalog(ctx context.Context, r *wire.PutCatalogRequest) (*wire.PutCatalogResponse, error) {
	return s.leader.PutCatalog(ctx, r)
}

// GetCatalog forwards the call to the leader.
func (s *workService) GetCatalog(ctx context.Context, r *wire.GetCatalogRequest) (*wire.GetCatalogResponse, error) {
	return s.leader.GetCatalog(ctx, r)
}

// DrainDomain forwards the call to the leader.
func (s *workService) DrainDomain(ctx context.Context, r *wire.DrainDomainRequest) (*wire.DrainDomainResponse, error) {
	return s.leader.Drain(ctx, r)
}

// ListDomains forwards the call to the leader.
func (s *workService) ListDomains(ctx context.Context, r *wire.ListDomainsRequest) (*wire.ListDomainsResponse, error) {
	return s.leader.Domains(ctx, r)
}

// ExplainWork forwards the call to the leader.
func (s *workService) ExplainWork(ctx context.Context, r *wire.ExplainWorkRequest) (*wire.ExplainWorkResponse, error) {
	return s.leader.Explain(ctx, r)
}

// GetCapacity forwards the call to the leader.
func (s *workService) GetCapacity(ctx context.Context, r *wire.GetCapacityRequest) (*wire.GetCapacityResponse, error) {
	return s.leader.Capacity(ctx, r)
}

// leaderProxy returns a proxy that calls the leader across leader changes. It logs each
// submission and cancellation, and each inspection that isn't answered.
func (e *Entry) leaderProxy() proxy.Leader {
	p := proxy.WithRetry(func(ctx context.Context, once func(context.Context, proxy.Conn) error) error {
		return e.callLeader(ctx, &uplink.Call{}, once)
	})
	inspect := proxy.WithRetry(func(ctx context.Context, once func(context.Context, proxy.Conn) error) error {
		return e.callLeader(ctx, &uplink.Call{AdviseRetry: e.features[adaptiveRetryAfter]}, once)
	}).Inspect
	submit, cancel := e.submit, e.cancel
	p.Submit = func(ctx context.Context, r *wire.SubmitWorkRequest) (*wire.SubmitWorkResponse, error) {
		startedAt := e.clock.Now()
		response, err := submit(ctx, r)
		e.recordWork("submit", r.Target, response.GetAnswer(), startedAt, err)
		return response, err
	}
	p.Cancel = func(ctx context.Context, r *wire.CancelWorkRequest) (*wire.CancelWorkResponse, error) {
		startedAt := e.clock.Now()
		response, err := cancel(ctx, r)
		e.recordWork("cancel", r.Target, response.GetAnswer(), startedAt, err)
		return response, err
	}
	p.Inspect = func(ctx context.Context, r *wire.InspectWorkRequest) (*wire.InspectWorkResponse, error) {
		startedAt := e.clock.Now()
		response, err := e.inspect(ctx, r, inspect)
		if err != nil {
			e.recordWork("inspect", r.Target, response.GetAnswer(), startedAt, err)
		}
		return response, err
	}
	return p
}

// callLeader makes a call to the leader through once, possibly several times.
func (e *Entry) callLeader(ctx context.Context, call *uplink.Call, once func(context.Context, proxy.Conn) error) error {
	_, err := uplink.CallLeaderWith(ctx, e.uplink, call, struct{}{}, func(ctx context.Context, conn *grpc.ClientConn, _ struct{}) (struct{}, error) {
		return struct{}{}, once(ctx, conn)
	})
	return err
}

// changingCall returns the options of a call that changes a job.
func (e *Entry) changingCall() *uplink.Call {
	return &uplink.Call{Probe: e.features[probeBeforeSend], AdviseRetry: e.features[adaptiveRetryAfter]}
}

// submit submits a job to the leader. A refusal counts only if no earlier attempt may have
// been executed: one that was delayed on its way could be accepted after the refusal.
func (e *Entry) submit(ctx context.Context, r *wire.SubmitWorkRequest) (response *wire.SubmitWorkResponse, err error) {
	call := e.changingCall()
	err = e.callLeader(ctx, call, func(ctx context.Context, conn proxy.Conn) error {
		response, err = wire.NewWorkServiceClient(conn).SubmitWork(ctx, r)
		return err
	})
	if err == nil && refusalUncertain(response.Answer, call.Uncertain) {
		return nil, uplink.OutcomeUnknown("refused after an attempt that was not answered")
	}
	return response, err
}

// refusalUncertain reports whether an answer is a refusal that an attempt with an unknown
// outcome may contradict.
func refusalUncertain(answer wire.WorkAnswer, uncertain bool) bool {
	return uncertain && answer == wire.WorkAnswer_WORK_ANSWER_OVERLOADED
}

func (e *Entry) cancel(ctx context.Context, r *wire.CancelWorkRequest) (response *wire.CancelWorkResponse, err error) {
	err = e.callLeader(ctx, e.changingCall(), func(ctx context.Context, conn proxy.Conn) error {
		response, err = wire.NewWorkServiceClient(conn).CancelWork(ctx, r)
		return err
	})
	return response, err
}

// inspect returns the state of a job from the leader, or a queue's pending jobs from a
// follower if one answers. A follower answers some milliseconds later, as it has to write
// the log to its disk first, and clients wait for the states of their jobs. Counts are
// inspected by all entries at once, which would keep the leader from its work.
func (e *Entry) inspect(ctx context.Context, r *wire.InspectWorkRequest, atLeader inspectFunc) (*wire.InspectWorkResponse, error) {
	if namesJob(r.Target) {
		return atLeader(ctx, r)
	}
	response, err := e.inspectAtFollowers(ctx, r)
	if err != nil {
		workNotAtFollower.Inc()
		response, err = atLeader(ctx, r)
	}
	return response, err
}

// namesJob reports whether the path of a target ends with the id of a job.
func namesJob(target *wire.WorkTarget) bool {
	return graph.CheckID(path.Base(target.GetPath())) == nil
}

// inspectAtFollowers inspects work at replicas other than the leader, which has enough to
// do.
func (e *Entry) inspectAtFollowers(ctx context.Context, r *wire.InspectWorkRequest) (*wire.InspectWorkResponse, error) {
	return askFollowers(e.uplink.Followers(), func(address string) (*wire.InspectWorkResponse, error) {
		response, err := e.inspectAt(ctx, address, r)
		if err != nil && ctx.Err() == nil {
			e.uplink.RecordFollowerFailure(address, err)
		}
		return response, err
	})
}

// askFollowers returns the first answer of the given followers. It asks the next one if one
// doesn't answer: that one may be busy, and so may the leader be then.
func askFollowers[R any](followers []string, ask func(address string) (R, error)) (R, error) {
	var response R
	err := errNoFollower
	for _, address := range followers {
		if response, err = ask(address); err == nil {
			break
		}
	}
	return response, err
}

func (e *Entry) inspectAt(ctx context.Context, address string, r *wire.InspectWorkRequest) (*wire.InspectWorkResponse, error) {
	conn, err := e.pool.Conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, followerTimeout)
	defer cancel()
	return wire.NewWorkServiceClient(conn).InspectWork(ctx, r)
}

// recordWork records the metrics and the log line of a request.
func (e *Entry) recordWork(call string, target *wire.WorkTarget, answer wire.WorkAnswer, startedAt time.Time, err error) {
	duration := e.clock.Now().Sub(startedAt)
	workSeconds.Update(duration.Seconds())
	if err != nil {
		workUnanswered.Inc()
		e.logger.Warn("work request unanswered", "call", call, "host", target.Host, "path", target.Path, "code", status.Code(err).String(),
			"error", status.Convert(err).Message(), "took_ms", duration.Milliseconds(), "leader", e.uplink.LeaderAddress())
		return
	}
	workAnswered.Inc()
	e.logger.Info("work request answered", "call", call, "host", target.Host, "path", target.Path, "answer", answer.String(),
		"took_ms", duration.Milliseconds(), "leader", e.uplink.LeaderAddress())
}
