package identifier

// RunNumber numbers the runs of one task, from 1.
type RunNumber uint32

// JobRun distinguishes the times that a home accepted the same job: a caller
// may send it again after its first home was lost. 0 means unknown.
type JobRun uint64

// RunRef names one run of a task.
type RunRef struct {
	Task   TaskRef   `cbor:"1,keyasint"`
	Number RunNumber `cbor:"2,keyasint"`
	JobRun JobRun    `cbor:"3,keyasint"`
}

// OnServer returns the reference as a backend server knows it, without the
// JobRun.
func (r RunRef) OnServer() RunRef {
	r.JobRun = 0
	return r
}

// FencingToken orders the VMs that send commands to one backend server. The
// server ignores commands whose token is lower than the highest it has seen.
type FencingToken uint64

// PoolID names a pool of backend servers that run the same kinds of work.
type PoolID string

// Generation distinguishes the successive processes of one backend server.
type Generation uint64
