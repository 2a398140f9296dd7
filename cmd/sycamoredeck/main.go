// Command sycamoredeck runs the entry and control processes of the scheduler, and
// provides the commands for callers and operators.
package main

import (
	"os"

	"sycamoredeck.example/internal/cli/cmds"
	"sycamoredeck.example/platform"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr, cmds.Platforms{
		Entry: platform.Entry(), Control: platform.Control(),
	}))
}
