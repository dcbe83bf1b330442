// Package peermessenger defines the messages between entry VMs and their codec.
//
// Each file holds one group of messages. A new message type is added to the
// table in codec.go, which gives it its kind, a number on the wire.
package peermessenger

// Message is a message from one entry VM to another.
type Message interface{ isPeerMessage() }
