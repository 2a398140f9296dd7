// This file defines which jobs and catalogs are valid.

package graph

import (
	"errors"
	"fmt"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// MaxPayloadBytes bounds the text that a job hands to its tasks; agents
	// take no more.
	MaxPayloadBytes = 4000
	// maxTasks bounds a job's tasks over all occurrences, so that one job
	// can't fill the memory of a control replica; 50,000 take about 10 MB.
	maxTasks = 50000
	maxSteps = 1000
	// idLength is the length of a job's id in hexadecimal digits.
	idLength = 16
)

// ErrInvalid is wrapped by all errors about content that can't be taken.
var ErrInvalid = errors.New("invalid")

// CheckID tells whether a job's id has the right form.
func CheckID(id string) error {
	if len(id) != idLength {
		return fmt.Errorf("%w: a job's id has %d hexadecimal digits, not %d characters", ErrInvalid, idLength, len(id))
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return fmt.Errorf("%w: a job's id has hexadecimal digits only, not %q", ErrInvalid, c)
		}
	}
	return nil
}

// CheckSpec tells whether a job can be accepted.
func CheckSpec(s *wire.WorkSpec) error {
	switch {
	case len(s.GetPayload()) > MaxPayloadBytes:
		return fmt.Errorf("%w: the payload has %d bytes; at most %d are allowed", ErrInvalid, len(s.Payload), MaxPayloadBytes)
	case len(s.GetSteps()) == 0 || len(s.Steps) > maxSteps:
		return fmt.Errorf("%w: a job has 1 to %d steps, not %d", ErrInvalid, maxSteps, len(s.GetSteps()))
	}
	var tasks uint64
	for i, step := range s.Steps {
		if step.Count == 0 {
			return fmt.Errorf("%w: step %d has no tasks", ErrInvalid, i)
		}
		for _, before := range step.After {
			if int(before) >= i {
				return fmt.Errorf("%w: step %d comes after step %d, which isn't an earlier one", ErrInvalid, i, before)
			}
			if s.Steps[before].Standing {
				return fmt.Errorf("%w: step %d comes after step %d, which never ends", ErrInvalid, i, before)
			}
		}
		tasks += uint64(step.Count) * uint64(max(s.Occurrences, 1))
		if tasks > maxTasks {
			return fmt.Errorf("%w: the job has more than %d tasks", ErrInvalid, maxTasks)
		}
	}
	return nil
}

// CheckCatalog tells whether a catalog may be put in force.
func CheckCatalog(c *wire.Catalog) error {
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return fmt.Errorf("%w: pool %q has no name, or one that is taken", ErrInvalid, p.Name)
		}
		pools[p.Name] = true
	}
	names, places := map[string]bool{}, map[string]string{}
	for _, q := range c.Queues {
		place := q.Host + q.PathPrefix
		switch {
		case q.Name == "" || names[q.Name]:
			return fmt.Errorf("%w: queue %q has no name, or one that is taken", ErrInvalid, q.Name)
		case q.Host == "" || q.PathPrefix == "" || q.PathPrefix[0] != '/':
			return fmt.Errorf("%w: queue %q has no host, or no path prefix that begins with '/'", ErrInvalid, q.Name)
		case !pools[q.Pool]:
			return fmt.Errorf("%w: queue %q names pool %q, which isn't there", ErrInvalid, q.Name, q.Pool)
		case places[place] != "":
			return fmt.Errorf("%w: queues %q and %q have the same host and path prefix", ErrInvalid, places[place], q.Name)
		}
		names[q.Name], places[place] = true, q.Name
	}
	return nil
}
