package placer

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Effect is what the caller has to do after an event.
type Effect interface{ isEffect() }

// Send sends a message to another entry VM.
type Send struct {
	To      identifier.Member
	Message peermessenger.Message
}

// SlotsFreed reports that Place may now find places that the last call did not
// find.
type SlotsFreed struct{}

func (Send) isEffect()       {}
func (SlotsFreed) isEffect() {}
