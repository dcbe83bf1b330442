package peermessenger

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxMessageSize bounds an encoded message and a frame of messages, in bytes.
const MaxMessageSize = 16 << 20

const (
	maxNesting  = 16      // nested CBOR arrays and maps
	maxElements = 1 << 17 // of one CBOR array or map
)

// envelope is the wire form of a message.
type envelope struct {
	Kind uint16          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// typeByKind maps each kind, the number that stands for a message type on the
// wire, to that type. Numbers are never reused. Each group of messages has its
// own hundred, except for 110 and 111 (PeerTable, LinkNeed) and 403 (TasksFailed), which stand among the
// numbers of other groups.
var typeByKind = map[uint16]reflect.Type{
	100: reflect.TypeFor[SubmitJob](),
	101: reflect.TypeFor[AttachJob](),
	102: reflect.TypeFor[CancelJob](),
	103: reflect.TypeFor[JobReply](),

	400: reflect.TypeFor[SlotRequest](),
	401: reflect.TypeFor[SlotGrant](),
	402: reflect.TypeFor[BackendsLeaving](),
	403: reflect.TypeFor[TasksFailed](),

	500: reflect.TypeFor[QuotaRequest](),
	501: reflect.TypeFor[QuotaTransfer](),
	110: reflect.TypeFor[PeerTable](),
	111: reflect.TypeFor[LinkNeed](),

	200: reflect.TypeFor[RecordClaim](),
	201: reflect.TypeFor[ClaimRecorded](),
	202: reflect.TypeFor[ClaimNotRecorded](),
	203: reflect.TypeFor[FetchRecords](),
	204: reflect.TypeFor[RecordPage](),
	205: reflect.TypeFor[HandOverRecords](),
	206: reflect.TypeFor[HandoverAcknowledged](),
	207: reflect.TypeFor[QueryClaim](),
	208: reflect.TypeFor[ClaimState](),

	300: reflect.TypeFor[Heartbeat](),
	301: reflect.TypeFor[RosterRequest](),
	302: reflect.TypeFor[RosterReply](),

	600: reflect.TypeFor[ProfileDigest](),
	601: reflect.TypeFor[ProfilePull](),
	602: reflect.TypeFor[ProfileChanges](),
	603: reflect.TypeFor[ProfileBook](),
	700: reflect.TypeFor[ReportQuery](),
	701: reflect.TypeFor[ReportReply](),

	800: reflect.TypeFor[RunTask](),
	801: reflect.TypeFor[TaskPlaced](),
	802: reflect.TypeFor[TaskEnded](),
	803: reflect.TypeFor[CancelRuns](),
	804: reflect.TypeFor[ClaimRuns](),
	805: reflect.TypeFor[ServerReleased](),
	806: reflect.TypeFor[LoadReport](),
	807: reflect.TypeFor[DirectoryCopy](),
}

var (
	kindByType = invert(typeByKind)
	decMode    = newDecMode()
)

func invert(m map[uint16]reflect.Type) map[reflect.Type]uint16 {
	inverted := make(map[reflect.Type]uint16, len(m))
	for kind, t := range m {
		inverted[t] = kind
	}
	return inverted
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns the wire form of a message.
func Encode(m Message) (data []byte, err error) {
	defer func() { err = errors.Wrapf(err, "encoding a peer message of type %T", m) }()
	kind, ok := kindByType[reflect.TypeOf(m)]
	if !ok {
		return nil, errors.New("the type has no kind")
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(envelope{Kind: kind, Body: body})
}

// Decode returns the message that a wire form holds. It fails for data above
// MaxMessageSize and for an unknown kind.
func Decode(data []byte) (m Message, err error) {
	defer func() { err = errors.Wrap(err, "decoding a peer message") }()
	if len(data) > MaxMessageSize {
		return nil, errors.Newf("the message has %d bytes, above the bound of %d", len(data), MaxMessageSize)
	}
	var e envelope
	if err := decMode.Unmarshal(data, &e); err != nil {
		return nil, err
	}
	t, ok := typeByKind[e.Kind]
	if !ok {
		return nil, errors.Newf("unknown kind %d", e.Kind)
	}
	v := reflect.New(t)
	if err := decMode.Unmarshal(e.Body, v.Interface()); err != nil {
		return nil, err
	}
	return v.Elem().Interface().(Message), nil
}
