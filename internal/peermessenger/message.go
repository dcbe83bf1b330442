// Package peermessenger defines the messages between entry VMs and their codec.
//
// Each file holds one group of messages. A new message type is added to the
// table in codec.go, which gives it its kind, a number on the wire.
//
// Terms of the claim messages, as in package claimer:
//   - The roster of a failure domain lists its members, which are processes of entry VMs.
//   - An epoch is the period of one version of the roster; epochs are numbered.
//   - A shard is one of the parts into which submissions are divided by id.
//   - The home of a shard is the member that decides in an epoch on requests for its submissions.
//   - The witness of a shard is the member that records the claims of its home.
//   - A claim is a record in which the home names a submission, the epoch and itself as the runner.
//   - The runner of a claim is the only member that may start the job under it.
//
// In the messages about runs, the home of a job is the member at which the job
// arrived, and the owner of a backend server is the member that starts tasks on it;
// see package repeater.
package peermessenger

// Message is a message from one entry VM to another.
type Message interface{ isPeerMessage() }
