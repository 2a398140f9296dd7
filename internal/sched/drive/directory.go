// This file defines directory, the agents of an engine with their indexes.

package drive

import (
	"slices"
	"strings"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/graph"
)

type (
	// agentList is a list of agents, sorted by id. The zero value is empty. It must not
	// change while it is iterated over.
	agentList []*agent

	// directory holds the agents of an engine. It is indexed so that an event of one agent
	// costs the same however many there are. The zero value is empty.
	directory struct {
		byID   map[string]*agent
		byPool map[string]agentList
		// byAddress and byName hold the processes at an address and those of an agent's own
		// id; there is more than one only until a predecessor is dropped.
		byAddress, byName map[string]agentList
		// troubled are the agents that may be unreachable or may have crashed, or of which a
		// leader has committed that; see agent.troubled.
		troubled agentList
	}
)

func compareAgents(a, b *agent) int { return strings.Compare(a.record.Id, b.record.Id) }

// add adds an agent unless it is listed.
func (l *agentList) add(a *agent) {
	if i, listed := slices.BinarySearchFunc(*l, a, compareAgents); !listed {
		*l = slices.Insert(*l, i, a)
	}
}

// remove removes an agent if it is listed.
func (l *agentList) remove(a *agent) {
	if i, listed := slices.BinarySearchFunc(*l, a, compareAgents); listed {
		*l = slices.Delete(*l, i, i+1)
	}
}

func addTo(index map[string]agentList, key string, a *agent) {
	l := index[key]
	l.add(a)
	index[key] = l
}

func removeFrom(index map[string]agentList, key string, a *agent) {
	l := index[key]
	l.remove(a)
	if len(l) == 0 {
		delete(index, key)
		return
	}
	index[key] = l
}

// add adds an agent whose id isn't listed.
func (d *directory) add(a *agent) {
	if d.byID == nil {
		*d = directory{byID: map[string]*agent{}, byPool: map[string]agentList{}, byAddress: map[string]agentList{}, byName: map[string]agentList{}}
	}
	d.byID[a.record.Id] = a
	addTo(d.byPool, a.record.Pool, a)
	addTo(d.byAddress, a.record.Address, a)
	addTo(d.byName, graph.AgentName(a.record), a)
}

// remove removes an agent.
func (d *directory) remove(a *agent) {
	delete(d.byID, a.record.Id)
	removeFrom(d.byPool, a.record.Pool, a)
	removeFrom(d.byAddress, a.record.Address, a)
	removeFrom(d.byName, graph.AgentName(a.record), a)
	d.troubled.remove(a)
}

// update replaces the record of an agent.
func (d *directory) update(a *agent, record *wire.Agent) {
	old := a.record
	if old.Pool == record.Pool && old.Address == record.Address && old.Name == record.Name {
		a.record = record
		return
	}
	d.remove(a)
	a.record = record
	d.add(a)
	if a.troubled() {
		d.troubled.add(a)
	}
}

// rivals returns the other processes at an agent's address and those with its name, sorted
// by id.
func (d *directory) rivals(a *agent) []*agent {
	list := slices.Concat(d.byAddress[a.record.Address], d.byName[graph.AgentName(a.record)])
	list = slices.DeleteFunc(list, func(o *agent) bool { return o == a })
	slices.SortFunc(list, compareAgents)
	return slices.Compact(list)
}

// troubledAgents returns the agents that may be unreachable or may have crashed, or of
// which a leader has committed that.
func (d *directory) troubledAgents() []*agent {
	d.troubled = slices.DeleteFunc(d.troubled, func(a *agent) bool { return !a.troubled() })
	agentsVisited.Add(len(d.troubled))
	return d.troubled
}

// troubled reports whether the agent's lease expiry or a crash report may have to be
// committed or withdrawn.
func (a *agent) troubled() bool {
	return a.failedPolls > 0 || a.expiryCommitted || a.connectionClosed || a.crashReported
}
