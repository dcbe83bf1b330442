package peermessenger

import (
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/peppertrack/peppertrack/internal/declarer"
)

// TestEveryTypeHasItsOwnKind guards against a message type that is in the table
// twice, or that is decoded as another type.
func TestEveryTypeHasItsOwnKind(t *testing.T) {
	if len(kindByType) != len(typeByKind) {
		t.Fatalf("%d types have %d kinds", len(kindByType), len(typeByKind))
	}
	for kind, typ := range typeByKind {
		m := reflect.New(typ).Elem().Interface().(Message)
		data, err := Encode(m)
		if err != nil {
			t.Fatalf("kind %d: %v", kind, err)
		}
		got, err := Decode(data)
		if err != nil {
			t.Fatalf("kind %d: %v", kind, err)
		}
		if reflect.TypeOf(got) != typ {
			t.Errorf("kind %d was decoded as %T", kind, got)
		}
	}
}

// TestJobReply guards against an ending that is lost or changed on the wire.
func TestJobReply(t *testing.T) {
	for _, ending := range []declarer.Ending{
		nil,
		declarer.Complete{Outputs: [][]byte{[]byte("a"), []byte("b")}},
		declarer.Failed{Cause: declarer.Cancelled, Detail: "d", Outcomes: []declarer.TaskOutcome{declarer.Ran}},
		declarer.Refused{Cause: declarer.QueueFull, RetryAfter: 5},
		declarer.Unverifiable{Cause: declarer.VMLost, Detail: "d"},
	} {
		status := declarer.Status{Known: true, EndedTasks: 1, Tasks: 2, Ending: ending}
		data, err := Encode(NewJobReply(7, status))
		if err != nil {
			t.Fatal(err)
		}
		m, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(status, m.(JobReply).Status()); diff != "" {
			t.Error(diff)
		}
	}
}

// FuzzDecodeBatch checks that no frame of a peer makes the decoder panic, and
// that every decoded message can be encoded again.
func FuzzDecodeBatch(f *testing.F) {
	var encoded [][]byte
	for _, m := range []Message{SubmitJob{Number: 1}, JobReply{Number: 1}, PeerTable{}, Heartbeat{}, ReportQuery{}} {
		data, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		encoded = append(encoded, data)
	}
	frame, err := EncodeBatch(encoded)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, frame []byte) {
		messages, err := DecodeBatch(frame)
		if err != nil {
			return
		}
		for _, m := range messages {
			if _, err := Encode(m); err != nil {
				t.Errorf("%T can't be encoded again: %v", m, err)
			}
		}
	})
}
