// This file defines the optional features of an entry.

package entry

import (
	"fmt"
	"slices"
	"strings"
)

// Names of optional features, which are off unless they are switched on.
const (
	// probeBeforeSend pings the leader before a submission or cancellation unless its
	// connection has answered just before.
	probeBeforeSend = "ProbeBeforeSend"
	// adaptiveRetryAfter derives Retry-After from the state of the control replicas.
	adaptiveRetryAfter = "AdaptiveRetryAfter"
)

// features are the optional features that are switched on.
type features map[string]bool

func parseFeatures(names []string) (features, error) {
	valid := []string{probeBeforeSend, adaptiveRetryAfter}
	on := features{}
	for _, n := range names {
		name := strings.TrimSpace(n)
		if !slices.Contains(valid, name) {
			return nil, fmt.Errorf("entry: unknown feature %q, valid features are %v", n, valid)
		}
		on[name] = true
	}
	return on, nil
}
