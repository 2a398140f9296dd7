// This file defines the draining of failure domains.

package graph

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"sycamoredeck.example/internal/base/setup"
	"sycamoredeck.example/internal/schema/wire"
)

// maxDrainedDomains bounds the state that mistaken drain commands can add to every snapshot.
const maxDrainedDomains = 100

// Errors of placements on drained failure domains and of drain commands.
var (
	ErrDrained           = errors.New("the agent's failure domain is drained")
	ErrTooManyDrained    = fmt.Errorf("%w: %d failure domains are drained already", ErrInvalid, maxDrainedDomains)
	errInvalidDomainName = fmt.Errorf("%w: a failure domain is named by lower-case letters, digits and hyphens, 64 at most", ErrInvalid)
	errEmptyDomainName   = fmt.Errorf("%w: no failure domain is named", ErrInvalid)
)

// drainState holds the failure domains that get no new work. The zero value has none.
type drainState struct {
	since map[string]time.Time
	// revision increases with each change, so that a receiver of several replicas' answers
	// can tell the latest.
	revision uint64
}

// CheckDomain validates the name of a failure domain to be drained.
func CheckDomain(name string) error {
	switch {
	case name == "":
		return errEmptyDomainName
	case !setup.NamePattern.MatchString(name):
		return errInvalidDomainName
	default:
		return nil
	}
}

// Drained reports whether a failure domain is drained.
func (g *Graph) Drained(domain string) bool {
	_, drained := g.drains.since[domain]
	return drained
}

// DrainedDomains returns the drained failure domains sorted by name, and a revision that
// increases with each change of them.
func (g *Graph) DrainedDomains() (domains []string, revision uint64) {
	return slices.Sorted(maps.Keys(g.drains.since)), g.drains.revision
}

// Domains returns the status of each failure domain that has agents or is drained, sorted
// by name.
func (g *Graph) Domains() []*wire.DomainStatus {
	byName := map[string]*wire.DomainStatus{}
	statusOf := func(name string) *wire.DomainStatus {
		if byName[name] == nil {
			byName[name] = &wire.DomainStatus{FailureDomain: name}
		}
		return byName[name]
	}
	for _, a := range g.agents {
		status := statusOf(a.Record.FailureDomain)
		status.Agents++
		status.Runs += uint32(len(a.Tasks))
	}
	for n, t := range g.drains.since {
		statusOf(n).DrainedSince = timestamppb.New(t)
	}
	var list []*wire.DomainStatus
	for _, n := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, byName[n])
	}
	return list
}

// setDrained drains or restores a failure domain. Its runs continue. A repeated command is
// ignored without an error.
func (g *Graph) setDrained(at time.Time, d *wire.DrainDomain) error {
	if g.Drained(d.FailureDomain) != d.Restore {
		return nil
	}
	if d.Restore {
		delete(g.drains.since, d.FailureDomain)
	} else {
		if len(g.drains.since) >= maxDrainedDomains {
			return ErrTooManyDrained
		}
		g.drains.since[d.FailureDomain] = at
	}
	g.drains.revision++
	g.notifyChange()
	return nil
}

func (d *drainState) save(image *wire.WorkImage) {
	image.DrainRevision = d.revision
	image.DrainedDomains = map[string]*timestamppb.Timestamp{}
	for n, t := range d.since {
		image.DrainedDomains[n] = timestamppb.New(t)
	}
}

func (d *drainState) load(image *wire.WorkImage) {
	d.revision = image.DrainRevision
	for n, t := range image.DrainedDomains {
		d.since[n] = t.AsTime()
	}
}
