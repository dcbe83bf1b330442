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
	LeaseLapsed Ending = "leaseLapsed" // the server stopped it
	Died        Ending = "died"        // with its server
)

// maxSleep bounds the run time that a payload asks for.
const maxSleep = time.Hour

// payload is what the stand-in understands of a task's payload. Whatever else
// the payload holds is ignored.
type payload struct {
	SleepMillis float64               `json:"sleepMillis"`
	Fail        bool                  `json:"fail"`
	Output      json.RawMessage       `json:"output"`
	Millicores  identifier.Millicores `json:"millicores"`      // used in fact; 0 is as declared
	Memory      identifier.Mebibytes  `json:"memoryMebibytes"` // used in fact; 0 is as declared
}

func (p payload) runTime() time.Duration {
	if p.SleepMillis <= 0 {
		return 0
	}
	return min(time.Duration(p.SleepMillis*float64(time.Millisecond)), maxSleep)
}

// encodeOutput returns the output of a task that succeeded: an object with the
// checksum and what the payload asks for.
func (t *task) encodeOutput() []byte {
	b := append(make([]byte, 0, len(t.payload.Output)+64), `{"checksum":"`...)
	b = append(b, Checksum(t.ref, t.raw)...)
	b = append(b, '"')
	if len(t.payload.Output) > 0 {
		b = append(b, `,"output":`...)
		b = append(b, t.payload.Output...)
	}
	return append(b, '}')
}

// task is a task that runs or has ended. Its server's mu guards it.
type task struct {
	ref          identifier.TaskRef
	payload      payload
	raw          []byte
	sequence     uint64 // in the audit
	millicores   identifier.Millicores
	memory       identifier.Mebibytes
	startedAt    time.Time
	leaseEnd     time.Time
	resumedAt    time.Time     // when work was last known
	work         time.Duration // left at resumedAt, at full speed
	speed        float64       // below 1 while throttled
	timer        *time.Timer   // fires at the task's end
	done         chan struct{} // closed at the task's end
	cancelled    bool          // stopped before it was started
	ending       Ending
	detail       string
	runTime      time.Duration
	output       []byte
	checkpointed float64 // share of the work done at the last checkpoint
	total        time.Duration
	earlier      *task // that a duplicate start has replaced in the table, else nil
}

func (t *task) running() bool {
	return t.ending == "" && !t.cancelled
}

// settle brings the work left up to now.
func (t *task) settle(now time.Time) {
	t.work -= time.Duration(float64(now.Sub(t.resumedAt)) * t.speed)
	t.resumedAt = now
}

// rest returns the time until the task ends by itself or by its lease.
func (t *task) rest(now time.Time) time.Duration {
	rest := time.Duration(float64(t.work) / t.speed)
	return max(0, min(rest, t.leaseEnd.Sub(now)))
}

// progress returns the share of the work that is done, from 0 to 1.
func (t *task) progress() float64 {
	if t.total == 0 || t.ending == Succeeded {
		return 1
	}
	return min(1, max(0, 1-float64(t.work)/float64(t.total)))
}
