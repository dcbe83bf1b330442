// Package experimenter runs scenarios. A scenario has a seeded workload, faults
// at planned times and placement policies to compare; each policy runs in turn
// on the same workload. The results are written as a table, as JSON and as a
// plot of the ratio of response times to the ideal.
//
// The system under test is behind the interface System: it runs in this process
// over loopback sockets, or in other processes that already run.
package experimenter
