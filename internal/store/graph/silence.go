// This file defines for how long leases may run on agents that don't answer.

package graph

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/schema/wire"
)

// Silence bounds the leases on an agent that doesn't answer. While it stands, no leader
// grants another one.
type LeaseExpiry struct {
	// ExpiresIn is how long after RecordedAt every lease has run out.
	ExpiresIn time.Duration
	// RecordedAt is when this replica applied or loaded the record, by its own boot clock.
	// That is later than when the leader committed it, so that no replica takes a lease
	// for run out too early, whatever its clock shows.
	RecordedAt time.Duration
}

// Over tells whether every lease has run out by a time of the boot clock.
func (s *LeaseExpiry) Expired(now time.Duration) bool {
	return s != nil && now >= s.RecordedAt+s.ExpiresIn
}

func (g *Graph) setLeaseExpiries(list []*wire.SilentAgent) {
	for _, told := range list {
		at := g.agents[told.Id]
		switch {
		case at == nil:
		case told.LapsesIn == nil:
			at.LeaseExpiry = nil
		default:
			at.LeaseExpiry = &LeaseExpiry{ExpiresIn: told.LapsesIn.AsDuration(), RecordedAt: g.BootClock()}
		}
	}
}

func (g *Graph) saveLeaseExpiries() []*wire.SilentAgent {
	var list []*wire.SilentAgent
	for id, at := range g.agents {
		if at.LeaseExpiry != nil {
			list = append(list, &wire.SilentAgent{Id: id, LapsesIn: durationpb.New(at.LeaseExpiry.ExpiresIn)})
		}
	}
	slices.SortFunc(list, func(a, b *wire.SilentAgent) int { return strings.Compare(a.Id, b.Id) })
	return list
}
