package loader

import (
	"io"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// MaxWorkloadFileBytes is the largest size of a workload file. What follows is
// not read.
const MaxWorkloadFileBytes = 1 << 20

// ParseWorkload reads and validates a workload in strict YAML. Fields that are
// absent keep the values of DefaultWorkload.
func ParseWorkload(r io.Reader) (w Workload, err error) {
	defer func() { err = errors.Wrap(err, "reading the workload") }()
	w = DefaultWorkload()
	d := yaml.NewDecoder(io.LimitReader(r, MaxWorkloadFileBytes))
	d.KnownFields(true)
	if err := d.Decode(&w); err != nil && !errors.Is(err, io.EOF) {
		return Workload{}, err
	}
	return w, w.Validate()
}
