package profileparser

import "time"

// Objective is a service-level objective: the target fraction of requests in the
// window that complete within a multiple of their ideal response time.
type Objective struct {
	Target            float64       `cbor:"1,keyasint"` // fraction of requests
	ResponseOverIdeal float64       `cbor:"2,keyasint"` // maximum ratio of the response time to the ideal one
	Window            time.Duration `cbor:"3,keyasint"`
}
