package dispatcher

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/peppertrack/peppertrack/internal/claimer"
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// digest returns a hash of what a submission asks for. All attempts at a
// submission must have the same digest.
func digest(job declarer.Job) identifier.Digest {
	h := sha256.New()
	writeString(h, string(job.Team))
	writeString(h, string(job.Profile))
	writeNumber(h, boolNumber(job.Unrepeatable))
	writeNumber(h, createdMillis(job))
	for _, t := range job.Tasks {
		writeString(h, string(t.Payload))
		writeNumber(h, uint64(t.RunTime))
		writeNumber(h, uint64(t.Cores))
		writeNumber(h, uint64(t.Memory))
		writeNumber(h, uint64(t.Accelerators))
	}
	var d identifier.Digest
	copy(d[:], h.Sum(nil))
	return d
}

// createdMillis returns when the submission id was created, in Unix milliseconds.
// Every attempt with an opaque id must carry the same time.
func createdMillis(job declarer.Job) uint64 {
	s, err := claimer.ParseSubmission(job.Submission, job.CreatedAt)
	if err != nil {
		return 0 // such a job is refused before it is compared
	}
	return uint64(s.CreatedAt.UnixMilli())
}

func writeString(h hash.Hash, s string) {
	writeNumber(h, uint64(len(s)))
	_, _ = h.Write([]byte(s)) // never fails
}

func writeNumber(h hash.Hash, n uint64) {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], n)
	_, _ = h.Write(buf[:]) // never fails
}

func boolNumber(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
