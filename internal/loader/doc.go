// Package loader generates a seeded workload of jobs, sends it to entry VMs at
// planned times whatever the answers do (open loop), checks each answer whole
// and measures response times, endings, messages and processor time.
//
// The planner decides every arrival before the run from the seed alone, so two
// runs with one seed offer the same workload.
package loader
