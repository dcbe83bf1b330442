package loader

import (
	"io"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// MaxWorkloadFile bounds a workload's YAML, in bytes.
const MaxWorkloadFile = 1 << 20

// ParseWorkload reads a workload from strict YAML. What it leaves out keeps the
// values of DefaultWorkload.
func ParseWorkload(r io.Reader) (w Workload, err error) {
	defer func() { err = errors.Wrap(err, "reading the workload") }()
	w = DefaultWorkload()
	d := yaml.NewDecoder(io.LimitReader(r, MaxWorkloadFile))
	d.KnownFields(true)
	if err := d.Decode(&w); err != nil && !errors.Is(err, io.EOF) {
		return Workload{}, err
	}
	return w, w.Validate()
}
