package identifier

// RunNumber numbers the runs of one task, from 1.
type RunNumber uint32

// RunRef names one run of a task.
type RunRef struct {
	Task   TaskRef   `cbor:"1,keyasint"`
	Number RunNumber `cbor:"2,keyasint"`
}

// FencingToken orders the VMs that give orders to one backend server. The
// server ignores orders whose token is lower than one that it has seen.
type FencingToken uint64

// PoolID names a pool of backend servers that run the same kinds of work.
type PoolID string

// Generation tells the successive processes of one backend server apart.
type Generation uint64
