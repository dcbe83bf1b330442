package backendserver

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Checksum returns the checksum that a task's output holds. It depends on the
// task's reference and on its payload, but for the payload's white space, so
// that an output can be told from that of any other task.
func Checksum(task identifier.TaskRef, payload []byte) string {
	var compact bytes.Buffer
	if err := json.Compact(&compact, payload); err != nil {
		compact.Reset()
		compact.Write(payload)
	}
	h := xxhash.New()
	fmt.Fprintf(h, "%s\n", task)
	_, _ = h.Write(compact.Bytes()) // a hash returns no error
	return fmt.Sprintf("%016x", h.Sum64())
}
