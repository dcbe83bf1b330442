// Command peppertrack is described by its --help.
package main

import (
	"os"

	"github.com/peppertrack/peppertrack/cmd/peppertrack/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
