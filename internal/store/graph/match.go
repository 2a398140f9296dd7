// This file defines how a host and path find their queue.

package graph

import (
	"strings"

	"sycamoredeck.example/internal/schema/wire"
)

// Match returns the queue whose host is the given one and whose path prefix is
// the longest that the path begins with, and the rest of the path; nil when
// there is none.
func (g *Graph) MatchQueue(host, path string) (*wire.Queue, string) {
	var best *wire.Queue
	for _, q := range g.queuesByHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.PathPrefix):]
}
