// This file defines the parsing of names of features.

package setup

import (
	"fmt"
	"slices"
	"strings"
)

// ParseSwitches parses names of features, of which only the valid ones are allowed.
func ParseSwitches[T ~string](names []string, valid []T) (map[T]bool, error) {
	named := map[T]bool{}
	for _, n := range names {
		f := T(strings.TrimSpace(n))
		if !slices.Contains(valid, f) {
			return nil, fmt.Errorf("setup: unknown feature %q, valid features are %v", n, valid)
		}
		named[f] = true
	}
	return named, nil
}
