package backendcaller

// TaskState is the state of a task as its backend server tells it.
type TaskState string

// The states of a task.
const (
	NeverStarted TaskState = "neverStarted" // nor will this server start it; proves nothing of a former server at the address
	StoppedNow   TaskState = "stopped"      // it ran until the stop
	Ended        TaskState = "ended"        // it had ended before
	Running      TaskState = "running"
	NotFound     TaskState = "notFound" // proves nothing
	Unknown      TaskState = "unknown"  // the server had to forget tasks that ended lately
)

// TaskReport is what a backend server tells of a task.
type TaskReport struct {
	State  TaskState
	Result StartResult // of a task that has ended, else nil
}
