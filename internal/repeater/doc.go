// Package repeater runs idempotent jobs, whose tasks may be run again after a
// failure. It decides where a job's tasks run, which entry VM controls a backend
// server, and what happens to runs when a VM, a link or a server is lost.
//
// A Machine is the state machine of one entry VM. It takes one typed event and
// the time and returns typed effects; it has no goroutine, socket or clock. It
// has two roles. As a home it answers for the jobs that arrive at its VM; the home
// of package claimer is another one, chosen by the submission id. As an owner it
// queues and starts tasks, for all homes, on the backend servers that its VM owns.
//
// A member is one process of an entry VM, named by the VM and its incarnation.
// The store is a service of the platform that stores the routes and the lists of
// backend servers and entry VMs. The directory is this VM's copy of them; VMs also
// send each other copies of the routes and servers.
//
// A backend server has one lease, which its runs share: its owner extends the
// lease with starts and polls, and the server ends all its runs when it lapses.
// Calls carry the owner's fencing token, and the server rejects lower tokens
// than it has seen.
//
// A server is suspended when starts or runs on it fail in a row, or when its runs
// are slow. A suspension lasts at most a few seconds, and only the server's owner
// knows of it: its peers see only that the server is not usable. A quarantine of
// package quarantiner, which serves package dispatcher, can last minutes, depends
// on the number of distinct jobs that failed on the server, and counts failures
// that other entry VMs report.
//
// Two runs of a task never execute at the same moment; docs/design/platform.md
// gives the argument and the bounds.
package repeater
