// This file defines what a leader knows of the rules by which other replicas apply commands.

package quorum

// StateVersion returns the highest version of the state's rules that all members know, by their
// answers in this term. Members that haven't answered yet count as knowing none. It is called at the
// leader.
func (c *Core) StateVersion() uint32 {
	version := c.options.StateVersion
	for _, m := range c.membership.GetMembers() {
		if m.ReplicaId == c.options.ID {
			continue
		}
		p := c.peers[m.ReplicaId]
		if p == nil {
			return 0
		}
		version = min(version, p.stateVersion)
	}
	return version
}
