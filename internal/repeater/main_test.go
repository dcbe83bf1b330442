package repeater

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run is the same.
// Flags of rapid on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "60", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
