package backendserver

import (
	"encoding/json"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Ending says how a task ended.
type Ending string

// The endings of a task.
const (
	Succeeded   Ending = "succeeded"
	TaskFailed  Ending = "failed"
	Stopped     Ending = "stopped"     // on request
	LeaseLapsed Ending = "leaseLapsed" // the server stopped it when its lease lapsed
	Died        Ending = "died"        // it ended with its server
)

// maxSleep bounds the run time that a payload asks for.
const maxSleep = time.Hour

// payload holds the fields of a task's payload that the stand-in reads. It ignores
// all others.
type payload struct {
	SleepMillis float64               `json:"sleepMillis"`
	Fail        bool                  `json:"fail"`
	Output      json.RawMessage       `json:"output"`
	Millicores  identifier.Millicores `json:"millicores"`      // actual use; 0 means the declared use
	Memory      identifier.Mebibytes  `json:"memoryMebibytes"` // actual use; 0 means the declared use
}

func (p payload) runTime() time.Duration {
	if p.SleepMillis <= 0 {
		return 0
	}
	return min(time.Duration(p.SleepMillis*float64(time.Millisecond)), maxSleep)
}

// encodeOutput returns the output of a task that succeeded: a JSON object with the
// checksum and the output that the payload asks for.
func (t *task) encodeOutput() []byte {
	b := append(make([]byte, 0, len(t.payload.Output)+64), `{"checksum":"`...)
	b = append(b, Checksum(t.ref, t.rawPayload)...)
	b = append(b, '"')
	if len(t.payload.Output) > 0 {
		b = append(b, `,"output":`...)
		b = append(b, t.payload.Output...)
	}
	return append(b, '}')
}

// task is a task that runs, has ended, or was cancelled before its start. The
// mutex of its server guards it.
type task struct {
	ref                identifier.TaskRef
	payload            payload
	rawPayload         []byte
	sequence           uint64 // sequence number in the audit
	millicores         identifier.Millicores
	memory             identifier.Mebibytes
	startedAt          time.Time
	leaseEnd           time.Time
	workUpdatedAt      time.Time     // when workLeft was last updated
	workLeft           time.Duration // left at workUpdatedAt, at full speed
	speed              float64       // below 1 while throttled
	timer              *time.Timer   // fires at the task's end
	done               chan struct{} // closed at the task's end
	cancelled          bool          // stopped before it was started
	ending             Ending
	detail             string
	runTime            time.Duration
	output             []byte
	checkpointProgress float64 // share of the work done at the last checkpoint
	totalWork          time.Duration
	earlier            *task // the running task that this duplicate start replaced in the table; nil if none
}

func (t *task) running() bool {
	return t.ending == "" && !t.cancelled
}

// updateWork sets workLeft to the work that is left now.
func (t *task) updateWork(now time.Time) {
	t.workLeft -= time.Duration(float64(now.Sub(t.workUpdatedAt)) * t.speed)
	t.workUpdatedAt = now
}

// timeToEnd returns the time until the task finishes or its lease lapses, at its
// present speed.
func (t *task) timeToEnd(now time.Time) time.Duration {
	remaining := time.Duration(float64(t.workLeft) / t.speed)
	return max(0, min(remaining, t.leaseEnd.Sub(now)))
}

// progress returns the share of the work that is done, from 0 to 1.
func (t *task) progress() float64 {
	if t.totalWork == 0 || t.ending == Succeeded {
		return 1
	}
	return min(1, max(0, 1-float64(t.workLeft)/float64(t.totalWork)))
}
