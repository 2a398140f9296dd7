// This file defines the optional features of an entry.

package entry

import "sycamoredeck.example/internal/base/setup"

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
	return setup.ParseSwitches(names, []string{probeBeforeSend, adaptiveRetryAfter})
}
