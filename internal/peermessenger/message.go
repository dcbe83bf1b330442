// Package peermessenger defines the messages between entry VMs and their codec.
//
// Each file holds the messages of one duty. A new message type is added to the
// table in codec.go, which gives it its number on the wire.
package peermessenger

// Message is a message from one entry VM to another.
type Message interface{ isPeerMessage() }
