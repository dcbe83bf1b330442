package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// repositoryRoot is the path of the repository's root, relative to this package.
const repositoryRoot = "../../../.."

// TestPageOfCapacity checks that the tables of docs/CAPACITY.md are up to date with
// the figures that they are derived from.
func TestPageOfCapacity(t *testing.T) {
	var out, errs bytes.Buffer
	args := []string{
		"capacity", "--check",
		"--page", filepath.Join(repositoryRoot, "docs/CAPACITY.md"),
		"--size", filepath.Join(repositoryRoot, "docs/capacity/size.yaml"),
		"--figures", filepath.Join(repositoryRoot, "docs/capacity/benchmarks.txt"),
	}
	if code := Main(args, os.Stdin, &out, &errs); code != 0 {
		t.Fatal(errs.String())
	}
}
