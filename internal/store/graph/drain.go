// This file defines which failure domains are drained.

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

// maxDrainedDomains bounds what an operator's mistake can put into every snapshot.
const maxDrainedDomains = 100

// Why a placement, or a drain, changes nothing.
var (
	ErrDrained           = errors.New("the agent's failure domain is drained")
	ErrTooManyDrained    = fmt.Errorf("%w: %d failure domains are drained already", ErrInvalid, maxDrainedDomains)
	errInvalidDomainName = fmt.Errorf("%w: a failure domain is named by lower-case letters, digits and hyphens, 64 at most", ErrInvalid)
	errEmptyDomainName   = fmt.Errorf("%w: no failure domain is named", ErrInvalid)
)

// drains are the failure domains that get no new work. The zero value has none.
type drainState struct {
	since map[string]time.Time
	// revision rises with each change, so that whoever is told of the domains by several
	// replicas knows the latest.
	revision uint64
}

// CheckDomain tells whether a failure domain may be drained under a name.
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

// Drained tells whether a failure domain gets no new work.
func (g *Graph) Drained(domain string) bool {
	_, drained := g.drains.since[domain]
	return drained
}

// DrainedDomains gives the failure domains that get no new work, in the order of their
// names, and a revision that rises with each change of them.
func (g *Graph) DrainedDomains() (domains []string, revision uint64) {
	return slices.Sorted(maps.Keys(g.drains.since)), g.drains.revision
}

// Domains gives each failure domain that has agents or is drained, in the order of their
// names.
func (g *Graph) Domains() []*wire.DomainStatus {
	byName := map[string]*wire.DomainStatus{}
	named := func(name string) *wire.DomainStatus {
		if byName[name] == nil {
			byName[name] = &wire.DomainStatus{FailureDomain: name}
		}
		return byName[name]
	}
	for _, at := range g.agents {
		d := named(at.Record.FailureDomain)
		d.Agents++
		d.Runs += uint32(len(at.Tasks))
	}
	for name, since := range g.drains.since {
		named(name).DrainedSince = timestamppb.New(since)
	}
	var list []*wire.DomainStatus
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, byName[name])
	}
	return list
}

// drain keeps new work out of a failure domain, or restores it. What runs there isn't
// touched. A repeated order changes nothing, which is no error.
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
	for name, since := range d.since {
		image.DrainedDomains[name] = timestamppb.New(since)
	}
}

func (d *drainState) load(image *wire.WorkImage) {
	d.revision = image.DrainRevision
	for name, since := range image.DrainedDomains {
		d.since[name] = since.AsTime()
	}
}
