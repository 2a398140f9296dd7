// This file defines how what is learned outlives the leader that learned it.

package drive

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/sched/tails"
	"sycamoredeck.example/internal/schema/wire"
)

// saveInterval is how often what is learned is committed, if it changed: a leader
// that is lost takes at most so much of what it learned with it.
const saveInterval = 2 * time.Second

// recall takes over what earlier leaders learned. Without it each change of leader
// costs what the first seconds of a day cost: all pairs of images are tried again,
// those that harm too.
func (e *Engine) restoreEstimates() {
	e.savedEstimates = e.graph.Estimates()
	e.nextSave = e.now + saveInterval
	if e.enabled(PersistEstimates) && e.savedEstimates != nil {
		e.tailModel = tails.Restore(e.savedEstimates, e.now)
	}
}

// remember has what is learned committed now and then.
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
