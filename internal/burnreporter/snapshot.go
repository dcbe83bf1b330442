package burnreporter

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Snapshot holds the series that one entry VM has recorded.
type Snapshot struct {
	Member  identifier.Member `cbor:"1,keyasint"`
	TakenAt time.Time         `cbor:"2,keyasint"`
	Series  []SeriesSnapshot  `cbor:"3,keyasint"`
	Dropped int64             `cbor:"4,keyasint"` // observations that were not recorded because maxSeries was reached
}

// SeriesSnapshot holds the counts and ratios of one team under one profile.
type SeriesSnapshot struct {
	Team      identifier.Team        `cbor:"1,keyasint"`
	Profile   identifier.ProfileName `cbor:"2,keyasint"`
	Objective Objective              `cbor:"3,keyasint"`
	Buckets   []BucketCount          `cbor:"4,keyasint"`
	Ratios    []byte                 `cbor:"5,keyasint"` // compressed HdrHistogram of 100 times the response time divided by the ideal
}

// BucketCount counts the jobs of one interval of bucketLength.
type BucketCount struct {
	Number int64  `cbor:"1,keyasint"` // of the interval, counted from the Unix epoch
	Good   uint64 `cbor:"2,keyasint"`
	Bad    uint64 `cbor:"3,keyasint"`
}

// maxSnapshotSize bounds an encoded snapshot, in bytes.
const maxSnapshotSize = 16 << 20

// Encode returns the CBOR form of a snapshot. It fails above maxSnapshotSize.
func Encode(s Snapshot) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encoding burn snapshot") }()
	data, err = cbor.Marshal(s)
	if err == nil && len(data) > maxSnapshotSize {
		return nil, errors.Newf("%d bytes are above the bound of %d", len(data), maxSnapshotSize)
	}
	return data, err
}

// Decode reads the CBOR form of a snapshot, within maxSnapshotSize and maxSeries.
func Decode(data []byte) (s Snapshot, err error) {
	defer func() { err = errors.Wrap(err, "decoding burn snapshot") }()
	if len(data) > maxSnapshotSize {
		return Snapshot{}, errors.Newf("%d bytes are above the bound of %d", len(data), maxSnapshotSize)
	}
	if err := cbor.Unmarshal(data, &s); err != nil {
		return Snapshot{}, err
	}
	if len(s.Series) > maxSeries {
		return Snapshot{}, errors.Newf("%d series are above the bound of %d", len(s.Series), maxSeries)
	}
	return s, nil
}
