// This file defines the tests of drained failure domains.

package graph

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

func drainCommand(domain string, restore bool) *wire.WorkCommand {
	return &wire.WorkCommand{Body: &wire.WorkCommand_DrainDomain{DrainDomain: &wire.DrainDomain{FailureDomain: domain, Restore: restore}}}
}

// newTestGraphWithDomains returns a state with a job and an agent in each of two failure
// domains.
func newTestGraphWithDomains(t *testing.T) *Graph {
	t.Helper()
	g := newTestGraph(t, &wire.Step{Count: 2})
	for id, d := range map[string]string{"a1": "east", "a2": "west"} {
		put := agentCommand(id, false)
		put.GetPutAgent().FailureDomain = d
		assert.NilError(t, g.Apply(noon, put).Err)
	}
	return g
}

func TestDrainedDomainRefusesRuns(t *testing.T) {
	g := newTestGraphWithDomains(t)
	assert.NilError(t, g.Apply(noon, drainCommand("east", false)).Err)
	assert.ErrorIs(t, g.Apply(noon, placeCommand("a1", runID(0, 0, 1))).PlacementErrors[0], ErrDrained)
	assert.NilError(t, g.Apply(noon, placeCommand("a2", runID(0, 1, 1))).PlacementErrors[0])
	assert.NilError(t, g.Apply(noon, drainCommand("east", true)).Err)
	assert.NilError(t, g.Apply(noon, placeCommand("a1", runID(0, 0, 1))).PlacementErrors[0])
}

// Guards against a repeated drain command that fails or counts as a change.
func TestDrainIsIdempotent(t *testing.T) {
	g := newTestGraphWithDomains(t)
	for range 2 {
		assert.NilError(t, g.Apply(noon, drainCommand("east", false)).Err)
	}
	domains, revision := g.DrainedDomains()
	assert.DeepEqual(t, domains, []string{"east"})
	assert.Equal(t, revision, uint64(1))
	for range 2 {
		assert.NilError(t, g.Apply(noon, drainCommand("east", true)).Err)
	}
	assert.NilError(t, g.Apply(noon, drainCommand("never-drained", true)).Err)
	domains, revision = g.DrainedDomains()
	assert.Equal(t, len(domains), 0)
	assert.Equal(t, revision, uint64(2))
}

// Guards against drains missing from snapshots.
func TestDrainSurvivesSnapshot(t *testing.T) {
	g := newTestGraphWithDomains(t)
	g.Apply(noon, drainCommand("east", false))
	loaded := New()
	assert.NilError(t, loaded.Load(g.Save()))
	assert.Assert(t, loaded.Drained("east") && !loaded.Drained("west"))
	assert.Assert(t, proto.Equal(loaded.Save(), g.Save()))
	t.Run("snapshot of an earlier version", func(t *testing.T) {
		image := g.Save()
		image.DrainedDomains, image.DrainRevision = nil, 0
		old := New()
		assert.NilError(t, old.Load(image))
		assert.Assert(t, !old.Drained("east"))
		assert.NilError(t, old.Apply(noon, drainCommand("east", false)).Err)
	})
}

func TestDrainedDomainsAreBounded(t *testing.T) {
	g := newTestGraphWithDomains(t)
	for i := range maxDrainedDomains {
		assert.NilError(t, g.Apply(noon, drainCommand(fmt.Sprint("d", i), false)).Err)
	}
	assert.ErrorIs(t, g.Apply(noon, drainCommand("one-more", false)).Err, ErrTooManyDrained)
	assert.NilError(t, g.Apply(noon, drainCommand("d0", false)).Err)
	assert.NilError(t, g.Apply(noon, drainCommand("d0", true)).Err)
	assert.NilError(t, g.Apply(noon, drainCommand("one-more", false)).Err)
}

func TestDomainNames(t *testing.T) {
	for n, ok := range map[string]bool{
		"hall-grandi": true, "a": true, strings.Repeat("a", 64): true,
		"": false, strings.Repeat("a", 65): false, "a/b": false, "Hall": false, "a b": false, "..": false,
	} {
		assert.Equal(t, CheckDomain(n) == nil, ok, "%q", n)
	}
}

func TestDomainsAreListed(t *testing.T) {
	g := newTestGraphWithDomains(t)
	g.Apply(noon, placeCommand("a2", runID(0, 0, 1)))
	g.Apply(noon, drainCommand("nobody-there", false))
	list := g.Domains()
	assert.Equal(t, len(list), 3)
	assert.Equal(t, list[0].FailureDomain, "east")
	assert.Assert(t, list[1].DrainedSince != nil && list[1].Agents == 0, list[1].FailureDomain)
	assert.Equal(t, list[2].Runs, uint32(1))
}
