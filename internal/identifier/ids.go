// Package identifier defines the named types for the ids that peppertrack's
// packages exchange.
package identifier

// SubmissionID names one submission of a job. A caller repeats it on every
// attempt at the same submission.
type SubmissionID string

// Attempt counts a caller's attempts at one submission, from 1.
type Attempt uint32

// TaskIndex is the position of a task in its job, from 0.
type TaskIndex uint32

// VMID names an entry VM. It is stable over restarts of the process on that VM.
type VMID string

// Incarnation distinguishes the successive processes on one entry VM. It only
// grows: a later process has a greater incarnation.
type Incarnation uint64

// FailureDomain names a failure domain.
type FailureDomain string

// BackendID names a backend server.
type BackendID string

// RackID names a rack of backend servers.
type RackID string

// Team names a team of callers that shares a quota.
type Team string

// ProfileName names a profile.
type ProfileName string

// Epoch numbers the versions of one failure domain's roster, from 1.
type Epoch uint64

// ProfileVersion numbers the accepted changes to the book of profiles, from 1.
type ProfileVersion uint64

// ChangeID names one change to the book of profiles, chosen by its author so
// that a repeated request is recognized.
type ChangeID string
