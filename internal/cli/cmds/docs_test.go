// This file defines tests of the operators' page and of the configuration diff.

package cmds

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"
)

var (
	counterName = regexp.MustCompile(`metrics\.New\w+\(["` + "`" + `](sycamoredeck_[a-z_]+)`)
	counterUsed = regexp.MustCompile(`sycamoredeck_[a-z]+_[a-z_]+`)
)

func operationsPage(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	return string(data)
}

// Guards against settings and counters that are missing on the operators' page, and against
// counters on the page that don't exist.
func TestOperationsPageIsComplete(t *testing.T) {
	page := operationsPage(t)
	p := &program{out: os.Stdout, err: os.Stderr}
	for _, c := range []*cobra.Command{p.entryCommand(), p.controlCommand(), p.statusCommand()} {
		c.Flags().VisitAll(func(f *pflag.Flag) {
			assert.Assert(t, strings.Contains(page, "`--"+f.Name+"`"), "--%s is missing", f.Name)
		})
	}
	known := map[string]bool{}
	err := filepath.WalkDir("../../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range counterName.FindAllStringSubmatch(string(data), -1) {
			known[m[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, len(known) > 20)
	for n := range known {
		assert.Assert(t, strings.Contains(page, n), "%s is missing", n)
	}
	for _, n := range counterUsed.FindAllString(page, -1) {
		assert.Assert(t, known[n], "%s isn't a counter", n)
	}
}

func TestDiff(t *testing.T) {
	have := []element{{"a", "1"}, {"b", "1"}, {"c", "1"}}
	want := []element{{"a", "1"}, {"b", "2"}, {"d", "1"}}
	assert.DeepEqual(t, diff(have, want), []string{"~ b 1 -> 2", "+ d 1", "- c 1"})
	assert.Equal(t, len(diff(have, have)), 0)
}
