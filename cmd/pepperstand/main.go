// Command pepperstand is described by its --help.
package main

import (
	"os"

	"github.com/peppertrack/peppertrack/cmd/pepperstand/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
