package identifier

// RunNumber numbers the runs of one task, from 1.
type RunNumber uint32

// JobRun distinguishes the runs of the same job. Each acceptance of the job by a
// home makes a new one: a caller may submit the job again after its first home
// was lost. 0 means unknown.
type JobRun uint64

// RunRef names one run of a task.
type RunRef struct {
	Task   TaskRef   `cbor:"1,keyasint"`
	Number RunNumber `cbor:"2,keyasint"`
	JobRun JobRun    `cbor:"3,keyasint"`
}

// OnServer returns a copy of the reference whose JobRun is 0, the form in which a
// backend server knows the run.
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
