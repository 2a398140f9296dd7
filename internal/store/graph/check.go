// This file defines the validation of jobs and catalogs.

package graph

import (
	"errors"
	"fmt"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// MaxPayloadBytes bounds the payload that a job passes to its tasks. Agents accept no
	// more.
	MaxPayloadBytes = 4000
	// maxTasks bounds a job's tasks over all occurrences, so that no single job exhausts
	// the memory of a control replica; 50,000 tasks take about 10 MB.
	maxTasks = 50000
	// MaxSteps bounds a job's steps.
	MaxSteps = 1000
	// idLength is the length of a job's id in hexadecimal digits.
	idLength = 16
)

// ErrInvalid is wrapped by all validation errors.
var ErrInvalid = errors.New("invalid")

// CheckID validates a job's id.
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

// CheckSpec validates a job's specification.
func CheckSpec(s *wire.WorkSpec) error {
	switch {
	case len(s.GetPayload()) > MaxPayloadBytes:
		return fmt.Errorf("%w: the payload has %d bytes; at most %d are allowed", ErrInvalid, len(s.Payload), MaxPayloadBytes)
	case len(s.GetSteps()) == 0 || len(s.Steps) > MaxSteps:
		return fmt.Errorf("%w: a job has 1 to %d steps, not %d", ErrInvalid, MaxSteps, len(s.GetSteps()))
	}
	var tasks uint64
	for i, st := range s.Steps {
		if st.Count == 0 {
			return fmt.Errorf("%w: step %d has no tasks", ErrInvalid, i)
		}
		for _, d := range st.After {
			if int(d) >= i {
				return fmt.Errorf("%w: step %d comes after step %d, which isn't an earlier one", ErrInvalid, i, d)
			}
			if s.Steps[d].Standing {
				return fmt.Errorf("%w: step %d comes after step %d, which never ends", ErrInvalid, i, d)
			}
		}
		tasks += uint64(st.Count) * uint64(max(s.Occurrences, 1))
		if tasks > maxTasks {
			return fmt.Errorf("%w: the job has more than %d tasks", ErrInvalid, maxTasks)
		}
	}
	return nil
}

// CheckCatalog validates a catalog.
func CheckCatalog(c *wire.Catalog) error {
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return fmt.Errorf("%w: pool %q has no name, or one that is taken", ErrInvalid, p.Name)
		}
		pools[p.Name] = true
	}
	names, routes := map[string]bool{}, map[string]string{}
	for _, q := range c.Queues {
		route := q.Host + q.PathPrefix
		switch {
		case q.Name == "" || names[q.Name]:
			return fmt.Errorf("%w: queue %q has no name, or one that is taken", ErrInvalid, q.Name)
		case q.Host == "" || q.PathPrefix == "" || q.PathPrefix[0] != '/':
			return fmt.Errorf("%w: queue %q has no host, or no path prefix that begins with '/'", ErrInvalid, q.Name)
		case !pools[q.Pool]:
			return fmt.Errorf("%w: queue %q names pool %q, which isn't there", ErrInvalid, q.Name, q.Pool)
		case routes[route] != "":
			return fmt.Errorf("%w: queues %q and %q have the same host and path prefix", ErrInvalid, routes[route], q.Name)
		}
		names[q.Name], routes[route] = true, q.Name
	}
	return nil
}
