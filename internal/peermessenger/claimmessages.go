package peermessenger

import (
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// ClaimSerial numbers the claims of one member, from 1.
type ClaimSerial uint64

// UnixMillis is a time in milliseconds since the Unix epoch.
type UnixMillis int64

// EndingKind says whether and how a claimed job ended.
type EndingKind uint8

// The ending kinds.
const (
	NotEnded EndingKind = iota
	EndedComplete
	EndedFailed
)

// ClaimRecord is a VM's record of one claimed submission. At most one of
// Complete and Failed is set; neither is set when the job has not ended or when
// this VM knows only the kind of its ending.
type ClaimRecord struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Digest     identifier.Digest       `cbor:"2,keyasint"`
	Team       identifier.Team         `cbor:"3,keyasint"`
	CreatedAt  UnixMillis              `cbor:"4,keyasint"` // when the caller generated the id
	Epoch      identifier.Epoch        `cbor:"5,keyasint"` // of the claim
	Runner     identifier.Member       `cbor:"6,keyasint"` // the only member that may start the job under this claim
	Serial     ClaimSerial             `cbor:"7,keyasint"` // of the claim, among those of its runner
	EndingKind EndingKind              `cbor:"8,keyasint"`
	Complete   *declarer.Complete      `cbor:"9,keyasint,omitempty"`
	Failed     *declarer.Failed        `cbor:"10,keyasint,omitempty"`
}

// ClaimRef identifies one claim.
type ClaimRef struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Serial     ClaimSerial             `cbor:"2,keyasint"`
}

// RecordClaim asks the witness of a shard to record a claim of its home.
type RecordClaim struct {
	Epoch  identifier.Epoch `cbor:"1,keyasint"`
	Record ClaimRecord      `cbor:"2,keyasint"`
	Probe  bool             `cbor:"3,keyasint,omitempty"` // only ask whether the epoch is open; record nothing
}

// ClaimRecorded says that the witness has recorded a claim.
type ClaimRecorded struct {
	Epoch identifier.Epoch `cbor:"1,keyasint"`
	Claim ClaimRef         `cbor:"2,keyasint"`
}

// WitnessRefusal says why a witness did not record a claim.
type WitnessRefusal uint8

// The reasons for which a witness does not record a claim.
const (
	EpochClosed  WitnessRefusal = iota + 1 // the witness has learned of a later epoch
	TableFull                              // the epoch is open, but the table of records is full; also the answer to every probe in an open epoch
	ClaimExpired                           // the id is past its age limit on the clock of the witness
)

// ClaimNotRecorded says that the witness has not recorded a claim.
type ClaimNotRecorded struct {
	Epoch    identifier.Epoch `cbor:"1,keyasint"` // of the request
	Claim    ClaimRef         `cbor:"2,keyasint"`
	Cause    WitnessRefusal   `cbor:"3,keyasint"`
	Promised identifier.Epoch `cbor:"4,keyasint"` // the latest epoch that the witness has learned of; it does not act in earlier ones
}

// ShardCursor is a position in the records of a member, which are sorted by
// shard and then by submission id.
type ShardCursor struct {
	Shard uint8                   `cbor:"1,keyasint"`
	After identifier.SubmissionID `cbor:"2,keyasint"` // the last id before the position; empty: start at the first id of the shard
}

// FetchRecords asks for a page of records, and makes the receiver promise not
// to act under any epoch before Epoch.
type FetchRecords struct {
	Epoch  identifier.Epoch `cbor:"1,keyasint"`
	Shards uint64           `cbor:"2,keyasint"` // a bit for each requested shard
	From   ShardCursor      `cbor:"3,keyasint"`
}

// ShardState says how complete the records are that a member holds of a shard.
type ShardState struct {
	Shard         uint8            `cbor:"1,keyasint"`
	CaughtUpEpoch identifier.Epoch `cbor:"2,keyasint"` // latest epoch for which the member holds all records of the shard; 0: none
	LostBefore    UnixMillis       `cbor:"3,keyasint"` // records of ids generated until then may be lost; 0: none are
}

// RecordPage answers FetchRecords.
type RecordPage struct {
	Epoch   identifier.Epoch `cbor:"1,keyasint"` // of the request
	Shards  uint64           `cbor:"2,keyasint"` // of the request
	From    ShardCursor      `cbor:"3,keyasint"` // of the request
	Current identifier.Epoch `cbor:"4,keyasint"` // the latest epoch that the sender has learned of
	States  []ShardState     `cbor:"5,keyasint"` // of the shards whose records begin on this page
	Records []ClaimRecord    `cbor:"6,keyasint"`
	Next    ShardCursor      `cbor:"7,keyasint"`
	Last    bool             `cbor:"8,keyasint"` // no page follows
}

// PageNumber numbers the HandOverRecords messages from one member to another, from 1.
type PageNumber uint64

// HandOverRecords sends records to the home or the witness of their shards.
type HandOverRecords struct {
	Number  PageNumber    `cbor:"1,keyasint"`
	Records []ClaimRecord `cbor:"2,keyasint"`
}

// HandoverAcknowledged acknowledges HandOverRecords.
type HandoverAcknowledged struct {
	Number         PageNumber       `cbor:"1,keyasint"`
	Epoch          identifier.Epoch `cbor:"2,keyasint"` // the latest epoch that the sender has learned of
	CaughtUpShards uint64           `cbor:"3,keyasint"` // a bit for each shard of which the sender holds all records in Epoch
}

// QueryClaim asks the runner of a claim for its state, and makes the receiver
// promise not to act under any epoch before Epoch.
type QueryClaim struct {
	Epoch identifier.Epoch `cbor:"1,keyasint"`
	Claim ClaimRef         `cbor:"2,keyasint"`
}

// ClaimState answers QueryClaim. When the claim is not known, its runner has not
// started the submission under it and never will.
type ClaimState struct {
	Claim  ClaimRef     `cbor:"1,keyasint"`
	Known  bool         `cbor:"2,keyasint"`
	Record *ClaimRecord `cbor:"3,keyasint,omitempty"` // when known
}

func (RecordClaim) isPeerMessage()          {}
func (ClaimRecorded) isPeerMessage()        {}
func (ClaimNotRecorded) isPeerMessage()     {}
func (FetchRecords) isPeerMessage()         {}
func (RecordPage) isPeerMessage()           {}
func (HandOverRecords) isPeerMessage()      {}
func (HandoverAcknowledged) isPeerMessage() {}
func (QueryClaim) isPeerMessage()           {}
func (ClaimState) isPeerMessage()           {}
