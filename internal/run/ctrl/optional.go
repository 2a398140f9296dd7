// This file defines the optional features of a control process.

package ctrl

import (
	"slices"
	"strings"
)

// restartElection is the optional feature that lets a replica stand for election at once if
// all voters have restarted.
const restartElection = "RestartElection"

// restartElectionEnabled reports whether RestartElection is switched on.
func (c *Control) restartElectionEnabled() bool {
	return slices.ContainsFunc(c.settings.SwitchedOn, isRestartElection)
}

// engineFeatures returns the names of the optional features of the scheduling engine.
func (c *Control) engineFeatures() []string {
	return slices.DeleteFunc(slices.Clone(c.settings.SwitchedOn), isRestartElection)
}

func isRestartElection(name string) bool { return strings.TrimSpace(name) == restartElection }
