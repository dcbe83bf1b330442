package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// root is the repository's root, from this package.
const root = "../../../.."

// TestPageOfCapacity holds that docs/CAPACITY.md is what its figures give.
func TestPageOfCapacity(t *testing.T) {
	var out, errs bytes.Buffer
	args := []string{
		"capacity", "--check",
		"--page", filepath.Join(root, "docs/CAPACITY.md"),
		"--size", filepath.Join(root, "docs/capacity/size.yaml"),
		"--figures", filepath.Join(root, "docs/capacity/benchmarks.txt"),
	}
	if code := Main(args, os.Stdin, &out, &errs); code != 0 {
		t.Fatal(errs.String())
	}
}
