package backendcaller

// TaskState is the state of a task as its backend server reports it.
type TaskState string

// The states of a task.
const (
	NeverStarted        TaskState = "neverStarted" // the task has not started on this server and never will; that proves nothing about an earlier server at the address
	StoppedWhileRunning TaskState = "stopped"      // the task ran until the stop
	Ended               TaskState = "ended"        // the task had already ended when the server was asked
	Running             TaskState = "running"
	NotFound            TaskState = "notFound" // the server does not know the task, which proves nothing about it
	Unknown             TaskState = "unknown"  // the server has dropped recently ended tasks for lack of room
)

// TaskReport is a backend server's answer to a query for a task.
type TaskReport struct {
	State  TaskState
	Result StartResult // nil unless the task has ended
}
