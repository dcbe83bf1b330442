package peermessenger

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// EncodeBatch returns a frame that holds several encoded messages.
func EncodeBatch(encoded [][]byte) (frame []byte, err error) {
	defer func() { err = errors.Wrap(err, "encoding a batch of peer messages") }()
	raw := make([]cbor.RawMessage, len(encoded))
	for i, data := range encoded {
		raw[i] = data
	}
	return cbor.Marshal(raw)
}

// DecodeBatch returns the messages of one frame, in the order in which they
// were sent. It fails for a frame above MaxMessageSize.
func DecodeBatch(frame []byte) (messages []Message, err error) {
	defer func() { err = errors.Wrap(err, "decoding a batch of peer messages") }()
	if len(frame) > MaxMessageSize {
		return nil, errors.Newf("the frame has %d bytes, above the bound of %d", len(frame), MaxMessageSize)
	}
	var raw []cbor.RawMessage
	if err := decMode.Unmarshal(frame, &raw); err != nil {
		return nil, err
	}
	messages = make([]Message, 0, len(raw))
	for _, data := range raw {
		m, err := Decode(data)
		if err != nil {
			return nil, err
		}
		messages = append(messages, m)
	}
	return messages, nil
}
