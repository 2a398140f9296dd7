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
type Silence struct {
	// LapsesIn is how long after NotedAt every lease has run out.
	LapsesIn time.Duration
	// NotedAt is when this replica applied or loaded the record, by its own boot clock.
	// That is later than when the leader committed it, so that no replica takes a lease
	// for run out too early, whatever its clock shows.
	NotedAt time.Duration
}

// Over tells whether every lease has run out by a time of the boot clock.
func (s *Silence) Over(now time.Duration) bool { return s != nil && now >= s.NotedAt+s.LapsesIn }

func (g *Graph) noteSilence(list []*wire.SilentAgent) {
	for _, told := range list {
		at := g.agents[told.Id]
		switch {
		case at == nil:
		case told.LapsesIn == nil:
			at.Silence = nil
		default:
			at.Silence = &Silence{LapsesIn: told.LapsesIn.AsDuration(), NotedAt: g.Boot()}
		}
	}
}

func (g *Graph) saveSilence() []*wire.SilentAgent {
	var list []*wire.SilentAgent
	for id, at := range g.agents {
		if at.Silence != nil {
			list = append(list, &wire.SilentAgent{Id: id, LapsesIn: durationpb.New(at.Silence.LapsesIn)})
		}
	}
	slices.SortFunc(list, func(a, b *wire.SilentAgent) int { return strings.Compare(a.Id, b.Id) })
	return list
}
