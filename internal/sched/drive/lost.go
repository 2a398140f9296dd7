// This file defines what is told of the runs that end with their agent.

package drive

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxLostListed bounds the runs that one log line names; each takes about 40 bytes.
const maxLostListed = 40

// seenFor is how long the agent has told that the run is there; 0 for one that it
// never listed.
func (r *run) seenFor() time.Duration { return max(r.confirmedAt-r.startedAt, 0) }

// lostText lists the runs on an agent that is given up, those seen for the shortest
// time first, each as TASK#RUN:SEEN. A task that ends its agents stands near the front
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
		fmt.Fprintf(&text, "%s.%d.%d.%d#%d:%dms", id.Job, id.Occurrence, id.Step, id.Index, id.Run, r.seenFor().Milliseconds())
	}
	return text.String()
}
