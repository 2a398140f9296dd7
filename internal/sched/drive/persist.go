// This file defines how the tail model is handed on to later leaders.

package drive

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
)

// saveInterval is the interval at which a changed tail model is committed. No more than
// the changes of one interval are lost with a leader.
const saveInterval = 2 * time.Second

// restoreEstimates loads the tail model of earlier leaders. Without it every pair of
// images would be tried again after a change of leader, including those that interfere.
func (e *Engine) restoreEstimates() {
	e.savedEstimates = e.graph.Estimates()
	e.nextSave = e.now + saveInterval
	if e.enabled(PersistEstimates) && e.savedEstimates != nil {
		e.tailModel = tails.Restore(e.savedEstimates, e.now)
	}
}

// saveEstimates commits the tail model if it has changed.
func (e *Engine) saveEstimates() {
	if e.now < e.nextSave || !e.enabled(PersistEstimates) {
		return
	}
	e.nextSave = e.now + saveInterval
	saved := e.tailModel.Save()
	if len(saved.Pairs) == 0 || proto.Equal(saved, e.savedEstimates) {
		return
	}
	e.savedEstimates = saved
	e.propose(&wire.WorkCommand{Body: &wire.WorkCommand_Learned{Learned: saved}}, nil)
}
