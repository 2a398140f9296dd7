// This file defines the versions of the rules by which commands change the state.

package graph

import (
	"fmt"
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

// Versions of the rules. Replicas apply a record by the version of their state, so that those with an
// earlier release compute the same state until all of them know the later rules.
const (
	// unversioned is the state of releases that record no version. A completed gang completes its
	// stage again with each further member, each failed member of a gang counts as an attempt, and the
	// terms of a removed queue are lost.
	unversioned = 0
	// Version is the latest version.
	Version = 1
)

// ErrLaterVersion is returned for a state that a later release has saved.
var ErrLaterVersion = fmt.Errorf("the state has rules that this program doesn't know; it knows version %d", Version)

// StateVersion returns the version of the rules by which commands are applied.
func (g *Graph) StateVersion() uint32 { return g.stateVersion }

// AssumeUnversioned empties the state, and treats states without a version as those of an earlier release.
func (g *Graph) AssumeUnversioned() {
	g.initialVersion = unversioned
	g.reset()
}

// raiseVersion changes the rules for all later commands. A lower version is a repeated command. What
// earlier rules counted wrongly is derived anew, and jobs whose tasks are all done are completed.
func (g *Graph) raiseVersion(at time.Time, v *wire.StateVersion) {
	if v.Version <= g.stateVersion {
		return
	}
	g.stateVersion = v.Version
	for _, j := range g.Jobs() {
		if j.Ended() {
			continue
		}
		j.recount()
		for _, ss := range j.Occurrences {
			for _, s := range ss {
				g.updateReady(s)
			}
		}
		if j.openStages == 0 {
			g.finishJob(at, j, wire.WorkState_WORK_STATE_COMPLETED)
		}
	}
	g.notifyChange()
}
