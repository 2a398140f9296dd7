// This file defines what becomes of the runs that end with their agent, and what is
// told of them.

package drive

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// maxLostListed bounds the runs that one log line names; each takes about 40 bytes.
	maxLostListed = 40
	// soundAfter is how long an agent has to have told that a run is there before its
	// end isn't put down to the run. Tasks that end their agents do so as they start
	// (10 ms were seen); agents live for days. Between the two it is long enough for
	// slow starts, and short enough that standing tasks, which may see many agents go,
	// aren't blamed for them.
	soundAfter = 10 * time.Second
)

// departure tells on what ground an agent is taken for gone.
type departure int

const (
	// cutOff: it can't be reached, and its leases have run out. It may live on.
	cutOff departure = iota
	// replaced: its successor is at its address, so that it has surely ended.
	replaced
)

// endLost ends the runs of an agent that is given up, before it is dropped, where
// there is more to keep of them than that they are gone: the latest checkpoint, and
// that the agent may have crashed under them. An agent that said that it leaves has
// ended as it said.
func (e *Engine) endLost(at *agent, why departure) {
	crashed := why == replaced && !at.record.Leaving
	var ends []*wire.RunEnd
	for _, r := range at.runs {
		if r.ending {
			continue
		}
		outcome := wire.RunOutcome_RUN_OUTCOME_LOST
		if crashed && r.seenFor() < soundAfter {
			outcome = wire.RunOutcome_RUN_OUTCOME_CRASHED
		} else if r.checkpoint == "" {
			continue
		}
		r.ending = true
		ends = append(ends, &wire.RunEnd{Id: r.id(), Agent: at.record.Id, Outcome: outcome, Checkpoint: r.checkpoint})
	}
	if len(ends) > 0 {
		e.commitEnds(ends, func(bool) {})
	}
}

// seenFor is how long the agent has told that the run is there; 0 for one that it
// never listed.
func (r *run) seenFor() time.Duration { return max(r.confirmedAt-r.startedAt, 0) }

// lostText lists the runs on an agent that is given up, those seen for the shortest
// time first, each as TASK#RUN:SEEN:CRASHES with the crashes before this one. A task that ends its agents stands near the front
// of each of these lines; one that was only there is found in one of them.
func lostText(at *agent) string {
	runs := make([]*run, 0, len(at.runs))
	for _, r := range at.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.seenFor(), b.seenFor()), cmp.Compare(b.firstAt, a.firstAt))
	})
	var text strings.Builder
	for i, r := range runs {
		if i == maxLostListed {
			fmt.Fprintf(&text, " and %d more", len(runs)-i)
			break
		}
		if i > 0 {
			text.WriteByte(' ')
		}
		id := r.id()
		fmt.Fprintf(&text, "%s.%d.%d.%d#%d:%dms:%d", id.Job, id.Occurrence, id.Step, id.Index, id.Run, r.seenFor().Milliseconds(), r.task.Crashes)
	}
	return text.String()
}
