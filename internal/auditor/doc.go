// Package auditor joins the starts that backend servers saw with the answers
// that callers saw, and lists what contradicts the promises of the callers'
// API: at most one start a task, no partial answer, no false refusal, and each
// answer to its own caller.
package auditor
