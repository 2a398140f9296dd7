// This file defines the reports of agents that have probably crashed.

package graph

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

func (g *Graph) setCrashReports(list []*wire.CrashReport) {
	for _, r := range list {
		agent := g.agents[r.Id]
		switch {
		case agent == nil:
		case len(r.Ends) == 0:
			agent.CrashReport = nil
		default:
			agent.CrashReport = r
		}
	}
}

func (g *Graph) saveCrashReports() []*wire.CrashReport {
	var list []*wire.CrashReport
	for _, a := range g.agents {
		if a.CrashReport != nil {
			list = append(list, a.CrashReport)
		}
	}
	slices.SortFunc(list, func(a, b *wire.CrashReport) int { return strings.Compare(a.Id, b.Id) })
	return list
}

// ReportedCrash returns the end of a run in the agent's crash report, or nil.
func (a *Agent) ReportedCrash(id *wire.RunId) *wire.RunEnd {
	for _, e := range a.CrashReport.GetEnds() {
		if proto.Equal(e.Id, id) {
			return e
		}
	}
	return nil
}
