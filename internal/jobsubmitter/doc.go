// Package jobsubmitter is the client library of the callers' API: it submits
// jobs to entry VMs, fetches their endings and cancels them.
//
// A Submitter takes the place of the platform's balancer: it knows several entry
// VMs, checks their readiness and picks a ready one for each request. When a
// connection is lost or an attempt times out, it sends the same submission id
// again with the next attempt number, to another entry VM if there is one.
package jobsubmitter
