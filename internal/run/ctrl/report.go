// This file defines how a control replica handles the heartbeats of agents.

package ctrl

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/front/proxy"
	"sycamoredeck.example/internal/front/uplink"
	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/node"
)

// registrationRetryDelay is when an agent that found no memory should report again.
const registrationRetryDelay = 5 * time.Second

// leaderProxy returns a proxy that handles calls locally while this replica is the leader, and
// forwards them to the leader otherwise.
func (c *Control) leaderProxy() proxy.Leader {
	local := &workService{Control: c}
	remote := proxy.Remote(func() (proxy.Conn, error) {
		leader := c.view.Load().leader
		if leader == "" || leader == c.self.Address {
			return nil, status.Error(codes.Unavailable, notExecuted+"no control leader is known")
		}
		return c.pool.Conn(leader)
	})
	p := proxy.Choose(func() bool { return c.view.Load().isLeader }, proxy.Local(local), remote)
	report := p.Report
	p.Report = func(ctx context.Context, r *wire.ReportAgentRequest) (*wire.ReportAgentResponse, error) {
		if c.isRedundant(ctx, r) {
			return c.reportResponse(), nil
		}
		if _, err := report(ctx, r); err != nil {
			return nil, err
		}
		return c.reportResponse(), nil
	}
	return p
}

// reportResponse returns the response to an accepted heartbeat. It directs the agent's next
// heartbeats to this replica, leader or not, so that they don't all load the leader.
func (c *Control) reportResponse() *wire.ReportAgentResponse {
	return &wire.ReportAgentResponse{ReportAddress: c.settings.GetWeb().GetWebAddress()}
}

// isRedundant reports whether this replica is a follower and a heartbeat contains nothing
// beyond the committed state. The leader doesn't need such a heartbeat: it has the same
// state and detects the loss of the agent by its lease.
func (c *Control) isRedundant(ctx context.Context, r *wire.ReportAgentRequest) bool {
	if c.view.Load().isLeader {
		return false
	}
	redundant := false
	err := c.node.Do(ctx, func() { redundant = c.engine.IsRedundant(r) })
	return err == nil && redundant
}

// ReportAgent handles a heartbeat on the leader.
func (s *workService) ReportAgent(ctx context.Context, r *wire.ReportAgentRequest) (*wire.ReportAgentResponse, error) {
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	if !s.node.Post(func() { s.engine.HandleReport(boot.Now(), r, func(err error) { done <- err }) }) {
		return nil, statusError(node.ErrStopped)
	}
	select {
	case err := <-done:
		switch {
		case errors.Is(err, drive.ErrNotLeader):
			err = node.ErrNotLeader
		case errors.Is(err, drive.ErrTooManyAgents):
			return nil, uplink.Refused(err.Error(), registrationRetryDelay)
		case errors.Is(err, drive.ErrNotRecorded):
			return nil, status.Error(codes.Unavailable, notExecuted+err.Error())
		}
		if err != nil {
			return nil, statusError(err)
		}
		return s.reportResponse(), nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}
