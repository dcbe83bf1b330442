package identifier

// RunNumber numbers the runs of one task, from 1.
type RunNumber uint32

// JobRun tells apart the times that homes have taken one job: a caller may send
// it again after its first home was lost. 0 is unknown.
type JobRun uint64

// RunRef names one run of a task.
type RunRef struct {
	Task   TaskRef   `cbor:"1,keyasint"`
	Number RunNumber `cbor:"2,keyasint"`
	JobRun JobRun    `cbor:"3,keyasint"`
}

// OnServer returns the name as a backend server knows it, which knows of no
// JobRun.
func (r RunRef) OnServer() RunRef {
	r.JobRun = 0
	return r
}

// FencingToken orders the VMs that give orders to one backend server. The
// server ignores orders whose token is lower than one that it has seen.
type FencingToken uint64

// PoolID names a pool of backend servers that run the same kinds of work.
type PoolID string

// Generation tells the successive processes of one backend server apart.
type Generation uint64
