// Command standin simulates the backend servers, workers and callers around
// sycamoredeck, for tests, demos and measurements.
package main

import (
	"os"

	"sycamoredeck.example/internal/model/shell"
)

func main() {
	os.Exit(shell.Main(os.Args[1:], os.Stdout, os.Stderr))
}
