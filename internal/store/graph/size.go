// This file estimates the memory that jobs take.

package graph

import (
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

// Estimates of what the parts of a job, and an agent, take in a replica, in bytes, with the
// leader's records about them.
const (
	jobBytes        = 1 << 10
	stepBytes       = 512
	stageBytes      = 320
	taskBytes       = 256
	dependencyBytes = 16
	agentBytes      = 4 << 10
	// recordCopies is how often the record of an agent is held.
	recordCopies = 2
)

// SpecBytes estimates the memory that a job will take until it ends.
func SpecBytes(s *wire.WorkSpec) int64 {
	var occurrence int64
	for _, st := range s.GetSteps() {
		occurrence += stageBytes + int64(st.Count)*taskBytes + int64(len(st.After))*dependencyBytes
	}
	return staticBytes(s) + int64(max(s.GetOccurrences(), 1))*occurrence
}

// staticBytes is what a job takes as long as it is known.
func staticBytes(s *wire.WorkSpec) int64 {
	bytes := int64(jobBytes + len(s.GetPayload()))
	for _, st := range s.GetSteps() {
		bytes += stepBytes + int64(len(st.After))*dependencyBytes
	}
	return bytes
}

// Bytes estimates the memory that the job takes now.
func (j *Job) Bytes() int64 {
	bytes := staticBytes(j.Spec)
	for _, stages := range j.Occurrences {
		for _, s := range stages {
			bytes += stageBytes + int64(len(s.Tasks))*taskBytes + int64(len(s.dependents))*dependencyBytes
		}
	}
	return bytes
}

// JobBytes estimates the memory that all jobs take now.
func (g *Graph) JobBytes() int64 {
	var bytes int64
	for _, j := range g.jobs {
		bytes += j.Bytes()
	}
	return bytes
}

// RecordBytes estimates the memory that an agent takes.
func RecordBytes(a *wire.Agent) int64 { return agentBytes + recordCopies*int64(proto.Size(a)) }

// AgentBytes estimates the memory that all agents take.
func (g *Graph) AgentBytes() int64 {
	var bytes int64
	for _, a := range g.agents {
		bytes += RecordBytes(a.Record)
	}
	return bytes
}
