// Package loader generates a seeded workload of jobs, sends it to entry VMs at
// planned times that don't depend on the answers (open loop), checks every
// output of each answer and measures response times, endings, messages and
// processor time.
//
// The planner derives every arrival from the seed alone, so two runs with the
// same seed offer the same workload.
package loader
