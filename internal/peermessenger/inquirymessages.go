package peermessenger

// ReportKind names a report that a peer can be asked for.
type ReportKind uint8

// The kinds of reports.
const (
	StatusReport ReportKind = iota + 1 // the peer's status and the profiles in force on it
	BurnReport                         // the service-level observations that the peer has recorded
)

// ReportQuery asks a peer for a report.
type ReportQuery struct {
	Number RequestNumber `cbor:"1,keyasint"`
	Kind   ReportKind    `cbor:"2,keyasint"`
}

// ReportReply answers ReportQuery.
type ReportReply struct {
	Number RequestNumber `cbor:"1,keyasint"`
	Data   []byte        `cbor:"2,keyasint"` // in the format of the kind; empty: the peer has no such report
}

func (ReportQuery) isPeerMessage() {}
func (ReportReply) isPeerMessage() {}
