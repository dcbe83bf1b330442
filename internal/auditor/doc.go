// Package auditor compares the starts that backend servers recorded with the
// answers that callers received, and lists the violations of the guarantees of
// the callers' API: at most one start per task, no partial answer, no false
// refusal, and each answer to its own caller.
package auditor
