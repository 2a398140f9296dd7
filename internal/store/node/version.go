// This file defines when the rules of the state are changed, which all replicas have to know.

package node

import (
	"github.com/VictoriaMetrics/metrics"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

var stateVersionGauge = metrics.NewGauge("sycamoredeck_state_version", nil)

// proposeStateVersion raises the version of the state's rules once all members know them. Until then
// the leader and its followers apply commands as the earliest of them does.
func (n *Node) proposeStateVersion() {
	stateVersionGauge.Set(float64(n.machine.Graph().StateVersion()))
	_, isLeader := n.IsLeader()
	if !isLeader || n.failed {
		n.proposedVersion = 0
		return
	}
	current, known := n.machine.Graph().StateVersion(), n.core.StateVersion()
	if known <= max(current, n.proposedVersion) {
		return
	}
	n.proposedVersion = known
	command := &wire.WorkCommand{Body: &wire.WorkCommand_StateVersion{StateVersion: &wire.StateVersion{Version: known}}}
	n.Propose(&wire.Command{Body: &wire.Command_Work{Work: command}}, func(_ state.Result, err error) {
		if err != nil {
			n.proposedVersion = 0
			n.options.Logger.Info("state version not raised", "version", known, "error", err)
			return
		}
		n.options.Logger.Info("state version raised", "from", current, "to", known)
	})
}
