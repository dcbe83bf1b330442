// Package repeater runs jobs that may be repeated. It decides where a job's
// tasks run, which entry VM controls a backend server, and what happens to runs
// when a VM, a link or a server is lost.
//
// A Machine is the state machine of one entry VM. It takes one typed event and
// the time and returns typed effects; it has no goroutine, socket or clock. It
// has two roles. As a home it answers for the jobs that arrive at its VM. As an
// owner it queues and starts tasks, for all homes, on the backend servers that
// its VM owns.
//
// Two runs of a task never execute at the same moment; docs/design/platform.md
// gives the argument and the bounds.
package repeater
