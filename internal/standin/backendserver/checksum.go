package backendserver

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Checksum returns the checksum that a task's output contains. It depends on the
// task's reference and its payload, except for the payload's white space, so that
// the outputs of two tasks differ.
func Checksum(task identifier.TaskRef, payload []byte) string {
	compact := bytes.NewBuffer(make([]byte, 0, len(payload)))
	if err := json.Compact(compact, payload); err != nil {
		compact.Reset()
		compact.Write(payload)
	}
	return checksumCompact(task, compact.Bytes())
}

// checksumCompact returns the checksum for a payload without white space.
func checksumCompact(task identifier.TaskRef, payload []byte) string {
	h := xxhash.New()
	_, _ = h.Write(appendRef(nil, task)) // a hash returns no error
	_, _ = h.Write(payload)
	sum := strconv.FormatUint(h.Sum64(), 16)
	return strings.Repeat("0", checksumDigits-len(sum)) + sum
}

const checksumDigits = 16

// appendRef appends a task's reference and a line feed as a separator.
func appendRef(b []byte, task identifier.TaskRef) []byte {
	b = append(b, task.Submission...)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(task.Index), 10)
	return append(b, '\n')
}
