// Package experimenter runs scenarios: a seeded workload, faults at stated times
// and placement policies to compare, one policy after the other on the same
// workload. It writes a table, JSON and a plot of response time over the ideal.
//
// The system under test stands behind a small interface: it runs in this
// process over loopback sockets, or its processes were started by somebody else
// and are only addressed.
package experimenter
