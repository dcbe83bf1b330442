package loader

import (
	"fmt"
	"io"
	"time"
)

// Cost holds the processor time and the memory that the daemons of the entry VMs
// used for the workload.
type Cost struct {
	// Processor is the processor time of all daemons; 0 if none reports it.
	Processor time.Duration `json:"processorNanos"`
	// PerTask is Processor divided by the number of tasks offered.
	PerTask time.Duration `json:"processorPerTaskNanos"`
	// HeapBytes is the live heap of all daemons at the end of the run.
	HeapBytes int64 `json:"heapBytes"`
	// RunningJobs and QueuedTasks count what the daemons still hold at the end.
	RunningJobs int64 `json:"runningJobs"`
	QueuedTasks int64 `json:"queuedTasks"`
}

func (c Cost) writeText(w io.Writer) {
	fmt.Fprintf(w, "processor time of the daemons\t%v, %v a task\n",
		c.Processor.Round(time.Millisecond), c.PerTask.Round(100*time.Nanosecond))
	fmt.Fprintf(w, "heap of the daemons\t%.1f MiB\n", float64(c.HeapBytes)/(1<<20))
	fmt.Fprintf(w, "held by the daemons at the end\t%d jobs, %d queued tasks\n", c.RunningJobs, c.QueuedTasks)
}
