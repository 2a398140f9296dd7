// This file defines how estimates are handed on to later leaders.

package drive

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
)

// saveInterval is the interval at which changed estimates are committed; a failed leader
// loses no more than that.
const saveInterval = 2 * time.Second

// restoreEstimates loads the estimates of earlier leaders. Without them every pair of
// images would be tried again after a change of leader, including those that interfere.
func (e *Engine) restoreEstimates() {
	e.savedEstimates = e.graph.Estimates()
	e.nextSave = e.now + saveInterval
	if e.enabled(PersistEstimates) && e.savedEstimates != nil {
		e.tailModel = tails.Restore(e.savedEstimates, e.now)
	}
}

// saveEstimates commits the estimates if they have changed.
func (e *Engine) saveEstimates() {
	if e.now < e.nextSave || !e.enabled(PersistEstimates) {
		return
	}
	e.nextSave = e.now + saveInterval
	learned := e.tailModel.Save()
	if len(learned.Pairs) == 0 || proto.Equal(learned, e.savedEstimates) {
		return
	}
	e.savedEstimates = learned
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_Learned{Learned: learned}}, nil)
}
