// This file gives tests access to the internals of a replica.

package node

import "context"

// Idle reports whether a replica writes nothing to disk.
func (n *Node) Idle() bool {
	idle := false
	_ = n.Do(context.Background(), func() { idle = !n.persisting })
	return idle
}
