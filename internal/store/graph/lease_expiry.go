// This file defines the committed lease expiries of unreachable agents.

package graph

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/schema/wire"
)

// LeaseExpiry bounds the leases of an unreachable agent. While an agent has one, no leader
// grants it another lease.
type LeaseExpiry struct {
	// ExpiresIn is the time after RecordedAt at which every lease has expired.
	ExpiresIn time.Duration
	// RecordedAt is when this replica applied or loaded the record, by its own boot clock.
	// That is later than the leader's proposal, so no replica treats a lease as expired too
	// early, whatever its clock shows.
	RecordedAt time.Duration
}

// Expired reports whether every lease has expired by a time of the boot clock. It returns
// false for a nil LeaseExpiry.
func (e *LeaseExpiry) Expired(now time.Duration) bool {
	return e != nil && now >= e.RecordedAt+e.ExpiresIn
}

func (g *Graph) setLeaseExpiries(list []*wire.SilentAgent) {
	for _, e := range list {
		agent := g.agents[e.Id]
		switch {
		case agent == nil:
		case e.LapsesIn == nil:
			agent.LeaseExpiry = nil
		default:
			agent.LeaseExpiry = &LeaseExpiry{ExpiresIn: e.LapsesIn.AsDuration(), RecordedAt: g.BootClock()}
		}
	}
}

func (g *Graph) saveLeaseExpiries() []*wire.SilentAgent {
	var list []*wire.SilentAgent
	for id, a := range g.agents {
		if a.LeaseExpiry != nil {
			list = append(list, &wire.SilentAgent{Id: id, LapsesIn: durationpb.New(a.LeaseExpiry.ExpiresIn)})
		}
	}
	slices.SortFunc(list, func(a, b *wire.SilentAgent) int { return strings.Compare(a.Id, b.Id) })
	return list
}
