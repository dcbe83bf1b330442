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

// SlotsFreed tells that a call of Place may succeed where the last one did not.
type SlotsFreed struct{}

func (Send) isEffect()       {}
func (SlotsFreed) isEffect() {}
