// This file defines the tests of the lease expiries of unreachable agents.

package graph

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

func leaseExpiryCommand(id string, expiresIn *durationpb.Duration) *wire.WorkCommand {
	return &wire.WorkCommand{Body: &wire.WorkCommand_SilentAgents{SilentAgents: &wire.SilentAgents{
		Agents: []*wire.SilentAgent{{Id: id, LapsesIn: expiresIn}},
	}}}
}

// Guards against a replica that treats a lease as expired too early: each replica counts
// from when it applied or loaded the record, whatever its clock shows.
func TestLeaseExpiryCountsFromLocalApply(t *testing.T) {
	now := 100 * time.Second
	boot := func() time.Duration { return now }
	g := newTestGraph(t, &wire.Step{Count: 1})
	g.BootClock = boot
	g.Apply(noon, leaseExpiryCommand("a1", durationpb.New(5*time.Second)))
	assert.Assert(t, !g.Agent("a1").LeaseExpiry.Expired(now+4999*time.Millisecond))
	assert.Assert(t, g.Agent("a1").LeaseExpiry.Expired(now+5*time.Second))
	assert.Assert(t, !g.Agent("a2").LeaseExpiry.Expired(now+time.Hour))
	t.Run("loaded later", func(t *testing.T) {
		image := g.Save()
		now += 3 * time.Second
		loaded := New()
		loaded.BootClock = boot
		assert.NilError(t, loaded.Load(image))
		assert.Assert(t, !loaded.Agent("a1").LeaseExpiry.Expired(now+4999*time.Millisecond))
		assert.Assert(t, loaded.Agent("a1").LeaseExpiry.Expired(now+5*time.Second))
	})
	t.Run("reachable again", func(t *testing.T) {
		g.Apply(noon, leaseExpiryCommand("a1", nil))
		assert.Assert(t, g.Agent("a1").LeaseExpiry == nil)
		assert.Equal(t, len(g.Save().SilentAgents), 0)
	})
	t.Run("removed", func(t *testing.T) {
		g.Apply(noon, &wire.WorkCommand{Body: &wire.WorkCommand_DropAgent{DropAgent: &wire.DropAgent{Id: "a1"}}})
		g.Apply(noon, leaseExpiryCommand("a1", durationpb.New(time.Second)))
		assert.Assert(t, g.Agent("a1") == nil)
	})
}
