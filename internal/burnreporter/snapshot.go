package burnreporter

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Snapshot is what one entry VM has recorded.
type Snapshot struct {
	Member  identifier.Member `cbor:"1,keyasint"`
	TakenAt time.Time         `cbor:"2,keyasint"`
	Series  []SeriesSnapshot  `cbor:"3,keyasint"`
	Dropped int64             `cbor:"4,keyasint"` // observations that were not recorded
}

// SeriesSnapshot is what was recorded of one team and profile.
type SeriesSnapshot struct {
	Team      identifier.Team        `cbor:"1,keyasint"`
	Profile   identifier.ProfileName `cbor:"2,keyasint"`
	Objective Objective              `cbor:"3,keyasint"`
	Buckets   []BucketCount          `cbor:"4,keyasint"`
	Ratios    []byte                 `cbor:"5,keyasint"` // HdrHistogram, compressed, of response time over the ideal times 100
}

// BucketCount counts the jobs of one stretch of time.
type BucketCount struct {
	Number int64  `cbor:"1,keyasint"`
	Good   uint64 `cbor:"2,keyasint"`
	Bad    uint64 `cbor:"3,keyasint"`
}

// maxSnapshotSize bounds an encoded snapshot, in bytes.
const maxSnapshotSize = 16 << 20

// Encode returns the wire form of a snapshot.
func Encode(s Snapshot) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encoding burn snapshot") }()
	data, err = cbor.Marshal(s)
	if err == nil && len(data) > maxSnapshotSize {
		return nil, errors.Newf("%d bytes are above the bound of %d", len(data), maxSnapshotSize)
	}
	return data, err
}

// Decode returns the snapshot in its wire form.
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
