// This file defines how a control replica takes heartbeats of agents.

package ctrl

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/front/desk"
	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/node"
)

// desk answers here while this replica leads, and asks the leader otherwise.
func (c *Control) desk() desk.Desk {
	local := &workService{Control: c}
	remote := desk.Remote(func() (desk.Conn, error) {
		leader := c.view.Load().leader
		if leader == "" || leader == c.self.Address {
			return nil, status.Error(codes.Unavailable, notExecuted+"no control leader is known")
		}
		return c.pool.Conn(leader)
	})
	d := desk.Choose(func() bool { return c.view.Load().isLeader }, desk.Local(local), remote)
	toLeader := d.Report
	d.Report = func(ctx context.Context, r *wire.ReportAgentRequest) (*wire.ReportAgentResponse, error) {
		if c.isRedundant(ctx, r) {
			return c.reportResponse(), nil
		}
		if _, err := toLeader(ctx, r); err != nil {
			return nil, err
		}
		return c.reportResponse(), nil
	}
	return d
}

// reportResponse is the answer to a heartbeat that was taken. Later ones are best sent to
// the same replica, whichever it is: if all went to the leader, those of 1,800 agents
// took 1,640 calls a second and as many connections of its.
func (c *Control) reportResponse() *wire.ReportAgentResponse {
	return &wire.ReportAgentResponse{ReportAddress: c.settings.GetWeb().GetWebAddress()}
}

// isRedundant tells, on a replica that doesn't lead, whether a heartbeat says no more
// than what is committed. The leader then has nothing to learn from it, since it reads
// the same log; whether the agent is there it finds out by its leases.
func (c *Control) isRedundant(ctx context.Context, r *wire.ReportAgentRequest) bool {
	if c.view.Load().isLeader {
		return false
	}
	known := false
	err := c.node.Do(ctx, func() { known = c.engine.IsRedundant(r) })
	return err == nil && known
}

// ReportAgent takes a heartbeat.
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
		if errors.Is(err, drive.ErrNotLeader) {
			err = node.ErrNotLeader
		}
		if err != nil {
			return nil, statusError(err)
		}
		return s.reportResponse(), nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}
