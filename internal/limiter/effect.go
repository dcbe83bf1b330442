package limiter

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

// TasksReady reports that NextTasks may now return tasks that the last call did
// not return.
type TasksReady struct{}

func (Send) isEffect()       {}
func (TasksReady) isEffect() {}
