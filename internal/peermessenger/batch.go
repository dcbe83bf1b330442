package peermessenger

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// EncodeBatch returns the wire form of several encoded messages in one frame.
func EncodeBatch(encoded [][]byte) (frame []byte, err error) {
	defer func() { err = errors.Wrap(err, "encoding batch of peer messages") }()
	raw := make([]cbor.RawMessage, len(encoded))
	for i, data := range encoded {
		raw[i] = data
	}
	return cbor.Marshal(raw)
}

// DecodeBatch returns the messages of one frame, in the order they were sent.
func DecodeBatch(frame []byte) (messages []Message, err error) {
	defer func() { err = errors.Wrap(err, "decoding batch of peer messages") }()
	if len(frame) > MaxMessageSize {
		return nil, errors.Newf("%d bytes are above the bound of %d", len(frame), MaxMessageSize)
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
