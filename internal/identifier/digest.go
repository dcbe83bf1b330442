package identifier

// Digest is the digest of a submission's body, team included. Two attempts with
// the same digest ask for the same work.
type Digest [16]byte
