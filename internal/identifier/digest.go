package identifier

// Digest is the digest of a submission's body and team. Two attempts with the
// same digest request the same work.
type Digest [16]byte
