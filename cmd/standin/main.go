// This file starts the model.

// Command standin is the project's model of what lies outside sycamoredeck. It
// is for tests, demos and experiments, and is never part of the product.
package main

import (
	"os"

	"sycamoredeck.example/internal/model/shell"
)

func main() {
	os.Exit(shell.Main(os.Args[1:], os.Stdout, os.Stderr))
}
