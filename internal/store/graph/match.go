// This file defines the routing of a host and path to a queue.

package graph

import (
	"strings"

	"sycamoredeck.example/internal/schema/wire"
)

// MatchQueue returns the queue with the given host and the longest matching path prefix,
// and the rest of the path. It returns nil if no queue matches.
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
