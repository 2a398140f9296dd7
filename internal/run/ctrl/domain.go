// This file defines how a control replica drains and restores failure domains.

package ctrl

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

var (
	domainsDrained  = metrics.NewCounter("sycamoredeck_failure_domains_drained_total")
	domainsRestored = metrics.NewCounter("sycamoredeck_failure_domains_restored_total")
)

// DrainDomain commits the draining or restoration of a failure domain. A repeated request
// is acknowledged without effect.
func (s *workService) DrainDomain(ctx context.Context, r *wire.DrainDomainRequest) (*wire.DrainDomainResponse, error) {
	if err := graph.CheckDomain(r.FailureDomain); err != nil {
		return &wire.DrainDomainResponse{Answer: wire.WorkAnswer_WORK_ANSWER_INVALID, Reason: err.Error()}, nil
	}
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	response := &wire.DrainDomainResponse{Answer: wire.WorkAnswer_WORK_ANSWER_DONE}
	unchanged := false
	err := s.read(ctx, func() {
		g := s.machine.Graph()
		unchanged = g.Drained(r.FailureDomain) != r.Restore
		for _, d := range g.Domains() {
			if d.FailureDomain == r.FailureDomain {
				response.Agents = d.Agents
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if unchanged {
		s.logger.Info("failure domain unchanged", "domain", r.FailureDomain, "drained", !r.Restore)
		return response, nil
	}
	command := &wire.DrainDomain{FailureDomain: r.FailureDomain, Restore: r.Restore}
	result, err := s.commit(ctx, &wire.WorkCommand{Body: &wire.WorkCommand_DrainDomain{DrainDomain: command}})
	if err != nil {
		s.logger.Info("failure domain change not confirmed", "domain", r.FailureDomain, "drained", !r.Restore, "error", err)
		return nil, err
	}
	if result.Err != nil {
		response.Answer, response.Reason = answerForError(result.Err), result.Err.Error()
		return response, nil
	}
	if r.Restore {
		domainsRestored.Inc()
	} else {
		domainsDrained.Inc()
	}
	s.logger.Info("failure domain changed", "domain", r.FailureDomain, "drained", !r.Restore, "agents", response.Agents)
	return response, nil
}

// ListDomains returns the failure domains that have agents or are drained.
func (s *workService) ListDomains(ctx context.Context, _ *wire.ListDomainsRequest) (*wire.ListDomainsResponse, error) {
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	response := &wire.ListDomainsResponse{}
	err := s.read(ctx, func() { response.Domains = s.machine.Graph().Domains() })
	return response, err
}
